package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Accepted is a configuration as stored, with the operator who applied it.
type Accepted struct {
	// Change is the unique ID of the write. If the response to the write is lost, a later read of this ID shows whether the
	// write took effect.
	Change   string
	Operator string
	// At is the time at which the operator applied the configuration.
	At       time.Time
	Note     string
	Document json.RawMessage
}

// DecodeAccepted decodes a configuration from its stored form.
func DecodeAccepted(data []byte) (a Accepted, err error) {
	err = json.Unmarshal(data, &a)
	if err == nil && a.Document == nil {
		err = errors.New("the field Document is missing")
	}
	return a, errors.Wrap(err, "decode the accepted configuration")
}

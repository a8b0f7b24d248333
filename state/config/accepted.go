package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Accepted is a configuration as it is kept in the store, with who accepted it.
type Accepted struct {
	// Change identifies the write, so that one whose answer was lost can be settled by reading.
	Change   string
	Operator string
	At       time.Time
	Note     string
	Document json.RawMessage
}

// DecodeAccepted reads a configuration from the store.
func DecodeAccepted(data []byte) (a Accepted, err error) {
	err = json.Unmarshal(data, &a)
	if err == nil && a.Document == nil {
		err = errors.New("it has no Document")
	}
	return a, errors.Wrap(err, "decode the accepted configuration")
}

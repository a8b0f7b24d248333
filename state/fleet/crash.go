package fleet

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// Crash is the record of the crash of a backend server's process. It is kept in the store, so that it outlives the VMs that saw the crash.
type Crash struct {
	Process Incarnation
	// Version is the version of its software, or empty if it isn't known.
	Version id.SoftwareVersion `json:",omitempty"`
	// At is when the crash was noticed, by the wall clock of the VM that recorded it.
	At time.Time
	// Suspects are the requests that were in flight, in ascending order.
	Suspects []id.Fingerprint
	// Acquitted are requests that were in flight and have run to a good end on the same version since, in ascending order.
	Acquitted []id.Fingerprint `json:",omitempty"`
	// RunsOn holds the good ends of suspects on other versions.
	RunsOn []Run `json:",omitempty"`
	// Revision is the store revision at which the record was written, or 0; it isn't part of the encoded record.
	Revision id.Revision `json:"-"`
}

// Run is a request that has run to a good end on a version of a service's software.
type Run struct {
	Request id.Fingerprint
	Version id.SoftwareVersion
}

// maxCrashRequests limits the requests of a record that is read.
const maxCrashRequests = 4096

// EncodeCrash returns a record as JSON.
func EncodeCrash(c Crash) (data []byte, err error) {
	data, err = json.Marshal(c)
	return data, errors.Wrapf(err, "encode the crash of backend server %s", c.Process.Server)
}

// DecodeCrash returns the record that EncodeCrash has encoded.
func DecodeCrash(data []byte) (c Crash, err error) {
	defer func() { err = errors.Wrap(err, "decode a crash") }()
	if err := json.Unmarshal(data, &c); err != nil {
		return Crash{}, err
	}
	switch {
	case c.Process.Server == "":
		return Crash{}, errors.New("Process: the server is missing")
	case len(c.Suspects)+len(c.Acquitted)+len(c.RunsOn) > maxCrashRequests:
		return Crash{}, errors.Newf("Suspects: more than %d requests", maxCrashRequests)
	}
	// A request that is listed twice was in flight once all the same, and readers search the lists.
	slices.Sort(c.Suspects)
	slices.Sort(c.Acquitted)
	c.Suspects, c.Acquitted = slices.Compact(c.Suspects), slices.Compact(c.Acquitted)
	return c, nil
}

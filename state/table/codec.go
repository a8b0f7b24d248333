package table

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// run is a stretch of neighbouring slices with the same entry.
type run struct {
	Count int
	Owner int32
	Next  int32
}

type document struct {
	Service id.Service
	Version id.Version
	Owners  []id.Owner
	Runs    []run
	Keys    map[Hash]Entry `json:",omitempty"`
}

// MarshalJSON writes the slices as runs, which keeps a table far below the store's limit on values.
func (t *Table) MarshalJSON() ([]byte, error) {
	d := document{Service: t.Service, Version: t.Version, Owners: t.Owners, Keys: t.Keys}
	for _, e := range t.Slices {
		if n := len(d.Runs); n > 0 && d.Runs[n-1].Owner == e.Owner && d.Runs[n-1].Next == e.Next {
			d.Runs[n-1].Count++
			continue
		}
		d.Runs = append(d.Runs, run{Count: 1, Owner: e.Owner, Next: e.Next})
	}
	return json.Marshal(d)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (t *Table) UnmarshalJSON(data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "decode slice table") }()
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return err
	}
	*t = Table{Service: d.Service, Version: d.Version, Owners: d.Owners, Keys: d.Keys}
	if t.Keys == nil {
		t.Keys = map[Hash]Entry{}
	}
	for _, r := range d.Runs {
		if r.Count < 0 || len(t.Slices)+r.Count > 1<<20 {
			return errors.Newf("run of %d slices is out of range", r.Count)
		}
		for range r.Count {
			t.Slices = append(t.Slices, Entry{Owner: r.Owner, Next: r.Next})
		}
	}
	return t.Check()
}

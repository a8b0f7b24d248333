package table

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// maxSlices bounds the slices of a table that is read.
const maxSlices = 1 << 20

// document is a table as it is kept in the store.
type document struct {
	Service id.Service
	Version id.Version
	Owners  []id.Owner
	// Slices holds, for each slice, one more than the index of its owner, as a varint.
	Slices []byte
	// Next holds the index of the next owner of the slices that move.
	Next map[int]int32  `json:",omitempty"`
	Keys map[Hash]Entry `json:",omitempty"`
}

// MarshalJSON writes about a byte and a half for each slice, far below the store's limit on values.
func (t *Table) MarshalJSON() ([]byte, error) {
	d := document{Service: t.Service, Version: t.Version, Owners: t.Owners, Keys: t.Keys, Next: map[int]int32{}}
	for i, e := range t.Slices {
		d.Slices = binary.AppendUvarint(d.Slices, uint64(e.Owner+1))
		if e.Moving() {
			d.Next[i] = e.Next
		}
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
	for rest := d.Slices; len(rest) > 0; {
		v, n := binary.Uvarint(rest)
		if n <= 0 || v > maxSlices || len(t.Slices) >= maxSlices {
			return errors.Newf("the owner of slice %d is out of range", len(t.Slices))
		}
		t.Slices = append(t.Slices, Entry{Owner: int32(v) - 1, Next: -1})
		rest = rest[n:]
	}
	for i, next := range d.Next {
		if i < 0 || i >= len(t.Slices) {
			return errors.Newf("slice %d moves but there are %d", i, len(t.Slices))
		}
		t.Slices[i].Next = next
	}
	return t.Validate()
}

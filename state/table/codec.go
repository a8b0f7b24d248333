package table

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/state/id"
)

// maxSlices is the maximum number of slices of a decoded table.
const maxSlices = 1 << 20

// document is the stored form of a Table.
type document struct {
	Service id.Service
	Version id.Version
	Owners  []id.Owner
	// Slices holds a varint for each slice: the index of its owner plus one, so that 0 means no owner.
	Slices []byte
	// Next holds the index of the next owner of each moving slice.
	Next map[int]int32  `json:",omitempty"`
	Keys map[Hash]Entry `json:",omitempty"`
}

// MarshalJSON encodes the table. It takes about 1.5 bytes per slice, far below the store's limit on values.
func (t *Table) MarshalJSON() ([]byte, error) {
	d := document{Service: t.Service, Version: t.Version, Owners: t.Owners, Keys: t.Keys, Next: map[int]int32{}}
	for i, e := range t.Slices {
		d.Slices = binary.AppendUvarint(d.Slices, uint64(e.Owner+1))
		if e.IsMoving() {
			d.Next[i] = e.Next
		}
	}
	return json.Marshal(d)
}

// UnmarshalJSON decodes the output of MarshalJSON and validates the table.
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
	for encoded := d.Slices; len(encoded) > 0; {
		v, n := binary.Uvarint(encoded)
		if n <= 0 || v > maxSlices || len(t.Slices) >= maxSlices {
			return errors.Newf("the owner of slice %d is out of range", len(t.Slices))
		}
		t.Slices = append(t.Slices, Entry{Owner: int32(v) - 1, Next: -1})
		encoded = encoded[n:]
	}
	for i, next := range d.Next {
		if i < 0 || i >= len(t.Slices) {
			return errors.Newf("slice %d is marked as moving, but the table has only %d slices", i, len(t.Slices))
		}
		t.Slices[i].Next = next
	}
	return t.Validate()
}

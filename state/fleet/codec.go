package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/id"
)

// maxTable bounds the decoded size of a table, in bytes: all keys in ranges of their own.
const maxTable = 8 << 20

// tableRecord is a table as it is kept: owners are written once, and ranges name them by their place.
type tableRecord struct {
	_       struct{} `cbor:",toarray"`
	Service id.Service
	Fence   Fence
	Owners  []lifeRecord
	Ranges  []rangeRecord
}

type lifeRecord struct {
	_      struct{} `cbor:",toarray"`
	Server id.Server
	Born   StartTime
}

// rangeRecord is a range; From is the end of the range before it plus Gap.
type rangeRecord struct {
	_     struct{} `cbor:",toarray"`
	Gap   int
	Size  int
	Owner int
	Fence Fence
	// Before is the place of the former owner plus one, or 0.
	Before      int
	BeforeFence Fence
}

// EncodeTable returns a table in its short form, which fits into one message for some hundred ranges.
func EncodeTable(t *Table) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encode the key table of service %s", t.Service) }()
	r := tableRecord{Service: t.Service, Fence: t.Fence}
	places := map[Incarnation]int{}
	place := func(l Incarnation) int {
		n, ok := places[l]
		if !ok {
			n = len(r.Owners)
			places[l] = n
			r.Owners = append(r.Owners, lifeRecord{Server: l.Server, Born: l.Born})
		}
		return n
	}
	next := 0
	for _, g := range t.Ranges {
		e := rangeRecord{Gap: int(g.From) - next, Size: g.Size(), Owner: place(g.Owner), Fence: g.Fence}
		if g.PreviousOwner != nil {
			e.Before, e.BeforeFence = place(*g.PreviousOwner)+1, g.PreviousFence
		}
		next = int(g.To) + 1
		r.Ranges = append(r.Ranges, e)
	}
	plain, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(plain); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// DecodeTable reads what EncodeTable wrote, and refuses a table that isn't in order.
func DecodeTable(data []byte) (t *Table, err error) {
	defer func() { err = errors.Wrap(err, "decode a key table") }()
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxTable))
	if err != nil {
		return nil, err
	}
	var r tableRecord
	if err := cbor.Unmarshal(plain, &r); err != nil {
		return nil, err
	}
	t = &Table{Service: r.Service, Fence: r.Fence}
	next := 0
	for _, e := range r.Ranges {
		from := next + e.Gap
		to := from + e.Size - 1
		if e.Gap < 0 || e.Size < 1 || to >= KeyCount || e.Owner < 0 || e.Owner >= len(r.Owners) || e.Before < 0 || e.Before > len(r.Owners) {
			return nil, errors.Newf("the range after key %d has no valid bounds or owner", next-1)
		}
		g := Range{From: Key(from), To: Key(to), Owner: r.life(e.Owner), Fence: e.Fence}
		if e.Before > 0 {
			before := r.life(e.Before - 1)
			g.PreviousOwner, g.PreviousFence = &before, e.BeforeFence
		}
		t.Ranges = append(t.Ranges, g)
		next = to + 1
	}
	if !t.IsValid() {
		return nil, errors.New("the ranges have no valid owners or fences")
	}
	return t, nil
}

func (r tableRecord) life(place int) Incarnation {
	return Incarnation{Server: r.Owners[place].Server, Born: r.Owners[place].Born}
}

package fleet

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/id"
)

// maxTableBytes limits the decoded size of a table; it suffices for a table in which every key has a range of its own.
const maxTableBytes = 8 << 20

// tableRecord is the stored form of a table. Each owner is written once; ranges refer to it by its index in Owners.
type tableRecord struct {
	_       struct{} `cbor:",toarray"`
	Service id.Service
	Fence   Fence
	Owners  []incarnationRecord
	Ranges  []rangeRecord
}

type incarnationRecord struct {
	_      struct{} `cbor:",toarray"`
	Server id.Server
	Born   StartTime
}

// rangeRecord is the stored form of a range. Gap is the number of keys without an owner between the preceding range
// and this one.
type rangeRecord struct {
	_     struct{} `cbor:",toarray"`
	Gap   int
	Size  int
	Owner int
	Fence Fence
	// PreviousOwner is the index of the previous owner plus one, or 0 if there is none.
	PreviousOwner int
	PreviousFence Fence
}

// EncodeTable returns a table as compressed CBOR. A table of several hundred ranges fits into one message.
func EncodeTable(t *Table) (data []byte, err error) {
	defer func() { err = errors.Wrapf(err, "encode the key table of service %s", t.Service) }()
	r := tableRecord{Service: t.Service, Fence: t.Fence}
	indexes := map[Incarnation]int{}
	indexOf := func(i Incarnation) int {
		n, ok := indexes[i]
		if !ok {
			n = len(r.Owners)
			indexes[i] = n
			r.Owners = append(r.Owners, incarnationRecord{Server: i.Server, Born: i.Born})
		}
		return n
	}
	next := 0
	for _, g := range t.Ranges {
		e := rangeRecord{Gap: int(g.From) - next, Size: g.Size(), Owner: indexOf(g.Owner), Fence: g.Fence}
		if g.PreviousOwner != nil {
			e.PreviousOwner, e.PreviousFence = indexOf(*g.PreviousOwner)+1, g.PreviousFence
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

// DecodeTable decodes the output of EncodeTable. It returns an error if the data is malformed or the table is invalid.
func DecodeTable(data []byte) (t *Table, err error) {
	defer func() { err = errors.Wrap(err, "decode a key table") }()
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxTableBytes))
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
		if !e.isValid(len(r.Owners)) || to >= KeyCount {
			return nil, errors.Newf("the range after key %d has invalid bounds or an invalid owner", next-1)
		}
		g := Range{From: Key(from), To: Key(to), Owner: r.incarnation(e.Owner), Fence: e.Fence}
		if e.PreviousOwner > 0 {
			previous := r.incarnation(e.PreviousOwner - 1)
			g.PreviousOwner, g.PreviousFence = &previous, e.PreviousFence
		}
		t.Ranges = append(t.Ranges, g)
		next = to + 1
	}
	if !t.IsValid() || t.Fence < 0 || t.Fence > maxFence {
		return nil, errors.New("the ranges are out of order or have invalid owners or fences")
	}
	return t, nil
}

// isValid reports whether the figures of a range are possible in a table with a number of owners. Sums of such figures don't overflow.
func (r rangeRecord) isValid(owners int) bool {
	return r.Gap >= 0 && r.Gap < KeyCount && r.Size >= 1 && r.Size <= KeyCount && r.Owner >= 0 && r.Owner < owners && r.PreviousOwner >= 0 && r.PreviousOwner <= owners
}

func (r tableRecord) incarnation(index int) Incarnation {
	return Incarnation{Server: r.Owners[index].Server, Born: r.Owners[index].Born}
}

package fleet_test

import (
	"bytes"
	"compress/flate"
	"math"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
)

func TestTableCodec(t *testing.T) {
	a, b := fleet.Incarnation{Server: "a", Born: 7}, fleet.Incarnation{Server: "b", Born: 9}
	tests := map[string]struct {
		table *fleet.Table
		valid bool
	}{
		"no ranges": {table: &fleet.Table{Service: "plans"}, valid: true},
		"all keys":  {table: &fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{{From: 0, To: 65535, Owner: a, Fence: 1}}}, valid: true},
		"gaps and moving ranges": {table: &fleet.Table{Service: "plans", Fence: 9, Ranges: []fleet.Range{
			{From: 5, To: 9, Owner: a, Fence: 3}, {From: 10, To: 10, Owner: b, Fence: 9, PreviousOwner: &a, PreviousFence: 3}, {From: 65535, To: 65535, Owner: b, Fence: 4},
		}}, valid: true},
		"range fence above the table's fence": {table: &fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{{From: 0, To: 1, Owner: a, Fence: 2}}}},
		"no owner":                            {table: &fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{{From: 0, To: 1, Fence: 1}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := fleet.EncodeTable(test.table)
			is.NoErr(err)
			got, err := fleet.DecodeTable(data)
			is.Equal(err == nil, test.valid)
			if test.valid {
				is.Equal(got, test.table)
			}
		})
	}
}

func TestDecodeTableRejectsInvalidData(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{nil, {1, 2, 3}, []byte(`{"Service":"plans"}`)} {
		_, err := fleet.DecodeTable(data)
		is.True(err != nil)
	}
}

// After a table with the highest fence, the next fences overflowed, and backend servers refuse lower ones.
func TestOddTablesAreRejected(t *testing.T) {
	type list = []any
	owners := list{list{"a", 7}, list{"b", 9}}
	tests := map[string]struct {
		fence  any
		ranges list
		valid  bool
	}{
		"sound":                             {fence: 9, ranges: list{list{0, 10, 0, 3, 0, 0}, list{5, 10, 1, 4, 1, 2}}, valid: true},
		"a gap that overflows":              {fence: 9, ranges: list{list{0, 1, 0, 3, 0, 0}, list{int64(math.MaxInt64), int64(math.MaxInt64), 0, 3, 0, 0}}},
		"a gap beyond the keys":             {fence: 9, ranges: list{list{65536, 1, 0, 3, 0, 0}}},
		"a size that overflows":             {fence: 9, ranges: list{list{65535, int64(math.MaxInt64), 0, 3, 0, 0}}},
		"a range beyond the keys":           {fence: 9, ranges: list{list{65535, 2, 0, 3, 0, 0}}},
		"more ranges than keys":             {fence: 9, ranges: list{list{0, 65536, 0, 3, 0, 0}, list{0, 1, 0, 3, 0, 0}}},
		"an overlap":                        {fence: 9, ranges: list{list{0, 10, 0, 3, 0, 0}, list{-5, 10, 1, 4, 0, 0}}},
		"a range without keys":              {fence: 9, ranges: list{list{0, 0, 0, 3, 0, 0}}},
		"a negative size":                   {fence: 9, ranges: list{list{0, -1, 0, 3, 0, 0}}},
		"an owner that isn't listed":        {fence: 9, ranges: list{list{0, 10, 2, 3, 0, 0}}},
		"an owner of the largest index":     {fence: 9, ranges: list{list{0, 10, int64(math.MaxInt64), 3, 0, 0}}},
		"a former owner that isn't listed":  {fence: 9, ranges: list{list{0, 10, 0, 3, 3, 0}}},
		"the highest fence":                 {fence: int64(math.MaxInt64), ranges: list{list{0, 10, 0, 3, 0, 0}}},
		"a fence beyond exact numbers":      {fence: int64(1)<<52 + 1, ranges: list{list{0, 10, 0, 3, 0, 0}}},
		"the last exact fence":              {fence: int64(1) << 52, ranges: list{list{0, 10, 0, int64(1) << 52, 0, 0}}, valid: true},
		"a fence beyond integers":           {fence: uint64(math.MaxUint64), ranges: list{list{0, 10, 0, 3, 0, 0}}},
		"a negative fence":                  {fence: -1, ranges: list{}},
		"a negative fence of a range":       {fence: 9, ranges: list{list{0, 10, 0, -3, 0, 0}}},
		"a former fence above the table's":  {fence: 9, ranges: list{list{0, 10, 0, 3, 1, 10}}},
		"a negative fence of a former one":  {fence: 9, ranges: list{list{0, 10, 0, 3, 1, -1}}},
		"a fence that is a fraction":        {fence: 9.5, ranges: list{}},
		"a fence that is not a number":      {fence: math.NaN(), ranges: list{}},
		"ranges that are text":              {fence: 9, ranges: list{"x"}},
		"a range with too many figures":     {fence: 9, ranges: list{list{0, 10, 0, 3, 0, 0, 0}}},
		"a range that is very deep":         {fence: 9, ranges: list{nested(40)}},
		"a range of an infinite size":       {fence: 9, ranges: list{list{0, math.Inf(1), 0, 3, 0, 0}}},
		"more ranges than a table can have": {fence: 9, ranges: make(list, 200_000)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plain, err := cbor.Marshal(list{"plans", test.fence, owners, test.ranges})
			is.NoErr(err)
			var data bytes.Buffer
			w, err := flate.NewWriter(&data, flate.BestSpeed)
			is.NoErr(err)
			_, err = w.Write(plain)
			is.NoErr(err)
			is.NoErr(w.Close())
			_, err = fleet.DecodeTable(data.Bytes())
			is.Equal(err == nil, test.valid)
		})
	}
}

// nested returns lists within each other.
func nested(depth int) (out []any) {
	for range depth {
		out = []any{out}
	}
	return out
}

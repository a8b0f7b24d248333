package fleet_test

import (
	"testing"

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
		"gaps and moves": {table: &fleet.Table{Service: "plans", Fence: 9, Ranges: []fleet.Range{
			{From: 5, To: 9, Owner: a, Fence: 3}, {From: 10, To: 10, Owner: b, Fence: 9, PreviousOwner: &a, PreviousFence: 3}, {From: 65535, To: 65535, Owner: b, Fence: 4},
		}}, valid: true},
		"a fence above the highest": {table: &fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{{From: 0, To: 1, Owner: a, Fence: 2}}}},
		"no owner":                  {table: &fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{{From: 0, To: 1, Fence: 1}}}},
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

func TestBytesThatAreNoTable(t *testing.T) {
	is := is.New(t)
	for _, data := range [][]byte{nil, {1, 2, 3}, []byte(`{"Service":"plans"}`)} {
		_, err := fleet.DecodeTable(data)
		is.True(err != nil)
	}
}

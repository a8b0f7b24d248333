package fleet_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// An older copy of the store must not bring back keys of an earlier owner.
func TestNewerTable(t *testing.T) {
	table := func(fence fleet.Fence, revision id.Revision) *fleet.Table {
		return &fleet.Table{Service: "s", Fence: fence, Revision: revision}
	}
	tests := map[string]struct {
		known, stored *fleet.Table
		fence         fleet.Fence
		revision      id.Revision
		unsaved       bool
	}{
		"the first table":           {stored: table(3, 7), fence: 3, revision: 7},
		"a later table":             {known: table(3, 7), stored: table(4, 8), fence: 4, revision: 8},
		"completed moves":           {known: table(3, 7), stored: table(3, 8), fence: 3, revision: 8},
		"an older copy":             {known: table(5, 9), stored: table(3, later(7)), fence: 5, revision: later(7), unsaved: true},
		"a copy without the table":  {known: table(5, 9), fence: 5, unsaved: true},
		"stored again in a new era": {known: &fleet.Table{Service: "s", Fence: 5, Unsaved: true}, stored: table(5, later(8)), fence: 5, revision: later(8)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := fleet.NewerTable(test.known, test.stored)
			is.Equal(*got, fleet.Table{Service: "s", Fence: test.fence, Revision: test.revision, Unsaved: test.unsaved})
		})
	}
}

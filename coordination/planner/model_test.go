package planner_test

import (
	"fmt"
	"testing"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// The model searches every interleaving of moves with two backend servers in
// two groups, two slices, two planners and changes of the groups' holders.
//
// The lease guarantees one valid holder a group; a new one reads the table
// from the store, which the model can leave out on purpose. The property is
// that no slice is served by both backend servers at once, where a request in
// flight counts as serving.

// moveSabotage breaks one rule on purpose.
type moveSabotage struct {
	staleHolder  bool
	earlyRelease bool
	skipRelease  bool
	blindWrite   bool
}

const (
	moveSlices   = 2
	movePlans    = 3
	moveTakeover = 2
	moveServers  = 2
)

// moveState is one state; it has no pointers, so that it can be a map's key.
type moveState struct {
	store tableState
	// known is the table that each server's group holder goes by.
	known [moveServers]tableState
	// flying tells whether a server runs a request of a slice.
	flying [moveServers][moveSlices]bool
	// acked is the newest version for which each server's holder has confirmed its release.
	acked [moveServers]uint8
	// planners hold the table that each planner has read and not written back yet.
	planners  [2]tableState
	read      [2]bool
	plans     uint8
	takeovers uint8
}

type tableState struct {
	version     uint8
	owner, next [moveSlices]int8
}

func (s tableState) table() *table.Table {
	t := table.New("s", moveSlices)
	t.Version = id.Version(s.version)
	t.Owners = []id.Owner{"s0", "s1"}
	for k := range moveSlices {
		t.Slices[k] = table.Entry{Owner: int32(s.owner[k]), Next: int32(s.next[k])}
	}
	return t
}

func stateOf(t *table.Table) (s tableState) {
	s.version = uint8(t.Version)
	for k, e := range t.Slices {
		s.owner[k], s.next[k] = int8(e.Owner), int8(e.Next)
	}
	return s
}

func (s tableState) serves(server, slice int) bool {
	return s.owner[slice] == int8(server) && s.next[slice] < 0
}

// moveSuccessors returns every state that can follow.
func moveSuccessors(s moveState, b moveSabotage) (out []moveState) {
	for server := range moveServers {
		out = append(out, serverSteps(s, server, b)...)
	}
	for p := range s.planners {
		out = append(out, plannerSteps(s, p, b)...)
	}
	return out
}

func serverSteps(s moveState, server int, b moveSabotage) (out []moveState) {
	if s.known[server].version < s.store.version {
		n := s
		n.known[server] = s.store // the watch, or the planner's order
		out = append(out, n)
	}
	busy := false
	for slice := range moveSlices {
		switch {
		case s.flying[server][slice]:
			n := s
			n.flying[server][slice] = false
			out = append(out, n)
			busy = busy || !s.known[server].serves(server, slice)
		case s.known[server].serves(server, slice):
			n := s
			n.flying[server][slice] = true
			out = append(out, n)
		}
	}
	if (!busy || b.earlyRelease) && s.acked[server] < s.known[server].version {
		n := s
		n.acked[server] = s.known[server].version
		out = append(out, n)
	}
	if s.takeovers > 0 {
		// The old holder is fenced off before; the server finishes what it runs under the new one.
		n := s
		n.takeovers--
		if b.staleHolder {
			n.known[server] = tableState{owner: [moveSlices]int8{0, 1}, next: [moveSlices]int8{-1, -1}}
		} else {
			n.known[server] = s.store
		}
		out = append(out, n)
	}
	return out
}

func plannerSteps(s moveState, p int, b moveSabotage) (out []moveState) {
	if !s.read[p] {
		n := s
		n.planners[p], n.read[p] = s.store, true
		return append(out, n)
	}
	base := s.planners[p]
	write := func(next *table.Table) {
		n := s
		n.read[p] = false
		if s.store.version == base.version || b.blindWrite {
			n.store = stateOf(next)
		}
		out = append(out, n)
	}
	if s.plans > 0 {
		for lost := range moveServers {
			o := owners(moveServers)
			o[lost].Eligible = false
			if next, changed := planner.Plan(base.table(), o, planner.Load{}); changed {
				before := len(out)
				write(next)
				for k := before; k < len(out); k++ {
					out[k].plans--
				}
			}
		}
	}
	released := func(o id.Owner) bool {
		server := 0
		if o == "s1" {
			server = 1
		}
		return b.skipRelease || s.acked[server] >= base.version
	}
	if next, changed := planner.Complete(base.table(), released); changed {
		write(next)
	}
	return out
}

func (s moveState) broken() bool {
	for slice := range moveSlices {
		if s.flying[0][slice] && s.flying[1][slice] {
			return true
		}
	}
	return false
}

func searchMoves(b moveSabotage) (states int, broken *moveState) {
	first := tableState{version: 1, owner: [moveSlices]int8{0, 1}, next: [moveSlices]int8{-1, -1}}
	start := moveState{store: first, known: [moveServers]tableState{first, first}, plans: movePlans, takeovers: moveTakeover}
	visited := map[moveState]bool{start: true}
	queue := []moveState{start}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		states++
		if s.broken() {
			return states, &s
		}
		for _, n := range moveSuccessors(s, b) {
			if !visited[n] {
				visited[n] = true
				queue = append(queue, n)
			}
		}
	}
	return states, nil
}

func TestMoveModelIsExhausted(t *testing.T) {
	states, broken := searchMoves(moveSabotage{})
	if broken != nil {
		t.Fatalf("two owners after %d states: %s", states, fmt.Sprintf("%+v", *broken))
	}
	t.Logf("%d states, none with two owners", states)
}

func TestMoveModelFindsSabotage(t *testing.T) {
	tests := map[string]moveSabotage{
		"new holder goes by an old table":     {staleHolder: true},
		"release before the flight has ended": {earlyRelease: true},
		"owner changes without a release":     {skipRelease: true},
		"write that doesn't compare and swap": {blindWrite: true},
	}
	for name, b := range tests {
		t.Run(name, func(t *testing.T) {
			if states, broken := searchMoves(b); broken == nil {
				t.Fatalf("not found in %d states", states)
			}
		})
	}
}

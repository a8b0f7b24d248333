package planner_test

import (
	"fmt"
	"testing"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// The model explores every interleaving of moves with two backend servers in
// two groups, two slices, two planners and changes of the groups' lease holders.
//
// The lease guarantees one valid holder per group. A new holder reads the table
// from the store; an injected fault can skip this. The property is that no
// slice is served by both backend servers at once, where a request in flight
// counts as serving.

// injectedFault breaks one rule of the protocol, to show that the model detects it.
type injectedFault struct {
	readsStaleTable       bool
	confirmsReleaseEarly  bool
	skipsRelease          bool
	writesUnconditionally bool
}

const (
	moveSlices        = 2
	movePlans         = 3
	moveHolderChanges = 2
	moveServers       = 2
)

// moveState is one state of the model; it has no pointers, so that it can be a map key.
type moveState struct {
	store tableState
	// known is the table that the lease holder of each server's group uses.
	known [moveServers]tableState
	// inFlight says whether a server has a request of a slice in flight.
	inFlight [moveServers][moveSlices]bool
	// releasedVersion is the newest table version for which the lease holder of each server's group has confirmed its
	// release.
	releasedVersion [moveServers]uint8
	// planners holds the table that each planner has read and not written back yet.
	planners      [2]tableState
	read          [2]bool
	plans         uint8
	holderChanges uint8
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

func tableStateOf(t *table.Table) (s tableState) {
	s.version = uint8(t.Version)
	for k, e := range t.Slices {
		s.owner[k], s.next[k] = int8(e.Owner), int8(e.Next)
	}
	return s
}

func (s tableState) serves(server, slice int) bool {
	return s.owner[slice] == int8(server) && s.next[slice] < 0
}

// moveSuccessors returns all states that can follow a state.
func moveSuccessors(s moveState, fault injectedFault) (out []moveState) {
	for server := range moveServers {
		out = append(out, serverSteps(s, server, fault)...)
	}
	for p := range s.planners {
		out = append(out, plannerSteps(s, p, fault)...)
	}
	return out
}

func serverSteps(s moveState, server int, fault injectedFault) (out []moveState) {
	if s.known[server].version < s.store.version {
		n := s
		n.known[server] = s.store // by a store update, or by a release call of the planner
		out = append(out, n)
	}
	draining := false // the server has requests of slices in flight that it no longer serves
	for slice := range moveSlices {
		switch {
		case s.inFlight[server][slice]:
			n := s
			n.inFlight[server][slice] = false
			out = append(out, n)
			draining = draining || !s.known[server].serves(server, slice)
		case s.known[server].serves(server, slice):
			n := s
			n.inFlight[server][slice] = true
			out = append(out, n)
		}
	}
	if (!draining || fault.confirmsReleaseEarly) && s.releasedVersion[server] < s.known[server].version {
		n := s
		n.releasedVersion[server] = s.known[server].version
		out = append(out, n)
	}
	if s.holderChanges > 0 {
		// The old holder is fenced before this step; the requests that the server has in flight end under the new holder.
		n := s
		n.holderChanges--
		if fault.readsStaleTable {
			n.known[server] = tableState{owner: [moveSlices]int8{0, 1}, next: [moveSlices]int8{-1, -1}}
		} else {
			n.known[server] = s.store
		}
		out = append(out, n)
	}
	return out
}

func plannerSteps(s moveState, p int, fault injectedFault) (out []moveState) {
	if !s.read[p] {
		n := s
		n.planners[p], n.read[p] = s.store, true
		return append(out, n)
	}
	base := s.planners[p]
	write := func(next *table.Table) {
		n := s
		n.read[p] = false
		if s.store.version == base.version || fault.writesUnconditionally {
			n.store = tableStateOf(next)
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
		return fault.skipsRelease || s.releasedVersion[server] >= base.version
	}
	if next, changed := planner.Complete(base.table(), released); changed {
		write(next)
	}
	return out
}

func (s moveState) hasTwoOwners() bool {
	for slice := range moveSlices {
		if s.inFlight[0][slice] && s.inFlight[1][slice] {
			return true
		}
	}
	return false
}

// searchMoves visits all reachable states, and stops at the first in which a slice has two owners.
func searchMoves(fault injectedFault) (states int, violation *moveState) {
	first := tableState{version: 1, owner: [moveSlices]int8{0, 1}, next: [moveSlices]int8{-1, -1}}
	start := moveState{store: first, known: [moveServers]tableState{first, first}, plans: movePlans, holderChanges: moveHolderChanges}
	visited := map[moveState]bool{start: true}
	queue := []moveState{start}
	for len(queue) > 0 {
		s := queue[0]
		queue = queue[1:]
		states++
		if s.hasTwoOwners() {
			return states, &s
		}
		for _, n := range moveSuccessors(s, fault) {
			if !visited[n] {
				visited[n] = true
				queue = append(queue, n)
			}
		}
	}
	return states, nil
}

func TestMoveModelHasNoStateWithTwoOwners(t *testing.T) {
	states, violation := searchMoves(injectedFault{})
	if violation != nil {
		t.Fatalf("a slice has two owners after %d states: %s", states, fmt.Sprintf("%+v", *violation))
	}
	t.Logf("%d states, none in which a slice has two owners", states)
}

func TestMoveModelFindsInjectedFaults(t *testing.T) {
	tests := map[string]injectedFault{
		"new holder uses a stale table":                     {readsStaleTable: true},
		"release is confirmed while requests are in flight": {confirmsReleaseEarly: true},
		"owner changes without a release":                   {skipsRelease: true},
		"write without a compare-and-swap":                  {writesUnconditionally: true},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			if states, violation := searchMoves(fault); violation == nil {
				t.Fatalf("the model did not detect the fault in %d states", states)
			}
		})
	}
}

package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A late entry of a former life must not make the living one count as dead, since its keys would be given away at once.
func TestOnlyALaterStartEndsALife(t *testing.T) {
	is := is.New(t)
	k := &keys{edge: &Edge{clock: clock.System{}}}
	k.begin(0)
	for _, born := range []fleet.StartTime{5, 9, 5, 9} {
		life := fleet.Incarnation{Server: "a", Born: born}
		k.noteLives(&fleet.Snapshot{Servers: map[id.Server]fleet.Server{"a": {Incarnation: life}}})
	}
	is.True(k.dead[fleet.Incarnation{Server: "a", Born: 5}])
	is.True(!k.dead[fleet.Incarnation{Server: "a", Born: 9}])
}

// The address of a backend server that has ended may be given to another one, which turns the orders for it down.
func TestALaterLifeAtItsAddressEndsALife(t *testing.T) {
	former := fleet.Server{Incarnation: fleet.Incarnation{Server: "a", Born: 5}, Address: "10.0.0.1:80"}
	tests := map[string]struct {
		next   fleet.Server
		denied bool
		over   bool
	}{
		"another server, and it denies":       {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.1:80"}, denied: true, over: true},
		"another server, but no order failed": {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.1:80"}},
		"an earlier start":                    {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 4}, Address: "10.0.0.1:80"}, denied: true},
		"another address":                     {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.2:80"}, denied: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := &keys{edge: &Edge{clock: clock.System{}}, addresses: map[id.Server]fleet.Server{"a": former}}
			k.begin(0)
			s := &fleet.Snapshot{Servers: map[id.Server]fleet.Server{test.next.Server: test.next}}
			k.noteLives(s)
			k.noteTrouble(1, former.Incarnation, ownership.Unanswered, false)
			if test.denied {
				k.deny(former.Incarnation)
			}
			is.Equal(k.over(s, former.Incarnation), test.over)
		})
	}
}

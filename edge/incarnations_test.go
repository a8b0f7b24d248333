package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// A stale entry of a former incarnation must not mark the running one as ended, since its keys would be granted to others at once.
func TestOnlyLaterStartEndsIncarnation(t *testing.T) {
	is := is.New(t)
	k := &keyManager{edge: &Edge{clock: clock.System{}}}
	k.reset(0, false)
	for _, born := range []fleet.StartTime{5, 9, 5, 9} {
		inc := fleet.Incarnation{Server: "a", Born: born}
		k.recordIncarnations(&fleet.Snapshot{Servers: map[id.Server]fleet.Server{"a": {Incarnation: inc}}})
	}
	is.True(k.ended[fleet.Incarnation{Server: "a", Born: 5}])
	is.True(!k.ended[fleet.Incarnation{Server: "a", Born: 9}])
}

// The address of a backend server that has ended may be reused by another one, which rejects calls meant for the former.
func TestLaterIncarnationAtSameAddressEndsIncarnation(t *testing.T) {
	former := fleet.Server{Incarnation: fleet.Incarnation{Server: "a", Born: 5}, Address: "10.0.0.1:80"}
	tests := map[string]struct {
		next     fleet.Server
		rejected bool
		ended    bool
	}{
		"another server that rejects a call": {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.1:80"}, rejected: true, ended: true},
		"another server, no rejected call":   {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.1:80"}},
		"an earlier start":                   {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 4}, Address: "10.0.0.1:80"}, rejected: true},
		"another address":                    {next: fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 9}, Address: "10.0.0.2:80"}, rejected: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := &keyManager{edge: &Edge{clock: clock.System{}}, lastEntries: map[id.Server]fleet.Server{"a": former}}
			k.reset(0, false)
			s := &fleet.Snapshot{Servers: map[id.Server]fleet.Server{test.next.Server: test.next}}
			k.recordIncarnations(s)
			k.recordCallOutcome(1, former.Incarnation, ownership.Unanswered, false)
			if test.rejected {
				k.recordRejection(former.Incarnation)
			}
			is.Equal(k.hasEnded(s, former.Incarnation), test.ended)
		})
	}
}

package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// dialed is what a request rests on while its connection is opened.
type dialed struct {
	servers    map[id.Server]fleet.Server
	table      *fleet.Table
	evacuated  map[id.Domain]bool
	dispatcher *dispatch.Dispatcher
	forwarder  *forward.Forwarder
	stopping   bool
	caller     bool
	leave      context.CancelFunc
	cfg        *fleet.Configuration
	clock      clock.Clock
	crashes    *poison.Ledger
}

// update passes the backend servers and tables on.
func (d *dialed) update() {
	d.dispatcher.Update(&fleet.Snapshot{
		Configuration: d.cfg, Servers: d.servers, ByService: fleet.ByService(d.servers), Evacuated: d.evacuated, Tables: map[id.Service]*fleet.Table{service: d.table},
	})
}

// change replaces the entry of the backend server a.
func (d *dialed) change(f func(s *fleet.Server)) {
	next := map[id.Server]fleet.Server{}
	for n, s := range d.servers {
		if n == "a" {
			f(&s)
		}
		next[n] = s
	}
	d.servers = next
	d.update()
}

// What became known while the connection to a backend server was opened had no effect on the request that was then written.
func TestFactsThatChangeDuringDialsCount(t *testing.T) {
	const timeout = time.Second
	tests := map[string]struct {
		keyed  bool
		change func(d *dialed)
		// sentTo is the backend server that runs the request; empty means that it is refused as not run, with the reason.
		sentTo id.Server
		reason outcome.Reason
	}{
		"nothing":           {change: func(*dialed) {}, sentTo: "a"},
		"the caller leaves": {change: func(d *dialed) { d.leave() }, reason: outcome.CallerDisconnected},
		"the caller leaves, only its socket says": {change: func(d *dialed) { d.caller = true }, reason: outcome.CallerDisconnected},
		"the VM stops":                    {change: func(d *dialed) { d.stopping = true }, reason: outcome.Stopping},
		"hardly any time is left":         {change: func(*dialed) { time.Sleep(timeout - 20*time.Millisecond + 1) }, reason: outcome.Overloaded},
		"the backend server drains":       {change: func(d *dialed) { d.change(func(s *fleet.Server) { s.Draining = true }) }, sentTo: "b"},
		"it is replaced":                  {change: func(d *dialed) { d.change(func(s *fleet.Server) { s.Born = 2 }) }, sentTo: "b"},
		"its failure domain is evacuated": {change: func(d *dialed) { d.evacuated = map[id.Domain]bool{"east": true}; d.update() }, sentTo: "b"},
		"its entry is removed":            {change: func(d *dialed) { d.servers = map[id.Server]fleet.Server{"b": d.servers["b"]}; d.update() }, sentTo: "b"},
		"the request crashes its version": {change: func(d *dialed) {
			for _, n := range []id.Server{"x", "y"} {
				d.crash(fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Version: "v1"})
			}
		}, sentTo: "b"},
		"nothing, with a key":  {keyed: true, change: func(*dialed) {}, sentTo: "a"},
		"the key has moved":    {keyed: true, change: func(d *dialed) { d.own("b", 2) }, sentTo: "b"},
		"the key has no owner": {keyed: true, change: func(d *dialed) { d.own("gone", 2) }, reason: outcome.NoOwner},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
				d := &dialed{clock: c, crashes: poison.NewLedger(), servers: map[id.Server]fleet.Server{}, cfg: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{service: {Name: service, Keyed: test.keyed}}, fleet.Limits{})}
				for n, domain := range map[id.Server]id.Domain{"a": "east", "b": "west"} {
					d.servers[n] = fleet.Server{Incarnation: fleet.Incarnation{Server: n, Born: 1}, Service: service, Domain: domain, Slots: 4, Version: id.SoftwareVersion("v" + map[id.Server]string{"a": "1", "b": "2"}[n])}
				}
				d.dispatcher = dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(c))
				d.own("a", 1)
				ctx, leave := context.WithTimeout(t.Context(), timeout)
				defer leave()
				d.leave = leave
				var sentTo []id.Server
				attempts := 0
				d.forwarder = forward.NewForwarder(d.dispatcher, forward.WithClock(c), forward.WithCrashes(d.crashes), forward.WithAccepts(func(*forward.Request) bool { return !d.stopping }),
					forward.WithSend(func(_ context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
						if attempts++; attempts == 1 {
							test.change(d)
						}
						if v := a.Clear(); v != clearance.Granted {
							return nil, &forward.Failure{Withheld: true, Cause: errors.New(v.String())}
						}
						sentTo = append(sentTo, a.Slot.Server.Server)
						return &forward.Reply{Answer: forward.Answer{Status: 200}}, nil
					}))
				now := c.Boot()
				_, err := d.forwarder.Forward(ctx, &forward.Request{
					ID: "1", Method: "POST", Target: "/t", Service: service, Keyed: test.keyed, Key: 7, Arrived: now, Deadline: now.Add(timeout), Objective: now.Add(timeout / 2),
					Route: &fleet.Route{Name: "r", MaxAttempts: 2, Objective: timeout / 2}, HasCallerLeft: func() bool { return d.caller }, Exchange: t.Context(),
				})
				is.Equal(len(d.dispatcher.Loads()), 0)
				if test.sentTo != "" {
					is.NoErr(err)
					is.Equal(sentTo, []id.Server{test.sentTo})
					return
				}
				is.Equal(len(sentTo), 0)
				is.Equal(outcome.FromError(err).Outcome, outcome.KindNotRun)
				is.Equal(outcome.FromError(err).Reason, test.reason)
			})
		})
	}
}

// own gives all keys to a backend server.
func (d *dialed) own(owner id.Server, fence fleet.Fence) {
	d.table = &fleet.Table{Service: service, Fence: fence, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: fleet.Incarnation{Server: owner, Born: 1}, Fence: fence}}}
	d.update()
}

// crash records that the request has crashed a backend server.
func (d *dialed) crash(s fleet.Server) {
	const apart = 250 * time.Millisecond
	d.crashes.Begin(d.clock.Boot(), s.Incarnation, poison.FingerprintOf(string(service), "POST", "/t", nil))
	d.crashes.RecordCrash(d.clock.Boot(), s, true)
	time.Sleep(apart)
}

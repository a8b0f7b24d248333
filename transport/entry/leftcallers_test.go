package entry_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/entry"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

const (
	// callerLeaves is when the caller leaves after its request, and waitEnds when the request's wait ends.
	callerLeaves = 70 * time.Millisecond
	waitEnds     = 1200 * time.Millisecond
)

// waitCase is a wait of a request before a backend server gets it.
type waitCase struct {
	// occupied is the number of requests that take the only backend server until waitEnds.
	occupied int
	// admitted says that the request waits for its customer's allotment.
	admitted bool
	// first is the result of the first attempt, which ends at waitEnds; nil means an answer at once.
	first *forward.Failure
	// rejected says that the first attempt is rejected, and keyed that this is since the key has moved.
	rejected, keyed bool
}

// waits are the waits of a request between its reading and its sending.
var waits = map[string]waitCase{
	"in the queue":                          {occupied: 2},
	"for its customer's allotment":          {admitted: true},
	"for a connection that fails":           {first: &forward.Failure{Cause: errors.New("i/o timeout")}},
	"for a connection that is refused":      {first: &forward.Failure{Refused: true, Cause: errors.New("connection refused")}},
	"for a free connection":                 {first: &forward.Failure{AtConnectionLimit: true, Cause: errors.New("all connections are in use")}},
	"at a backend server that rejects it":   {rejected: true},
	"for the new owner of a key that moved": {rejected: true, keyed: true},
}

// waitResult is what became of a request that waited.
type waitResult struct {
	// late is the number of attempts that began after the caller had left.
	late int
	// waiting is the number of queued requests, and loads that of requests at backend servers, at the end.
	waiting, loads int
	event          entry.Event
	released       int
}

// leaveDuring sends a request whose caller leaves during a wait.
func leaveDuring(t *testing.T, w waitCase, idempotent bool) (r waitResult) {
	t.Helper()
	serveWith(t, func(d *entry.Dependencies) {
		servers := map[id.Server]fleet.Server{"a": {Incarnation: fleet.Incarnation{Server: "a", Born: 1}, Service: "s", Domain: "east", Slots: 1}}
		if w.occupied == 0 {
			servers["b"] = fleet.Server{Incarnation: fleet.Incarnation{Server: "b", Born: 1}, Service: "s", Domain: "east", Slots: 1}
		}
		configuration := fleet.NewConfiguration(1, []fleet.Route{{
			Name: "r", Host: "a.example", Prefix: "/", Timeout: 5 * time.Second, Objective: 4 * time.Second, Idempotent: idempotent, MaxAttempts: 3,
			Targets: []fleet.Target{{Service: "s", Weight: 1}},
		}}, map[id.Service]fleet.Service{"s": {Name: "s", Keyed: w.keyed}}, fleet.Limits{})
		configuration.Customers = fleet.NewCustomers(1)
		configuration.Customers.Add(fleet.Customer{Name: "acme", Allotment: fleet.Allotment{Rate: 20, Burst: 5}}, fleet.DigestKey(acmeKey))
		snapshot := &fleet.Snapshot{
			Configuration: configuration, Servers: servers, ByService: fleet.ByService(servers),
			Tables: map[id.Service]*fleet.Table{"s": {Service: "s", Fence: 1, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: servers["a"].Incarnation, Fence: 1}}}},
		}
		dispatcher := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(d.Clock))
		dispatcher.Update(snapshot)
		began, firstUsed := d.Clock.Boot(), false
		forwarder := forward.NewForwarder(dispatcher, forward.WithClock(d.Clock), forward.WithRetries(0.1, func() float64 { return 9 }),
			forward.WithSend(func(ctx context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
				answer := &forward.Reply{Answer: forward.Answer{Status: http.StatusOK, Header: http.Header{}}}
				if a.Request.ID != "waits" {
					time.Sleep(waitEnds)
					return answer, nil
				}
				if d.Clock.Boot().Sub(began) > callerLeaves {
					r.late++
				}
				if firstUsed || w.first == nil && !w.rejected {
					return answer, nil
				}
				firstUsed = true
				select {
				case <-time.After(waitEnds):
				case <-ctx.Done():
					return nil, &forward.Failure{Sent: w.rejected, Cause: ctx.Err()}
				}
				if w.rejected {
					return &forward.Reply{Answer: forward.Answer{Status: http.StatusServiceUnavailable}, NotRun: true, Misplaced: w.keyed}, nil
				}
				return nil, w.first
			}))
		d.View = func() (*fleet.Snapshot, bool) { return snapshot, true }
		d.Headers.APIKey, d.Headers.Customer = "Key", "Tenant"
		d.Admit = func(ctx context.Context, _ *fleet.Customer, _ clock.Instant) (entry.Ticket, error) {
			if w.admitted {
				select {
				case <-time.After(waitEnds):
				case <-ctx.Done():
					r.released++
					return nil, outcome.NotRun(outcome.CallerDisconnected, "the caller left")
				}
			}
			return countingTicket{&r}, nil
		}
		d.Forward = forwarder.Forward
		d.Observe = func(e entry.Event) {
			if e.ID == "waits" {
				r.event, r.waiting, r.loads = e, dispatcher.Waiting("s"), len(dispatcher.Loads())
			}
		}
	}, func(l *pipeListener) {
		for n := range w.occupied {
			go post(t, l, fmt.Sprint("occupies ", n))
		}
		time.Sleep(time.Nanosecond)
		c := post(t, l, "waits")
		time.Sleep(callerLeaves)
		_ = c.Close()
		time.Sleep(10 * time.Second)
	})
	return r
}

// countingTicket is a charge whose release is counted.
type countingTicket struct{ r *waitResult }

func (countingTicket) ChargeAttempt() bool { return true }

func (c countingTicket) Release() { c.r.released++ }

// post sends a request on a new connection.
func post(t *testing.T, l *pipeListener, id string) net.Conn {
	c := l.dial()
	if _, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Key: 7\r\nKey: %s\r\nContent-Length: 4\r\n\r\nbody", id, acmeKey); err != nil {
		t.Error(err)
	}
	return c
}

// A request that may run at most once went on to a backend server long after its caller had left, as nothing ended its waits.
func TestRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	for name, w := range waits {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := leaveDuring(t, w, false)
			is.Equal(r.late, 0)
			is.True(r.event.Refusal != nil)
			is.Equal(r.event.Refusal.Outcome, outcome.KindNotRun)
			is.Equal(r.released, 1) // The customer isn't charged for a request that wasn't run.
		})
	}
}

// A request that waits for a backend server must leave the queue with its caller, so that others aren't refused for its sake.
func TestQueuedRequestsOfCallersThatLeftLeaveTheQueue(t *testing.T) {
	for name, idempotent := range map[string]bool{"idempotent": true, "not idempotent": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := leaveDuring(t, waits["in the queue"], idempotent)
			is.Equal(r.event.Duration, callerLeaves)
			is.Equal(r.waiting, 0)
		})
	}
}

// A request that may be repeated must not be sent after its caller has left.
func TestIdempotentRequestsOfCallersThatLeftAreNotSent(t *testing.T) {
	for name, w := range waits {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := leaveDuring(t, w, true)
			is.Equal(r.late, 0)
			is.True(r.event.Refusal != nil)
		})
	}
}

// heldListener accepts connections only once it is released.
type heldListener struct {
	net.Listener
	released chan struct{}
}

func (l *heldListener) Accept() (net.Conn, error) {
	<-l.released
	return l.Listener.Accept()
}

// A VM that is short of processor reads a request after its caller has left, and must not pass it on then.
func TestRequestsReadAfterTheirCallersLeftAreNotSent(t *testing.T) {
	const requests = 50
	is := is.New(t)
	target := []fleet.Target{{Service: "s", Weight: 1}}
	snapshot := &fleet.Snapshot{Configuration: fleet.NewConfiguration(1, []fleet.Route{{Name: "r", Host: "a.example", Prefix: "/", Timeout: 5 * time.Second, Targets: target}},
		map[id.Service]fleet.Service{"s": {Name: "s"}}, fleet.Limits{})}
	servers := map[id.Server]fleet.Server{"a": {Incarnation: fleet.Incarnation{Server: "a", Born: 1}, Service: "s", Domain: "east", Slots: requests}}
	snapshot.Servers, snapshot.ByService = servers, fleet.ByService(servers)
	dispatcher := dispatch.NewDispatcher("vm1", "east")
	dispatcher.Update(snapshot)
	sent, ended := make(chan string, requests), make(chan entry.Event, requests)
	forwarder := forward.NewForwarder(dispatcher, forward.WithSend(func(_ context.Context, a forward.Attempt) (*forward.Reply, *forward.Failure) {
		if v := a.Clear(); v != clearance.Granted {
			return nil, &forward.Failure{Withheld: true, Cause: errors.New(v.String())}
		}
		sent <- a.Request.ID
		return &forward.Reply{Answer: forward.Answer{Status: http.StatusOK, Header: http.Header{}}}, nil
	}))
	h := entry.NewHandler(entry.Dependencies{
		Clock: clock.System{}, Headers: entry.HeaderNames{RequestID: "X-Id"}, View: func() (*fleet.Snapshot, bool) { return snapshot, true },
		PickService: func(r *fleet.Route) id.Service { return r.Targets[0].Service }, Forward: forwarder.Forward, HasLeft: http1server.HasLeft, Observe: func(e entry.Event) { ended <- e },
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	held := &heldListener{l, make(chan struct{})}
	server := http1server.New(h)
	done := make(chan error, 1)
	go func() { done <- server.Serve(held) }()
	for n := range requests {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a.example\r\nX-Id: %d\r\nContent-Length: 4\r\n\r\nbody", n)
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	close(held.released)
	for range requests {
		<-ended
	}
	is.NoErr(server.Close())
	is.True(errors.Is(<-done, http.ErrServerClosed))
	is.Equal(len(sent), 0)
}

// A request that a backend server may have is completed when its caller leaves, and its outcome is recorded.
func TestRequestsThatMayHaveRunOutlastTheirCallers(t *testing.T) {
	tests := map[string]struct {
		failure *forward.Failure
		status  int
		outcome outcome.Kind
	}{
		"answered":       {status: http.StatusOK},
		"without answer": {failure: &forward.Failure{Sent: true, Cause: errors.New("connection reset")}, status: http.StatusBadGateway, outcome: outcome.KindUnknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var event entry.Event
			cut := false
			serveWith(t, func(d *entry.Dependencies) {
				servers := map[id.Server]fleet.Server{"a": {Incarnation: fleet.Incarnation{Server: "a", Born: 1}, Service: "s", Domain: "east", Slots: 1}}
				dispatcher := dispatch.NewDispatcher("vm1", "east", dispatch.WithClock(d.Clock))
				snapshot, _ := d.View()
				dispatcher.Update(&fleet.Snapshot{Configuration: snapshot.Configuration, Servers: servers, ByService: fleet.ByService(servers)})
				d.Forward = forward.NewForwarder(dispatcher, forward.WithClock(d.Clock), forward.WithSend(func(ctx context.Context, _ forward.Attempt) (*forward.Reply, *forward.Failure) {
					select {
					case <-time.After(waitEnds):
					case <-ctx.Done():
						cut = true
					}
					if test.failure != nil {
						return nil, test.failure
					}
					return &forward.Reply{Answer: forward.Answer{Status: http.StatusOK, Header: http.Header{}}}, nil
				})).Forward
				d.Observe = func(e entry.Event) { event = e }
			}, func(l *pipeListener) {
				c := post(t, l, "1")
				time.Sleep(callerLeaves)
				is.NoErr(c.Close())
				time.Sleep(10 * time.Second)
			})
			is.True(!cut)
			is.Equal(event.Status, test.status)
			is.Equal(event.Attempts, map[bool]int{true: 1}[test.failure == nil])
			if test.outcome != "" {
				is.Equal(event.Refusal.Outcome, test.outcome)
			}
		})
	}
}

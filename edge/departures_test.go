package edge

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// leavingVM is a VM that knows two backend servers, s1 and s2, and isn't running.
type leavingVM struct {
	*Edge
	clock    *fixedClock
	log      *bytes.Buffer
	revision id.Revision
}

func newLeavingVM(t *testing.T) *leavingVM {
	t.Helper()
	v := &leavingVM{clock: &fixedClock{now: clock.Instant(time.Hour)}, log: &bytes.Buffer{}}
	e, err := New(settings.Edge{
		VM: "a", FailureDomain: "east", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3", MetricsAddress: "127.0.0.1:4",
		Store: "127.0.0.1:5", LogLevel: "info", GraceTime: unit.Duration(time.Second), ServerHeartbeat: unit.Duration(time.Second),
		RetryShare: 0.2, RetrySlack: 60, RetryWindow: unit.Duration(10 * time.Second), WarmOverage: 1.5, WarmSlack: 5,
		MaxHold: unit.Duration(10 * time.Second), DrainTime: unit.Duration(2500 * time.Millisecond), Processor: 1, Link: 1000, Memory: 1 << 28,
	}, WithClock(v.clock), WithLog(slog.New(slog.NewTextHandler(v.log, nil))))
	if err != nil {
		t.Fatal(err)
	}
	v.Edge = e
	v.put("op/config", `{"Version":"00000001","Clusters":[{"Name":"plans","MaxConnections":100}]}`)
	v.register("s1", "127.0.0.1:9", 1)
	v.register("s2", "127.0.0.1:10", 1)
	return v
}

// put applies an item of the store.
func (v *leavingVM) put(key, value string) {
	v.revision++
	v.mirror.Apply(fleet.Update{From: v.revision - 1, To: v.revision, Items: []fleet.Item{{Key: key, Value: []byte(value), Revision: v.revision}}})
	v.publishSnapshot()
}

// lead makes the VM the leader of a term that counts by some VMs.
func (v *leavingVM) lead(term id.Revision, voters ...id.VM) {
	v.put(platform.KeyVoters(), string(encodedVoters(voters...)))
	v.elector.Won(v.clock.now, term)
}

// encodedVoters returns a record of voters of one failure domain.
func encodedVoters(vms ...id.VM) []byte {
	members := map[id.VM]id.Domain{}
	for _, vm := range vms {
		members[vm] = "east"
	}
	data, err := fleet.EncodeVoters(fleet.Voters{VotersID: fleet.VotersID{Term: 1, Number: 1}, Members: members})
	if err != nil {
		panic(err)
	}
	return data
}

// register registers an incarnation of a backend server.
func (v *leavingVM) register(name id.Server, address string, born fleet.StartTime) {
	v.put("servers/"+string(name), fmt.Sprintf(`{"Service":"plans","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":%d}`, address, born))
}

func (v *leavingVM) isUsable(name id.Server) bool {
	s := v.snapshot.Load()
	return s.Usable(s.Servers[name])
}

// attemptAt returns an attempt of a request at the first backend server.
func attemptAt(address string) relay.Attempt {
	return relay.Attempt{
		Server: "s1", Born: 1, Address: address, Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}, RequestID: "r1", Timeout: 2 * time.Second,
	}
}

// serveHead starts a backend server that answers each request with the given header fields, and returns its address.
func serveHead(t *testing.T, status int, header http.Header) (address string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		for name, values := range header {
			w.Header()[name] = values
		}
		w.WriteHeader(status)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// serveBytes starts a backend server that answers the first request with the given bytes, and returns its address.
func serveBytes(t *testing.T, response string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, response)
	}()
	return l.Addr().String()
}

// A backend server that leaves says so in any response. New requests must avoid it from the first one on that this VM reads.
func TestLeavingIsSeenInAnyResponse(t *testing.T) {
	leaving := http.Header{platform.HeaderLeaving: {"1"}}
	const late = "HTTP/1.1 200 OK\r\nAttempt-Id: r0\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	tests := map[string]struct {
		play    func(t *testing.T, v *leavingVM)
		leaving bool
	}{
		"a response": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveHead(t, http.StatusOK, leaving)))
		}},
		"a server error": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveHead(t, http.StatusInternalServerError, leaving)))
		}},
		"a response without the header": {play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveHead(t, http.StatusOK, nil)))
		}},
		"a response to a grant": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			a := attemptAt(serveHead(t, http.StatusOK, leaving))
			a.Command = true
			v.attempt(t.Context(), a)
		}},
		"a late response to another request": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveBytes(t, late)))
		}},
		"a response whose caller leaves before its body": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveBytes(t, "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nServer-Leaving: 1\r\nContent-Length: 9\r\n\r\n")))
		}},
		"a response to an attempt for another VM": {leaving: true, play: func(t *testing.T, v *leavingVM) {
			address := serveHead(t, http.StatusOK, leaving)
			v.register("s1", address, 1)
			_, ok := v.attemptForOther(t.Context(), attemptAt(address))
			if !ok {
				t.Error("the attempt was declined")
			}
		}},
		"a message of another VM": {leaving: true, play: func(_ *testing.T, v *leavingVM) {
			v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Server: "s1", Born: 1, Age: 40}}})
		}},
		"a message about an earlier incarnation": {play: func(_ *testing.T, v *leavingVM) {
			v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Server: "s1", Born: 0, Age: 40}}})
		}},
		"messages that are malformed": {play: func(_ *testing.T, v *leavingVM) {
			v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Born: 1}, {Server: "s1", Born: 1, Age: -1}, {Server: "s1", Born: 1, Age: 1 << 62}, {Server: "s1", Born: 1, Age: -1 << 62}}})
		}},
		"a response of another backend server": {play: func(t *testing.T, v *leavingVM) {
			v.attempt(t.Context(), attemptAt(serveHead(t, http.StatusMisdirectedRequest, http.Header{platform.HeaderLeaving: {"1"}, platform.HeaderInstance: {"s9"}})))
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			test.play(t, v)
			is.Equal(v.isUsable("s1"), !test.leaving)
			is.True(v.isUsable("s2"))
			v.put("other/key", "1")
			is.Equal(v.isUsable("s1"), !test.leaving) // A change of the store must not take it back.
			for range 20 {
				now := v.clock.now
				slot, err := v.dispatcher.Acquire(t.Context(), dispatch.Demand{Service: "plans", Deadline: now.Add(time.Second), Objective: now.Add(time.Second)})
				is.NoErr(err)
				is.True(!test.leaving || slot.Server.Server == "s2")
				slot.Done(dispatch.Cancelled, dispatch.Report{})
			}
			v.register("s1", "127.0.0.1:9", 2)
			is.True(v.isUsable("s1")) // A new incarnation isn't leaving.
		})
	}
}

// The keys of a leaving owner must move, also where this VM has only heard of it from another one.
func TestKeysOfLeavingServersMove(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Server: "s1", Born: 1}}})
	eligible := map[id.Server]bool{}
	for _, c := range v.keys.candidates(v.clock.now, v.snapshot.Load(), "plans") {
		eligible[c.Incarnation.Server] = c.Eligible
	}
	is.Equal(eligible, map[id.Server]bool{"s1": false, "s2": true})
	is.True(len(v.replan) > 0)
}

// Each VM logs and counts a departure once, and tells the others only of what it has seen itself.
func TestLeavingIsToldOnce(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	address := serveHead(t, http.StatusOK, http.Header{platform.HeaderLeaving: {"1"}})
	for range 3 {
		v.attempt(t.Context(), attemptAt(address))
		v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Server: "s1", Born: 1}, {Server: "s2", Born: 1}}})
	}
	is.Equal(strings.Count(v.log.String(), "announced that it leaves"), 2)
	is.Equal(v.metrics.leaving.Load(), int64(2))
	news := v.departures.TakeNews(v.clock.now)
	is.Equal(len(news), 1)
	is.Equal(news[0].Incarnation, fleet.Incarnation{Server: "s1", Born: 1})
}

// An attempt that was decided on before a response announced the departure, and delayed since, must not be sent near the end of the drain
// time. Commands still are, as keys are released by them.
func TestDelayedAttemptsAreNotSent(t *testing.T) {
	tests := map[string]struct {
		delay   time.Duration
		command bool
		sent    bool
	}{
		"a short delay":  {delay: time.Second, sent: true},
		"a long delay":   {delay: 1600 * time.Millisecond},
		"much later":     {delay: time.Minute},
		"a long command": {delay: time.Minute, command: true, sent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			a := attemptAt(serveHead(t, http.StatusOK, nil))
			v.observeHead(a, http.StatusOK, http.Header{platform.HeaderLeaving: {"1"}})
			v.clock.now = v.clock.now.Add(test.delay)
			a.Command = test.command
			r := v.attempt(t.Context(), a)
			is.Equal(r.Failure == nil, test.sent)
			if !test.sent {
				is.True(!r.Failure.Sent && r.Failure.AtConnectionLimit) // The request may go elsewhere.
			}
		})
	}
}

// A response with Retry-After pauses the backend server for the VM that opened the connection, whichever VM the request came to.
func TestPausesFollowTheConnection(t *testing.T) {
	inc := fleet.Incarnation{Server: "s1", Born: 1}
	header := http.Header{"Retry-After": {"2"}, platform.HeaderNotRun: {"1"}}
	t.Run("own connection", func(t *testing.T) {
		is := is.New(t)
		v := newLeavingVM(t)
		a := attemptAt(serveHead(t, http.StatusServiceUnavailable, header))
		v.attempt(t.Context(), a)
		is.True(v.dispatcher.IsPaused(inc))
		is.True(!v.attempt(t.Context(), a).Failure.Sent) // A delayed attempt isn't sent.
		v.clock.now = v.clock.now.Add(2 * time.Second)
		is.True(!v.dispatcher.IsPaused(inc))
		is.Equal(v.attempt(t.Context(), a).Status, http.StatusServiceUnavailable)
		is.Equal(v.metrics.pauses.Load(), int64(2))
		is.Equal(strings.Count(v.log.String(), "wants no requests of this VM"), 2)
	})
	t.Run("late response", func(t *testing.T) {
		is := is.New(t)
		v := newLeavingVM(t)
		v.attempt(t.Context(), attemptAt(serveBytes(t, "HTTP/1.1 503 Busy\r\nAttempt-Id: r0\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")))
		is.True(v.dispatcher.IsPaused(inc))
	})
	t.Run("for another VM", func(t *testing.T) {
		is := is.New(t)
		v := newLeavingVM(t)
		address := serveHead(t, http.StatusServiceUnavailable, header)
		v.register("s1", address, 1)
		r, ok := v.attemptForOther(t.Context(), attemptAt(address))
		is.True(ok)
		is.Equal(r.Header.Get("Retry-After"), "2")
		is.True(v.dispatcher.IsPaused(inc))
		_, ok = v.attemptForOther(t.Context(), attemptAt(address))
		is.True(!ok) // Another VM may be asked, which has no pause.
	})
	t.Run("many", func(t *testing.T) {
		is := is.New(t)
		v := newLeavingVM(t)
		for range 1000 {
			v.observeHead(attemptAt(""), http.StatusServiceUnavailable, header)
			v.clock.now = v.clock.now.Add(3 * time.Second)
		}
		is.Equal(v.metrics.pauses.Load(), int64(1000))
		is.True(strings.Count(v.log.String(), "wants no requests of this VM") < 100)
	})
}

// peerSends makes a VM cut off from all backend servers and registers another VM that makes its attempts as given.
func (v *leavingVM) peerSends(t *testing.T, send relay.Send) {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(relay.Path, relay.NewHandler(v.bodies, send))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	v.put("hickorylug/vm/b", fmt.Sprintf(`{"VM":"b","Domain":"east","Address":%q,"Incarnation":"i"}`, strings.TrimPrefix(server.URL, "http://")))
}

// A response that came through another VM says that the backend server leaves, but a pause that it names is for the other VM.
func TestResponsesThroughAnotherVM(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	asked := 0
	v.peerSends(t, func(context.Context, relay.Attempt) (relay.Result, bool) {
		asked++
		return relay.Result{Status: http.StatusServiceUnavailable, Header: http.Header{platform.HeaderLeaving: {"1"}, "Retry-After": {"2"}, platform.HeaderNotRun: {"1"}}}, true
	})
	r, ok := v.attemptThroughOthers(t.Context(), attemptAt("127.0.0.1:9"))
	is.True(ok)
	is.True(r.Relayed)
	is.Equal(asked, 1)
	is.True(!v.isUsable("s1"))
	is.True(!v.dispatcher.IsPaused(fleet.Incarnation{Server: "s1", Born: 1}))
	v.clock.now = v.clock.now.Add(2 * time.Second)
	r, ok = v.attemptThroughOthers(t.Context(), attemptAt("127.0.0.1:9"))
	is.True(ok && r.Failure != nil && !r.Failure.Sent)
	is.Equal(asked, 1) // The other VM would send it too late.
}

// The keys of a leaving owner are served while they move also for a VM that is cut off, but not near the end of the drain time.
func TestAttemptsForOthersAtLeavingOwners(t *testing.T) {
	tests := map[string]struct {
		keyed bool
		after time.Duration
		sent  bool
	}{
		"a request for its key":        {keyed: true, sent: true},
		"a request for its key, later": {keyed: true, after: 1100 * time.Millisecond},
		"a request without a key":      {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			address := serveHead(t, http.StatusOK, nil)
			v.register("s1", address, 1)
			if test.keyed {
				data, err := fleet.EncodeTable(&fleet.Table{Service: "plans", Fence: 1, Ranges: []fleet.Range{
					{From: 0, To: fleet.KeyCount - 1, Owner: fleet.Incarnation{Server: "s1", Born: 1}, Fence: 1},
				}})
				is.NoErr(err)
				v.put(platform.KeyTable("plans"), string(data))
			}
			v.receive(gossip.Message{From: "b", Leaving: []gossip.Leaving{{Server: "s1", Born: 1}}})
			v.clock.now = v.clock.now.Add(test.after)
			r, ok := v.attemptForOther(t.Context(), attemptAt(address))
			is.True(ok)
			is.Equal(r.Status == http.StatusOK, test.sent)
		})
	}
}

// The report to the dispatcher must tell whose pause a response names.
func TestReportsOfRejections(t *testing.T) {
	tests := map[string]struct {
		respondent string
		want       time.Duration
	}{
		"the backend server":         {respondent: "s1", want: 2 * time.Second},
		"a response without a name":  {want: 2 * time.Second},
		"another one at its address": {respondent: "s9"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			address := serveHead(t, http.StatusServiceUnavailable, http.Header{"Retry-After": {"2"}, platform.HeaderNotRun: {"1"}, platform.HeaderInstance: {test.respondent}})
			v.register("s1", address, 1)
			request := &forward.Request{ID: "r1", Method: http.MethodGet, Target: "/", Host: "a.example", Header: http.Header{}, Route: &fleet.Route{Idempotent: true}}
			server := v.snapshot.Load().Servers["s1"]
			reply, failure := v.sendAttempt(t.Context(), forward.Attempt{Request: request, Slot: &dispatch.Slot{Server: server}, Timeout: time.Second})
			is.Equal(failure, nil)
			is.True(reply.NotRun)
			is.Equal(reply.Report.RetryAfter, test.want)
			is.True(!reply.Report.Relayed)
			is.Equal(v.dispatcher.IsPaused(server.Incarnation), test.want > 0)
		})
	}
}

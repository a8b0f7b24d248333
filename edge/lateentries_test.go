package edge

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/warmup"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// Each sign that entries of backend servers may be late must start checks at once, and nothing else must.
func TestSignsOfLateEntriesStartChecks(t *testing.T) {
	unanswered := errors.Mark(errors.New("timeout"), platform.ErrOutcomeUnknown)
	evacuated := func(domains ...id.Domain) *fleet.Snapshot {
		s := &fleet.Snapshot{Evacuated: map[id.Domain]bool{}}
		for _, d := range domains {
			s.Evacuated[d] = true
		}
		return s
	}
	call := func(name string, err error) func(e *Edge) {
		return func(e *Edge) { e.observeStoreCall(name, time.Second, err) }
	}
	returns := func(old, next *fleet.Snapshot) func(e *Edge) {
		return func(e *Edge) { e.observeReturns(old, next) }
	}
	late := func(l *gossip.LateEntries) func(e *Edge) {
		return func(e *Edge) { e.applyLateEntries("b", l) }
	}
	tests := map[string]struct {
		observe    func(e *Edge)
		east, west bool
	}{
		"a renewal without an answer":        {observe: call("kv-keep", unanswered), east: true, west: true},
		"a transaction without an answer":    {observe: call("kv-txn", unanswered), east: true, west: true},
		"a watch without an answer":          {observe: call("kv-watch", unanswered)},
		"a read without an answer":           {observe: call("kv-range", unanswered)},
		"a write that was refused":           {observe: call("kv-txn", platform.ErrRefused)},
		"a write that this VM gave up":       {observe: call("kv-txn", errors.Mark(context.Canceled, platform.ErrOutcomeUnknown))},
		"a write that was answered":          {observe: call("kv-txn", nil)},
		"the end of an evacuation":           {observe: returns(evacuated("east", "west"), evacuated("west")), east: true},
		"the begin of an evacuation":         {observe: returns(evacuated(), evacuated("east"))},
		"a message of another VM":            {observe: late(&gossip.LateEntries{Age: 100}), east: true, west: true},
		"a message with a negative age":      {observe: late(&gossip.LateEntries{Age: -100}), east: true, west: true},
		"an old message of another VM":       {observe: late(&gossip.LateEntries{Age: 5000})},
		"a message without a sign":           {observe: late(nil)},
		"a message with an age out of range": {observe: late(&gossip.LateEntries{Age: 1 << 62})},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
			e := &Edge{clock: c, dispatcher: dispatch.NewDispatcher("a", "east"), log: slog.New(slog.DiscardHandler), warmupSign: make(chan struct{}, 1), unansweredLogs: rate.Sometimes{First: 1}}
			e.metrics = newMetrics(e)
			test.observe(e)
			is.Equal(e.warmups.IsNeeded(c.Boot(), "east"), test.east)
			is.Equal(e.warmups.IsNeeded(c.Boot(), "west"), test.west)
			is.Equal(len(e.warmupSign) > 0, test.east)
		})
	}
}

// A VM without news may send to backend servers that the others know to be evacuated, which nobody else asks then.
func TestVMWithoutNewsAsksBackendServersItself(t *testing.T) {
	const servers = 20
	tests := map[string]struct {
		newsAge  time.Duration
		isLed    bool
		asksMore bool
	}{
		"recent news":            {newsAge: 100 * time.Millisecond},
		"no news, and no leader": {newsAge: 5 * time.Second, asksMore: true},
		"no news, but a leader":  {newsAge: 5 * time.Second, isLed: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := clock.Runtime{Origin: time.Now().Add(-time.Hour)}
			s := &fleet.Snapshot{
				Configuration: fleet.NewConfiguration(1, nil, map[id.Service]fleet.Service{"plans": {Name: "plans", MaxConnections: 1000}}, fleet.Limits{}),
				Servers:       map[id.Server]fleet.Server{}, Peers: map[id.VM]fleet.Peer{},
			}
			for i := range servers {
				name := id.Server(fmt.Sprint("s", i))
				s.Servers[name] = fleet.Server{Incarnation: fleet.Incarnation{Server: name, Born: 1}, Service: "plans", Domain: "east", Slots: 4, Revision: 1}
			}
			s.ByService = fleet.ByService(s.Servers)
			for i := range 9 {
				vm := id.VM(fmt.Sprint("vm", i))
				s.Peers[vm] = fleet.Peer{VM: vm, Domain: "east"}
			}
			e := &Edge{clock: c, dispatcher: dispatch.NewDispatcher("vm0", "east", dispatch.WithClock(c)), settings: settings.Edge{VM: "vm0", FailureDomain: "east"}}
			e.dispatcher.Update(s)
			slot, err := e.dispatcher.Acquire(t.Context(), dispatch.Demand{Service: "plans", Arrived: c.Boot(), Deadline: c.Boot().Add(time.Second), Objective: c.Boot().Add(time.Second)})
			is.NoErr(err)
			var watch warmup.Watch
			watch.ObserveNews(c.Boot(), test.newsAge)
			asks, own := e.warmupTargets(s, watch.MustAskItself(test.isLed)), 0
			for _, server := range s.Servers {
				is.Equal(asks(server), slot.Server.Server == server.Server && test.asksMore || isOwnPart(s, server))
				if isOwnPart(s, server) {
					own++
				}
			}
			is.True(own > 0 && own < servers)
		})
	}
}

// isOwnPart reports whether vm0 is one of those that ask a backend server.
func isOwnPart(s *fleet.Snapshot, server fleet.Server) bool {
	vms := slices.Sorted(maps.Keys(s.Peers))
	return slices.Contains(warmup.Checkers(server.Server, server.Domain, map[id.Domain][]id.VM{"east": vms}), "vm0")
}

// Only a success without a warm-up time says that a backend server is warm.
func TestWarmupNewsOfHealthResponses(t *testing.T) {
	server := fleet.Server{Incarnation: fleet.Incarnation{Server: "s", Born: 1}}
	header := func(instance, left string) http.Header {
		h := http.Header{}
		h.Set(platform.HeaderInstance, instance)
		if left != "" {
			h.Set(platform.HeaderWarmupLeft, left)
		}
		return h
	}
	tests := map[string]struct {
		result relay.Result
		left   time.Duration
		ok     bool
	}{
		"warm":                   {result: relay.Result{Status: http.StatusOK, Header: header("s", "")}, ok: true},
		"cold":                   {result: relay.Result{Status: http.StatusOK, Header: header("s", "1500")}, left: 1500 * time.Millisecond, ok: true},
		"cold and draining":      {result: relay.Result{Status: http.StatusServiceUnavailable, Header: header("s", "1500")}, left: 1500 * time.Millisecond, ok: true},
		"rejected":               {result: relay.Result{Status: http.StatusServiceUnavailable, Header: header("s", "")}},
		"another backend server": {result: relay.Result{Status: http.StatusOK, Header: header("other", "")}},
		"no response":            {result: relay.Result{Failure: &relay.Failure{}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n, ok := warmupNewsOf(server, test.result)
			is.Equal(ok, test.ok)
			if ok {
				is.Equal(n, dispatch.WarmupNews{Incarnation: server.Incarnation, Left: test.left})
			}
		})
	}
}

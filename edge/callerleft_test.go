package edge

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// Without a line that compares the write with the caller's leaving, a log can't show which wait a late request was in.
func TestRequestsSentAfterTheirCallersLeftAreLogged(t *testing.T) {
	const arrived, ended = clock.Instant(time.Hour), clock.Instant(time.Hour + 2*time.Second)
	at := func(d time.Duration) clock.Instant { return arrived.Add(d) }
	failed := func(sent bool, s forward.Sending) *forward.Failure {
		return &forward.Failure{Sent: sent, Cause: context.Canceled, Sending: s}
	}
	tests := map[string]struct {
		left    clock.Instant
		sending forward.Sending
		failure *forward.Failure
		// counted and logged say that the request counts, and that it has a line.
		counted, logged bool
		fields          string
	}{
		"the caller waits":            {sending: forward.Sending{WrittenAt: at(time.Second)}},
		"it left after the write":     {left: at(time.Second), sending: forward.Sending{WrittenAt: at(900 * time.Millisecond)}},
		"it left just before":         {left: at(time.Second), sending: forward.Sending{WrittenAt: at(1500 * time.Millisecond)}, counted: true},
		"it left long before":         {left: at(100 * time.Millisecond), sending: forward.Sending{WrittenAt: at(time.Second)}, counted: true, logged: true, fields: "leftAfterMs=100 begunAfterMs=500 writtenAfterMs=1000 endedAfterMs=2000 relayed=false writeKnown=true"},
		"through another VM":          {left: at(100 * time.Millisecond), sending: forward.Sending{WrittenAt: at(time.Second), Relayed: true}, counted: true, logged: true, fields: "relayed=true writeKnown=true"},
		"no answer of the other VM":   {left: at(100 * time.Millisecond), failure: failed(true, forward.Sending{Relayed: true}), counted: true, logged: true, fields: "writtenAfterMs=2000 endedAfterMs=2000 relayed=true writeKnown=false"},
		"not sent":                    {left: at(100 * time.Millisecond), failure: failed(false, forward.Sending{})},
		"no answer, written in time":  {left: at(time.Second), failure: failed(true, forward.Sending{WrittenAt: at(500 * time.Millisecond)})},
		"no answer, written too late": {left: at(100 * time.Millisecond), failure: failed(true, forward.Sending{WrittenAt: at(time.Second)}), counted: true, logged: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			v.clock.now = ended
			request := &forward.Request{ID: "r1", Service: "plans", Arrived: arrived, Route: &fleet.Route{}, CallerLeft: func() clock.Instant { return test.left }}
			reply := &forward.Reply{Answer: forward.Answer{Status: http.StatusOK}, Sending: test.sending}
			v.observeAttempt(request, &dispatch.Slot{Server: v.snapshot.Load().Servers["s1"]}, 1500*time.Millisecond, reply, test.failure)
			is.Equal(v.metrics.attempts.Get("afterCallerLeft") != nil, test.counted)
			is.Equal(v.metrics.attempts.Get("longAfterCallerLeft") != nil, test.logged)
			is.Equal(strings.Contains(v.log.String(), "a request was sent long after its caller had left"), test.logged)
			is.True(strings.Contains(v.log.String(), test.fields))
		})
	}
	t.Run("the number of lines is bounded", func(t *testing.T) {
		is := is.New(t)
		v := newLeavingVM(t)
		v.clock.now = ended
		request := &forward.Request{ID: "r1", Service: "plans", Arrived: arrived, Route: &fleet.Route{}, CallerLeft: func() clock.Instant { return at(1) }}
		for range 3 * maxCallerLeftLogs {
			v.observeAttempt(request, &dispatch.Slot{Server: v.snapshot.Load().Servers["s1"]}, time.Second, &forward.Reply{}, nil)
		}
		is.Equal(v.metrics.attempts.Get("longAfterCallerLeft").String(), fmt.Sprint(3*maxCallerLeftLogs))
		is.True(strings.Count(v.log.String(), "a request was sent long after") <= maxCallerLeftLogs+10)
	})
}

// The VM that asks for an attempt must know when the other one wrote it, and older builds don't say so.
func TestWritesThroughOtherVMsAreTimed(t *testing.T) {
	tests := map[string]struct {
		delay, want time.Duration
	}{
		"it says when":     {delay: 700 * time.Millisecond, want: 700 * time.Millisecond},
		"an earlier build": {},
		"it wrote at once": {delay: 1, want: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			v.peerSends(t, func(context.Context, relay.Attempt) (relay.Result, bool) {
				return relay.Result{Status: http.StatusOK, Header: http.Header{}, WriteDelay: test.delay}, true
			})
			is.True(v.reach.RecordProbes(0, 4))
			request := &forward.Request{ID: "r1", Method: http.MethodGet, Target: "/", Header: http.Header{}, Service: "plans", Route: &fleet.Route{}}
			reply, failure := v.sendAttempt(t.Context(), forward.Attempt{Request: request, Slot: &dispatch.Slot{Server: v.snapshot.Load().Servers["s1"]}, Timeout: time.Second})
			is.True(failure == nil)
			is.True(reply.Relayed)
			want := clock.Instant(0)
			if test.want > 0 {
				want = v.clock.now.Add(test.want)
			}
			is.Equal(reply.WrittenAt, want)
		})
	}
}

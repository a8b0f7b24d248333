package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// A former leader that hasn't heard of the next one must not grant keys to a process that has started since under its owner's id.
func TestFormerLeaderGrantsNoKeysOnLaterConnections(t *testing.T) {
	tests := map[string]struct {
		release, fencing bool
		// isKnown says that another VM is registered, which doesn't answer.
		isKnown bool
		// renewedAfter is when the lease was renewed after the first call.
		renewedAfter time.Duration
		sent, dials  int
	}{
		"a grant":                               {isKnown: true, dials: 1},
		"a grant once its lease was renewed":    {isKnown: true, renewedAfter: 2 * time.Second, sent: 1, dials: 1},
		"a fencing grant":                       {isKnown: true, fencing: true, dials: 1},
		"a fencing grant once it was renewed":   {isKnown: true, fencing: true, renewedAfter: 2 * time.Second, sent: 1, dials: 1},
		"a grant of the only VM":                {sent: 2, dials: 1},
		"a release, which ends any hold anyhow": {isKnown: true, release: true, sent: 2, dials: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			voters := []id.VM{"a"}
			if test.isKnown {
				voters = append(voters, "b")
				v.put("hickorylug/vm/b", `{"VM":"b","Domain":"east","Address":"127.0.0.1:6","Incarnation":"i"}`)
			}
			address, commands := serveCommands(t)
			v.register("s1", address, 1)
			dials := 0
			v.backends = http1.NewClient(http1.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
				dials++
				return (&net.Dialer{}).DialContext(ctx, "tcp", address)
			}))
			v.lead(7, voters...)
			execute := func(at clock.Instant) {
				v.clock.now = at
				v.keys.execute(t.Context(), &call{term: 7, Command: ownership.Command{
					Service: "plans", Incarnation: fleet.Incarnation{Server: "s1", Born: 1}, To: 1, Fence: 1, Release: test.release, Fencing: test.fencing, IssuedAt: at,
				}})
			}
			elected := v.clock.now
			execute(elected.Add(time.Second))
			if test.renewedAfter > 0 {
				v.elector.Renewed(elected.Add(test.renewedAfter))
			}
			execute(elected.Add(1500 * time.Millisecond))
			is.Equal(len(commands), test.sent)
			is.Equal(dials, test.dials)
			is.Equal(v.keys.failureStates, map[fleet.Incarnation]*failureState{}) // says nothing of the backend server
		})
	}
}

// A renewal that takes longer than the grant that waits for it must confirm its connection for the next try.
func TestSlowRenewalConfirmsConnectionOfNextTry(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	v.put("hickorylug/vm/b", `{"VM":"b","Domain":"east","Address":"127.0.0.1:6","Incarnation":"i"}`)
	renewals := make(chan string, 16)
	store := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		renewals <- r.URL.Path
		select {
		case <-time.After(ownership.GrantTimeout + 100*time.Millisecond):
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(store.Close)
	v.store = platform.NewClient(strings.TrimPrefix(store.URL, "http://"))
	address, commands := serveCommands(t)
	v.register("s1", address, 1)
	v.elector.Won(v.clock.now.Add(-time.Minute), 7)
	execute := func() {
		v.keys.execute(t.Context(), &call{term: 7, Command: ownership.Command{
			Service: "plans", Incarnation: fleet.Incarnation{Server: "s1", Born: 1}, To: 1, Fence: 1, IssuedAt: v.clock.now,
		}})
	}
	execute()
	is.Equal(len(commands), 0)
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if at, _ := v.confirmedAt(7, 0); at == v.clock.now {
			break
		}
	}
	execute()
	is.Equal(len(commands), 1)
	is.Equal(len(renewals), 1)
}

// A VM that grants keys for a leader must not use a connection that is younger than the leader's confirmation.
func TestGrantsThroughOtherVMsOnLaterConnections(t *testing.T) {
	tests := map[string]struct {
		confirmedAfter time.Duration
		// renews says that the leadership can be confirmed for a later time.
		renews  bool
		fencing bool
		sent    int
	}{
		"confirmed before the connection was opened": {confirmedAfter: -time.Second},
		"confirmed after it was opened":              {confirmedAfter: time.Second, sent: 1},
		"confirmed as it is too young":               {confirmedAfter: -time.Second, renews: true, sent: 1},
		"a fencing grant, confirmed likewise":        {confirmedAfter: -time.Second, renews: true, fencing: true, sent: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v, other := newLeavingVM(t), newLeavingVM(t)
			// The clocks of two VMs have nothing in common.
			other.clock.now = other.clock.now.Add(time.Hour)
			address, commands := serveCommands(t)
			server := httptest.NewServer(other.relayHandler)
			t.Cleanup(server.Close)
			v.put("hickorylug/vm/b", `{"VM":"b","Domain":"east","Address":"`+strings.TrimPrefix(server.URL, "http://")+`","Incarnation":"i"}`)
			confirmedAt := v.clock.now.Add(test.confirmedAfter)
			r, ok := v.attemptThroughOthers(t.Context(), relay.Attempt{
				Server: "s1", Born: 1, Address: address, Method: http.MethodPost, Target: "/", Host: address, Header: http.Header{}, Timeout: time.Second, Command: true,
				NewConnection: test.fencing, NotAfter: v.clock.now.Add(ownership.WriteTimeout),
				OpenedBy: func(_ context.Context, wanted clock.Instant) clock.Instant {
					if test.renews {
						confirmedAt = max(confirmedAt, wanted)
					}
					return confirmedAt
				},
			})
			is.True(ok)
			is.Equal(len(commands), test.sent)
			is.Equal(r.Failure != nil && r.Failure.Withheld && !r.Failure.Sent, test.sent == 0)
		})
	}
}

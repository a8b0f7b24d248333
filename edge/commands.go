package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// sendDueCalls makes the grant and release calls that are due for a table.
func (k *keyManager) sendDueCalls(ctx context.Context, now clock.Instant, t *fleet.Table) {
	s := k.edge.snapshot.Load()
	isolated := k.edge.isIsolated(now)
	k.mu.Lock()
	commands := k.granter.Due(now, t, ownership.Liveness{
		IsDead:      func(inc fleet.Incarnation) bool { return k.hasEnded(s, inc) },
		IsSuspended: func(inc fleet.Incarnation) bool { return k.isSuspended(now, inc) },
		IsLost:      func(inc fleet.Incarnation) bool { return k.isLost(now, inc) },
		IsLeaving:   k.edge.departures.IsLeaving,
		Isolated:    isolated,
	})
	k.mu.Unlock()
	for _, c := range commands {
		k.edge.tasks.Go(ctx, func(ctx context.Context) {
			defer func() {
				if value := recover(); value != nil {
					// The range would otherwise wait for this command for ever.
					k.recordOutcome(c, ownership.Unanswered, "", false)
					panic(value)
				}
			}()
			k.execute(ctx, c)
		})
	}
}

// execute makes one grant or release call.
func (k *keyManager) execute(ctx context.Context, c ownership.Command) {
	e := k.edge
	timeout := ownership.GrantTimeout
	call := platform.GrantCall(c.From, c.To, c.Fence, k.holdTime().Seconds(), c.Handover)
	if c.Release {
		timeout = ownership.ReleaseTimeout
		call = platform.ReleaseCall(c.From, c.To, c.Fence)
	}
	server, known := k.lookupServer(c.Incarnation)
	if !known || c.IsExpired(e.clock.Boot()) {
		k.recordOutcome(c, ownership.Unanswered, "", false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(call.Body)
	if err != nil {
		e.log.Error("a call to a backend server could not be encoded", "error", err)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpect: {string(c.Incarnation.Server)}}
	result := e.attempt(ctx, relay.Attempt{
		Server: c.Incarnation.Server, Born: c.Incarnation.Born, Address: server.Address, Method: http.MethodPost, Target: call.Path, Host: server.Address,
		Header: header, Body: body, Timeout: timeout, Command: true,
		// Responses to commands carry no id: a late copy of that to a grant would end the former owner's hold too early.
		NewConnection: c.Release,
	})
	switch {
	case result.Failure != nil:
		if result.Failure.Refused {
			e.forwarder.RecordCrash(server)
		}
		k.recordOutcome(c, ownership.Unanswered, "", result.Failure.Refused)
	case result.Status == http.StatusOK:
		k.recordOutcome(c, ownership.Done, result.Header.Get(platform.HeaderHandover), false)
	case result.Status == http.StatusConflict:
		k.recordOutcome(c, ownership.Refused, "", false)
	default:
		e.log.Warn("an order was turned down", "server", string(c.Incarnation.Server), "release", c.Release, "status", result.Status)
		k.recordOutcome(c, ownership.Unanswered, "", false)
		k.recordRejection(c.Incarnation)
	}
}

func (k *keyManager) holdTime() time.Duration {
	return min(ownership.GrantTTL, k.edge.settings.MaxHold.Std())
}

// lookupServer returns the last known entry of an incarnation of a backend server, also after the entry is removed.
func (k *keyManager) lookupServer(inc fleet.Incarnation) (s fleet.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, known = k.edge.snapshot.Load().Servers[inc.Server]; known {
		k.lastEntries[inc.Server] = s
	} else {
		s, known = k.lastEntries[inc.Server]
	}
	return s, known && s.Incarnation == inc
}

// recordOutcome records the outcome of a call and announces a completed grant to the other VMs.
func (k *keyManager) recordOutcome(c ownership.Command, outcome ownership.Outcome, handover string, connectionRefused bool) {
	e := k.edge
	now := e.clock.Boot()
	k.mu.Lock()
	moved := !c.Release && !k.granter.IsGranted(c.Service, fleet.Range{From: c.From, To: c.To, Fence: c.Fence})
	k.granter.Report(now, c, outcome, handover)
	moved = moved && outcome == ownership.Done
	wasLost := k.isLost(now, c.Incarnation)
	// A failed call says nothing of the backend server while the fault may be that of this VM's links.
	if outcome != ownership.Unanswered || !e.reach.IsSuspected() {
		k.recordCallOutcome(now, c.Incarnation, outcome, connectionRefused)
	}
	losesKeys := !wasLost && k.isLost(now, c.Incarnation)
	k.mu.Unlock()
	if losesKeys {
		e.log.Warn("backend server loses its keys: it leaves orders unanswered", "service", string(c.Service), "server", string(c.Incarnation.Server), "refused", connectionRefused)
	}
	switch {
	case moved:
		e.dispatcher.MarkMoved(c.Service, c.Fence)
		k.queueGrant(gossip.Grant{Service: c.Service, Fence: c.Fence})
		e.notify(e.updatesPending)
		e.log.Info("keys have a new owner", "service", string(c.Service), "from", int(c.From), "to", int(c.To), "server", string(c.Incarnation.Server), "fence", int64(c.Fence), "warm", c.Handover != "")
	case outcome == ownership.Done && c.Release:
		e.log.Info("keys were released", "service", string(c.Service), "from", int(c.From), "to", int(c.To), "server", string(c.Incarnation.Server), "fence", int64(c.Fence), "handover", handover != "")
		e.notify(e.replan)
	case outcome == ownership.Refused:
		e.log.Warn("a grant was refused: a higher fence was seen", "service", string(c.Service), "server", string(c.Incarnation.Server), "fence", int64(c.Fence))
	case outcome == ownership.Unanswered:
		e.log.Warn("an order was not answered", "service", string(c.Service), "server", string(c.Incarnation.Server), "release", c.Release, "fence", int64(c.Fence), "refused", connectionRefused)
	}
}

package edge

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// sendDueCalls makes the grant and release calls that are due for a table.
func (k *keyManager) sendDueCalls(ctx context.Context, now clock.Instant, t *fleet.Table) {
	s := k.edge.snapshot.Load()
	isolated := k.edge.isIsolated(now)
	k.mu.Lock()
	calls := k.granter.Due(now, t, ownership.Liveness{
		IsDead:      func(inc fleet.Incarnation) bool { return k.hasEnded(s, inc) },
		IsSuspended: func(inc fleet.Incarnation) bool { return k.isSuspended(now, inc) },
		IsLost:      func(inc fleet.Incarnation) bool { return k.isLost(now, inc) },
		Isolated:    isolated,
	})
	k.mu.Unlock()
	for _, o := range calls {
		k.edge.tasks.Go(ctx, func(ctx context.Context) { k.execute(ctx, o) })
	}
}

// execute makes one grant or release call.
func (k *keyManager) execute(ctx context.Context, o ownership.Command) {
	e := k.edge
	timeout := ownership.GrantTimeout
	call := platform.GrantCall(o.From, o.To, o.Fence, k.holdTime().Seconds(), o.Handover)
	if o.Release {
		timeout = ownership.ReleaseTimeout
		call = platform.ReleaseCall(o.From, o.To, o.Fence)
	}
	server, known := k.lookupServer(o.Incarnation)
	if !known || o.IsExpired(e.clock.Boot()) {
		k.recordOutcome(o, ownership.Unanswered, "", false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(call.Body)
	if err != nil {
		e.log.Error("a call to a backend server could not be encoded", "error", err)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpect: {string(o.Incarnation.Server)}}
	resp, err := e.backends.Do(ctx, http1.Request{
		Address: server.Address, Server: string(o.Incarnation.Server), Method: http.MethodPost, Target: call.Path, Host: server.Address, Header: header, Body: body,
	})
	if err != nil {
		k.recordOutcome(o, ownership.Unanswered, "", errors.Is(err, http1.ErrRefused))
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	switch {
	case err != nil:
		k.recordOutcome(o, ownership.Unanswered, "", false)
	case resp.Status == http.StatusOK:
		k.recordOutcome(o, ownership.Done, resp.Header.Get(platform.HeaderHandover), false)
	case resp.Status == http.StatusConflict:
		k.recordOutcome(o, ownership.Refused, "", false)
	default:
		e.log.Warn("an order was turned down", "server", string(o.Incarnation.Server), "release", o.Release, "status", resp.Status)
		k.recordOutcome(o, ownership.Unanswered, "", false)
		k.recordRejection(o.Incarnation)
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
func (k *keyManager) recordOutcome(o ownership.Command, outcome ownership.Outcome, handover string, refused bool) {
	e := k.edge
	now := e.clock.Boot()
	k.mu.Lock()
	moved := !o.Release && !k.granter.IsGranted(o.Service, fleet.Range{From: o.From, To: o.To, Fence: o.Fence})
	k.granter.Report(now, o, outcome, handover)
	moved = moved && outcome == ownership.Done
	wasLost := k.isLost(now, o.Incarnation)
	k.recordCallOutcome(now, o.Incarnation, outcome, refused)
	losesKeys := !wasLost && k.isLost(now, o.Incarnation)
	k.mu.Unlock()
	if losesKeys {
		e.log.Warn("backend server loses its keys: it leaves orders unanswered", "service", string(o.Service), "server", string(o.Incarnation.Server), "refused", refused)
	}
	switch {
	case moved:
		e.dispatcher.MarkMoved(o.Service, o.Fence)
		m := e.heartbeatMessage()
		m.Heartbeat.Granted = append(m.Heartbeat.Granted, gossip.Grant{Service: o.Service, Fence: o.Fence})
		e.announce(m)
		e.log.Info("keys have a new owner", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Incarnation.Server), "fence", int64(o.Fence), "warm", o.Handover != "")
	case outcome == ownership.Done && o.Release:
		e.log.Info("keys were released", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Incarnation.Server), "fence", int64(o.Fence), "handover", handover != "")
		e.notify(e.replan)
	case outcome == ownership.Refused:
		e.log.Warn("a grant was refused: a higher fence was seen", "service", string(o.Service), "server", string(o.Incarnation.Server), "fence", int64(o.Fence))
	case outcome == ownership.Unanswered:
		e.log.Warn("an order was not answered", "service", string(o.Service), "server", string(o.Incarnation.Server), "release", o.Release, "fence", int64(o.Fence), "refused", refused)
	}
}

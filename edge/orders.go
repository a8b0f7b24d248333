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

// order sends the orders that are due for a table.
func (k *keys) order(ctx context.Context, now clock.Instant, t *fleet.Table) {
	s := k.edge.snapshot.Load()
	isolated := k.edge.isolated(now)
	k.mu.Lock()
	orders := k.granter.Due(now, t, ownership.Liveness{
		IsDead:      func(l fleet.Incarnation) bool { return k.over(s, l) },
		IsSuspended: func(l fleet.Incarnation) bool { return k.suspended(now, l) },
		IsLost:      func(l fleet.Incarnation) bool { return k.lost(now, l) },
		Isolated:    isolated,
	})
	k.mu.Unlock()
	for _, o := range orders {
		k.edge.tasks.Go(ctx, func(ctx context.Context) { k.carryOut(ctx, o) })
	}
}

// carryOut makes the call of an order.
func (k *keys) carryOut(ctx context.Context, o ownership.Command) {
	e := k.edge
	timeout := ownership.GrantTimeout
	call := platform.GrantCall(o.From, o.To, o.Fence, k.holdTime().Seconds(), o.Handover)
	if o.Release {
		timeout = ownership.ReleaseTimeout
		call = platform.ReleaseCall(o.From, o.To, o.Fence)
	}
	server, known := k.address(o.Incarnation)
	if !known || o.IsExpired(e.clock.Boot()) {
		k.report(o, ownership.Unanswered, "", false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(call.Body)
	if err != nil {
		e.log.Error("an order can't be encoded", "error", err)
		return
	}
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpect: {string(o.Incarnation.Server)}}
	got, err := e.backends.Do(ctx, http1.Request{
		Address: server.Address, Server: string(o.Incarnation.Server), Method: http.MethodPost, Target: call.Path, Host: server.Address, Header: header, Body: body,
	})
	if err != nil {
		k.report(o, ownership.Unanswered, "", errors.Is(err, http1.ErrRefused))
		return
	}
	_, err = io.Copy(io.Discard, got.Body)
	_ = got.Body.Close()
	switch {
	case err != nil:
		k.report(o, ownership.Unanswered, "", false)
	case got.Status == http.StatusOK:
		k.report(o, ownership.Done, got.Header.Get(platform.HeaderHandover), false)
	case got.Status == http.StatusConflict:
		k.report(o, ownership.Refused, "", false)
	default:
		e.log.Warn("an order was turned down", "server", string(o.Incarnation.Server), "release", o.Release, "status", got.Status)
		k.report(o, ownership.Unanswered, "", false)
		k.deny(o.Incarnation)
	}
}

func (k *keys) holdTime() time.Duration {
	return min(ownership.GrantTTL, k.edge.settings.MaxHold.Std())
}

// address returns where a life of a backend server is reached, also once its entry is gone.
func (k *keys) address(l fleet.Incarnation) (s fleet.Server, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s, known = k.edge.snapshot.Load().Servers[l.Server]; known {
		k.addresses[l.Server] = s
	} else {
		s, known = k.addresses[l.Server]
	}
	return s, known && s.Incarnation == l
}

// report takes what became of an order.
func (k *keys) report(o ownership.Command, outcome ownership.Outcome, handover string, refused bool) {
	e := k.edge
	now := e.clock.Boot()
	k.mu.Lock()
	moved := !o.Release && !k.granter.IsGranted(o.Service, fleet.Range{From: o.From, To: o.To, Fence: o.Fence})
	k.granter.Report(now, o, outcome, handover)
	moved = moved && outcome == ownership.Done
	was := k.lost(now, o.Incarnation)
	k.noteTrouble(now, o.Incarnation, outcome, refused)
	loses := !was && k.lost(now, o.Incarnation)
	k.mu.Unlock()
	if loses {
		e.log.Warn("backend server loses its keys: it leaves orders unanswered", "service", string(o.Service), "server", string(o.Incarnation.Server), "refused", refused)
	}
	switch {
	case moved:
		e.dispatcher.MarkMoved(o.Service, o.Fence)
		m := e.message()
		m.Heartbeat.Granted = append(m.Heartbeat.Granted, gossip.Grant{Service: o.Service, Fence: o.Fence})
		e.announce(m)
		e.log.Info("keys have a new owner", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Incarnation.Server), "fence", int64(o.Fence), "warm", o.Handover != "")
	case outcome == ownership.Done && o.Release:
		e.log.Info("keys were released", "service", string(o.Service), "from", int(o.From), "to", int(o.To), "server", string(o.Incarnation.Server), "fence", int64(o.Fence), "handover", handover != "")
		e.poke(e.replan)
	case outcome == ownership.Refused:
		e.log.Warn("a grant was refused: a higher fence was seen", "service", string(o.Service), "server", string(o.Incarnation.Server), "fence", int64(o.Fence))
	case outcome == ownership.Unanswered:
		e.log.Warn("an order was not answered", "service", string(o.Service), "server", string(o.Incarnation.Server), "release", o.Release, "fence", int64(o.Fence), "refused", refused)
	}
}

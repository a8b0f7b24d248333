package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// sendDueCalls makes the grant and release calls that are due for a table.
func (k *keyManager) sendDueCalls(ctx context.Context, now clock.Instant, t *fleet.Table) {
	s := k.edge.snapshot.Load()
	formerUntil, known := k.edge.formerLeaderUntil()
	k.mu.Lock()
	commands := k.granter.Due(now, t, ownership.Liveness{
		IsDead:      func(inc fleet.Incarnation) bool { return k.hasEnded(s, inc) },
		Successor:   func(inc fleet.Incarnation) (fleet.Incarnation, bool) { return k.successor(s, inc) },
		IsSuspended: func(inc fleet.Incarnation) bool { return k.isSuspended(now, inc) },
		IsLost:      func(inc fleet.Incarnation) bool { return k.isLost(now, inc) },
		IsLeaving:   k.edge.departures.IsLeaving,
		IsMoved:     k.edge.dispatcher.IsMoved,
		FormerUntil: formerUntil,
		Isolated:    !known,
	})
	k.mu.Unlock()
	term, hold := k.edge.ownTerm(), k.holdTime()
	for _, command := range commands {
		c := &call{Command: command, term: term, hold: hold}
		k.edge.tasks.Go(ctx, func(ctx context.Context) {
			defer func() {
				if value := recover(); value != nil {
					// The range would otherwise wait for this command for ever.
					c.WriteReturnedAt = k.edge.clock.Boot()
					k.recordOutcome(c, ownership.Unanswered, "", false)
					panic(value)
				}
			}()
			k.execute(ctx, c)
		})
	}
}

// call is a grant or release call with what its log line tells.
type call struct {
	ownership.Command
	// term is the term in which the command was issued.
	term id.Revision
	hold time.Duration
	// writtenAt is when this VM began to write the call; 0 if it didn't.
	writtenAt clock.Instant
	relayed   bool
	// withheld says that the call wasn't written though a connection was there.
	withheld bool
}

// logArgs returns what a log line tells of the call: which keys, under which fence and term, and when it was written after it was issued. The
// line itself is written when the call is answered or given up.
func (c *call) logArgs(now clock.Instant, more ...any) []any {
	args := []any{
		"service", string(c.Service), "from", int(c.From), "to", int(c.To), "server", string(c.Incarnation.Server), "born", int64(c.Incarnation.Born),
		"fence", int64(c.Fence), "term", c.term.Number(), "endedAfter", now.Sub(c.IssuedAt).String(),
	}
	if !c.Release {
		args = append(args, "hold", c.hold.String())
	}
	if c.writtenAt > 0 {
		args = append(args, "writtenAfter", c.writtenAt.Sub(c.IssuedAt).String())
	}
	if !c.Release && c.WriteReturnedAt.After(c.LatestWrite()) {
		args = append(args, "writeReturnedAfter", c.WriteReturnedAt.Sub(c.IssuedAt).String())
	}
	if c.relayed {
		args = append(args, "relayed", true)
	}
	return append(args, more...)
}

// formerArgs returns what a log line tells of the previous owner of moved keys: why it holds them no more, and when it was last granted keys.
func (c *call) formerArgs() (args []any) {
	if c.Vacancy == "" {
		return nil
	}
	args = []any{"former", string(c.Former.Server), "formerBorn", int64(c.Former.Born), "vacancy", string(c.Vacancy)}
	if c.FormerGrantAt > 0 {
		args = append(args, "formerGrantBefore", c.IssuedAt.Sub(c.FormerGrantAt).String())
	}
	return args
}

// execute makes one grant or release call.
func (k *keyManager) execute(ctx context.Context, c *call) {
	e := k.edge
	timeout := ownership.GrantTimeout
	request := platform.GrantCall(c.From, c.To, c.Fence, c.hold.Seconds(), c.Handover)
	if c.Release {
		timeout = ownership.ReleaseTimeout
		request = platform.ReleaseCall(c.From, c.To, c.Fence)
	}
	server, known := k.lookupServer(c.Incarnation)
	if !known || c.IsExpired(e.clock.Boot()) {
		k.recordOutcome(c, ownership.Undelivered, "", false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(request.Body)
	if err != nil {
		e.log.Error("a call to a backend server could not be encoded", "error", err)
		k.recordOutcome(c, ownership.Undelivered, "", false)
		return
	}
	var openedBy func(ctx context.Context, wanted clock.Instant) clock.Instant
	if !c.Release {
		// Another process may have started under the id, which doesn't know the fences that the former one was shown.
		openedBy = func(ctx context.Context, wanted clock.Instant) clock.Instant {
			return e.confirmLeadership(ctx, c.term, wanted)
		}
	}
	header := http.Header{"Content-Type": {"application/json"}, platform.HeaderExpect: {string(c.Incarnation.Server)}}
	result := e.attempt(ctx, relay.Attempt{
		Server: c.Incarnation.Server, Born: c.Incarnation.Born, Address: server.Address, Method: http.MethodPost, Target: request.Path, Host: server.Address,
		Header: header, Body: body, Timeout: timeout, Command: true,
		// Responses to commands carry no id: a late copy of that to a grant would end the former owner's hold, or the doubt about it, too early.
		NewConnection: c.Release || c.Fencing, NotAfter: c.LatestWrite(), OpenedBy: openedBy,
	})
	c.writtenAt, c.WriteReturnedAt, c.relayed = result.WrittenAt, result.WriteReturnedAt, result.Relayed
	switch {
	case result.Failure != nil:
		if result.Failure.Refused {
			e.forwarder.RecordCrash(server)
		}
		outcome := ownership.Undelivered
		if result.Failure.Sent {
			outcome = ownership.Unanswered
		}
		c.withheld = result.Failure.Withheld
		k.recordOutcome(c, outcome, "", result.Failure.Refused)
	case result.Status == http.StatusOK:
		k.recordOutcome(c, ownership.Done, result.Header.Get(platform.HeaderHandover), false)
	case result.Status == http.StatusConflict:
		k.recordOutcome(c, ownership.Refused, "", false)
	case result.Status == http.StatusMisdirectedRequest:
		e.log.Warn("an order reached another backend server", c.logArgs(e.clock.Boot(), "release", c.Release)...)
		k.recordOutcome(c, ownership.Undelivered, "", false)
		k.recordRejection(c.Incarnation)
	default:
		e.log.Warn("an order was turned down", c.logArgs(e.clock.Boot(), "release", c.Release, "status", result.Status)...)
		k.recordOutcome(c, ownership.Unanswered, "", false)
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

// isEvidence reports whether the outcome of a call says whether the backend server answers. That of a failed one doesn't if it was withheld, or
// while the fault may be that of this VM's links.
func (k *keyManager) isEvidence(c *call, outcome ownership.Outcome) bool {
	return outcome.IsAnswered() || !c.withheld && !k.edge.reach.IsSuspected()
}

// recordOutcome records the outcome of a call and announces a completed grant to the other VMs.
func (k *keyManager) recordOutcome(c *call, outcome ownership.Outcome, handover string, connectionRefused bool) {
	e := k.edge
	now := e.clock.Boot()
	k.mu.Lock()
	moved := !c.Release && !c.Fencing && !k.granter.IsGranted(c.Service, fleet.Range{From: c.From, To: c.To, Fence: c.Fence})
	k.granter.Report(now, c.Command, outcome, handover)
	moved = moved && outcome == ownership.Done
	wasLost := k.isLost(now, c.Incarnation)
	if k.isEvidence(c, outcome) {
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
		e.log.Info("keys have a new owner", c.logArgs(now, append(c.formerArgs(), "warm", c.Handover != "")...)...)
	case outcome == ownership.Done && c.Release:
		e.log.Info("keys were released", c.logArgs(now, "handover", handover != "")...)
		e.notify(e.replan)
	case outcome == ownership.Refused:
		e.log.Warn("a grant was refused: a higher fence was seen", c.logArgs(now)...)
	case outcome == ownership.Done && c.Fencing:
		e.log.Info("the former owner refuses earlier grants", c.logArgs(now)...)
	case !outcome.IsAnswered():
		e.log.Warn("an order was not answered", c.logArgs(now, "release", c.Release, "fencing", c.Fencing, "sent", outcome == ownership.Unanswered, "withheld", c.withheld, "refused", connectionRefused)...)
	case e.log.Enabled(context.Background(), slog.LevelDebug):
		e.log.Debug("a grant was renewed", c.logArgs(now)...)
	}
}

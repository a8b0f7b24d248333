package edge

import (
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/coordination/departure"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// maxPauseLogs is the number of pauses that are logged each; of later ones, one per pauseLogPeriod is.
const (
	maxPauseLogs   = 20
	pauseLogPeriod = time.Second
)

// observeHead evaluates the head of any response that was read on a connection of this VM: whether the backend server leaves, or wants no
// requests of this VM. It may belong to an earlier attempt, whose caller is gone.
func (e *Edge) observeHead(a relay.Attempt, status int, h http.Header) {
	inc, ok := e.respondent(a, h)
	if !ok {
		return
	}
	e.observeLeaving(inc, h)
	if pause := platform.ParseRetryAfter(status, h, e.clock.Now); pause > 0 {
		e.dispatcher.Pause(inc, pause)
	}
}

// respondent returns the incarnation that has sent a response to an attempt: the one that the attempt is for, or another backend server
// at its address, which isn't the one that the attempt is for.
func (e *Edge) respondent(a relay.Attempt, h http.Header) (inc fleet.Incarnation, ok bool) {
	name := id.Server(h.Get(platform.HeaderInstance))
	if name == "" || name == a.Server {
		return fleet.Incarnation{Server: a.Server, Born: a.Born}, true
	}
	other, known := e.snapshot.Load().Servers[name]
	return other.Incarnation, known && other.Address == a.Address
}

// observeLeaving records that a backend server leaves if its response says so. From the return on, no new request is sent there.
func (e *Edge) observeLeaving(inc fleet.Incarnation, h http.Header) {
	if platform.IsLeaving(h) && e.departures.Observe(e.clock.Boot(), inc) {
		e.recordLeaving(inc, e.settings.VM)
		e.publishSnapshot()
	}
}

// recordLeaving counts and logs that a backend server has announced that it leaves, to the given VM.
func (e *Edge) recordLeaving(inc fleet.Incarnation, seenBy id.VM) {
	e.metrics.leaving.Add(1)
	e.log.Info("backend server announced that it leaves", "server", string(inc.Server), "born", int64(inc.Born), "seenBy", string(seenBy))
}

// announceDepartures tells all VMs which backend servers this VM has seen to be leaving.
func (e *Edge) announceDepartures() {
	news := e.departures.TakeNews(e.clock.Boot())
	if len(news) == 0 {
		return
	}
	m := e.withSender(gossip.Message{Leaving: make([]gossip.Leaving, len(news))})
	for i, n := range news {
		m.Leaving[i] = gossip.Leaving{Server: n.Incarnation.Server, Born: n.Incarnation.Born, Age: int(n.Age.Milliseconds())}
	}
	e.announce(m)
}

// applyDepartures records which backend servers another VM has seen to be leaving.
func (e *Edge) applyDepartures(from id.VM, leaving []gossip.Leaving) {
	if len(leaving) == 0 {
		return
	}
	news := make([]departure.News, len(leaving))
	for i, l := range leaving {
		news[i] = departure.News{Incarnation: fleet.Incarnation{Server: l.Server, Born: l.Born}, Age: time.Duration(min(max(l.Age, -1), maxLeavingAge)) * time.Millisecond}
	}
	added := e.departures.ObserveShared(e.clock.Boot(), news)
	for _, inc := range added {
		e.recordLeaving(inc, from)
	}
	if len(added) > 0 {
		e.publishSnapshot()
	}
}

// maxLeavingAge limits the age in a message, in milliseconds, so that it can't overflow; records of this age or a negative one are dropped.
const maxLeavingAge = 1 << 40

// mayBegin returns why an attempt must not be begun any more, or nil. Its backend server was chosen before a response said that it leaves
// or wants no requests; the attempt was delayed since, for example by other VMs that declined it.
func (e *Edge) mayBegin(a relay.Attempt) *relay.Failure {
	inc := fleet.Incarnation{Server: a.Server, Born: a.Born}
	switch {
	case a.Command:
		return nil
	case !e.departures.AllowsAttempt(e.clock.Boot(), inc):
		return &relay.Failure{AtConnectionLimit: true, Cause: "the backend server leaves"}
	case e.dispatcher.IsPaused(inc):
		return &relay.Failure{AtConnectionLimit: true, Cause: "the backend server wants no requests for some time"}
	default:
		return nil
	}
}

// observePause counts and logs that a backend server wants no requests of this VM for some time.
func (e *Edge) observePause(server id.Server, duration time.Duration) {
	e.metrics.pauses.Add(1)
	e.pauseLogs.Do(func() {
		e.log.Info("backend server wants no requests of this VM", "server", string(server), "forMs", duration.Milliseconds())
	})
}

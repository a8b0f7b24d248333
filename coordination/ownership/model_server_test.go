package ownership_test

import (
	"slices"

	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// keySpan is a range of keys with a fence.
type keySpan struct {
	from, to fleet.Key
	fence    fleet.Fence
}

func (s keySpan) overlaps(other keySpan) bool { return s.from <= other.to && other.from <= s.to }

func (s keySpan) covers(other keySpan) bool { return s.from <= other.from && other.to <= s.to }

func spanOf(cmd ownership.Command) keySpan { return keySpan{cmd.From, cmd.To, cmd.Fence} }

// keyHold is a range of keys that a process holds until a time.
type keyHold struct {
	keySpan
	until clock.Instant
}

// modelProcess is a process of a backend server.
type modelProcess struct {
	incarnation fleet.Incarnation
	holds       []keyHold
	// seen holds the highest fences that grants have shown to this process.
	seen []keySpan
}

// addSpan adds a span and drops those that it makes needless.
func addSpan(spans []keySpan, added keySpan) []keySpan {
	spans = slices.DeleteFunc(spans, func(s keySpan) bool { return added.covers(s) && s.fence <= added.fence })
	return append(spans, added)
}

// grant carries out a grant whose time runs from its arrival, by a clock that is 2 % slow.
func (p *modelProcess) grant(cmd ownership.Command, arrivedAt clock.Instant) ownership.Outcome {
	span := spanOf(cmd)
	for _, seen := range p.seen {
		if seen.overlaps(span) && seen.fence > span.fence {
			return ownership.Refused
		}
	}
	p.seen = addSpan(p.seen, span)
	p.limitHolds(span, 0)
	p.holds = append(p.holds, keyHold{span, arrivedAt.Add(ownership.GrantTTL * 102 / 100)})
	return ownership.Done
}

// release ends the holds of released keys once the requests in flight have ended. It records no fence: PROTOCOL.md promises 409 only for
// a fence below one that a grant has shown.
func (p *modelProcess) release(cmd ownership.Command, finishedAt clock.Instant) {
	p.limitHolds(spanOf(cmd), finishedAt)
}

// limitHolds lets the holds of a range of keys end at a time.
func (p *modelProcess) limitHolds(span keySpan, until clock.Instant) {
	var kept []keyHold
	for _, h := range p.holds {
		if !h.overlaps(span) {
			kept = append(kept, h)
			continue
		}
		if h.from < span.from {
			kept = append(kept, keyHold{keySpan{h.from, span.from - 1, h.fence}, h.until})
		}
		if h.to > span.to {
			kept = append(kept, keyHold{keySpan{span.to + 1, h.to, h.fence}, h.until})
		}
		if until > 0 {
			inner := keySpan{max(h.from, span.from), min(h.to, span.to), h.fence}
			kept = append(kept, keyHold{inner, min(h.until, until)})
		}
	}
	p.holds = kept
}

// holding returns a hold at a time that overlaps a range of keys.
func (p *modelProcess) holding(now clock.Instant, span keySpan) (h keyHold, found bool) {
	for _, h := range p.holds {
		if h.overlaps(span) && h.until > now {
			return h, true
		}
	}
	return h, false
}

// modelServer is a backend server: the processes that have followed each other under one id.
type modelServer struct {
	id   id.Server
	born fleet.StartTime
	// process is nil while none runs; connections are refused then.
	process *modelProcess
	// registered is the start time in the store's entry, which is written some time after the start.
	registered fleet.StartTime
	// leaving says that the entry is draining.
	leaving bool
	// cut says that calls to the server are lost.
	cut bool
	// had holds the fences with which the server's processes took keys.
	had []keySpan
}

func (s *modelServer) start() {
	s.born++
	s.process = &modelProcess{incarnation: fleet.Incarnation{Server: s.id, Born: s.born}}
}

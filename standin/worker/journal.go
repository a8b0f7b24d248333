package worker

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Journal records the grants and requests of all workers and the violations among them. It is safe for concurrent use.
type Journal struct {
	mu         sync.Mutex
	runs       map[string]int
	byCustomer map[string][]CustomerRun
	// arrivals holds the arrivals of each request.
	arrivals map[string][]*Arrival
	holds    map[string][]*hold
	// grants holds the grants by which a server came to hold keys, each range of a server once, with the highest fence.
	grants     map[string][]grant
	seenFences map[*Worker][]grant
	events     []Event
	violations []string
	conflicts  []Conflict
}

// hold is a time in which a worker holds a key range, with both bounds included.
type hold struct {
	worker     *Worker
	from, to   int
	fence      int64
	begin, end time.Time
}

// grant is the range and the fence of a grant.
type grant struct {
	server   string
	from, to int
	fence    int64
}

// Event is something that happened to an order at a worker.
type Event struct {
	At       time.Time
	Service  string
	Server   string
	From, To int
	Text     string
}

// Conflict is a violation of the guarantee that a key has one holder at a time and moves with a higher fence.
type Conflict struct {
	Service    string
	From, To   int
	Begin, End time.Time
	// Servers are the IDs of the two servers.
	Servers [2]string
	Text    string
}

// NewJournal returns an empty journal.
func NewJournal() *Journal {
	return &Journal{
		runs: map[string]int{}, byCustomer: map[string][]CustomerRun{}, arrivals: map[string][]*Arrival{}, holds: map[string][]*hold{}, grants: map[string][]grant{},
		seenFences: map[*Worker][]grant{},
	}
}

// Runs returns how many times a request was started, over all workers.
func (j *Journal) Runs(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.runs[id]
}

// Violations describes the violated guarantees: at-most-once requests that ran again, and the conflicts.
func (j *Journal) Violations() []string {
	j.mu.Lock()
	violations := append([]string(nil), j.violations...)
	j.mu.Unlock()
	for _, c := range j.Conflicts() {
		violations = append(violations, c.Text)
	}
	return violations
}

// Events returns what happened to all orders, in order of time.
func (j *Journal) Events() []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.events)
}

// Conflicts returns the times in which two workers held the same keys, however short, and the grants whose fence wasn't above all under
// which other servers had held the keys.
func (j *Journal) Conflicts() []Conflict {
	j.mu.Lock()
	defer j.mu.Unlock()
	conflicts := slices.Clone(j.conflicts)
	for service, holds := range j.holds {
		conflicts = append(conflicts, overlaps(service, holds, time.Now())...)
	}
	slices.SortStableFunc(conflicts, func(a, b Conflict) int { return a.Begin.Compare(b.Begin) })
	return conflicts
}

// overlaps returns the times until now in which two workers held the same keys. Overlaps of the same two workers that touch are one.
func overlaps(service string, holds []*hold, now time.Time) (out []Conflict) {
	holds = slices.Clone(holds)
	slices.SortStableFunc(holds, func(a, b *hold) int { return a.begin.Compare(b.begin) })
	latest := map[[2]*Worker]int{}
	for i, later := range holds {
		for _, former := range holds[:i] {
			end := earliest(former.end, later.end, now)
			if former.worker == later.worker || former.to < later.from || later.to < former.from || !end.After(later.begin) {
				continue
			}
			pair := [2]*Worker{former.worker, later.worker}
			c := Conflict{
				Service: service, From: max(former.from, later.from), To: min(former.to, later.to), Begin: later.begin, End: end,
				Servers: [2]string{former.worker.ID, later.worker.ID},
				Text: fmt.Sprintf("%s was granted keys %d to %d with fence %d while %s owned %d to %d with fence %d", later.worker.ID, later.from, later.to,
					later.fence, former.worker.ID, former.from, former.to, former.fence),
			}
			if n, found := latest[pair]; found && !out[n].End.Before(c.Begin) {
				out[n].From, out[n].To = min(out[n].From, c.From), max(out[n].To, c.To)
				if c.End.After(out[n].End) {
					out[n].End = c.End
				}
				continue
			}
			latest[pair] = len(out)
			out = append(out, c)
		}
	}
	for i, c := range out {
		out[i].Text += fmt.Sprintf(": both held keys of %d to %d for %s from %s on", c.From, c.To, c.End.Sub(c.Begin), c.Begin.UTC().Format("15:04:05.000"))
	}
	return out
}

func earliest(times ...time.Time) time.Time { return slices.MinFunc(times, time.Time.Compare) }

// recordStart records the start of a request; a second start of an at-most-once request is a violation.
func (j *Journal) recordStart(w *Worker, id string, a *Arrival, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.BeganAt, a.ServiceTime = time.Now(), d
	j.runs[id]++
	if a.AtMostOnce && j.runs[id] > 1 {
		j.violations = append(j.violations, fmt.Sprintf("request %s ran %d times, last at %s", id, j.runs[id], w.ID))
	}
}

// recordStop ends the holds of a worker whose process ends. The process carries out nothing after it.
func (j *Journal) recordStop(w *Worker) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w.hasStopped() {
		return
	}
	close(w.stopped)
	j.recordEventLocked(w, order{to: maxKey}, "the process has ended")
	j.endHolds(w, 0, maxKey, time.Now())
}

// maxKey is the largest key.
const maxKey = 1<<16 - 1

// recordEvent records what happened to an order.
func (j *Journal) recordEvent(w *Worker, o order, text string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.recordEventLocked(w, o, o.String()+" "+text)
}

func (j *Journal) recordEventLocked(w *Worker, o order, text string) {
	j.events = append(j.events, Event{At: time.Now(), Service: w.Service, Server: w.ID, From: o.from, To: o.to, Text: text})
}

// carryOut carries out an order, unless the process has ended, and returns the status of the answer. A grant is refused if the process has
// seen a grant with a higher fence for one of the keys; releases leave no fence.
func (j *Journal) carryOut(w *Worker, o order) (status int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if w.hasStopped() {
		return 0
	}
	if o.isRelease {
		j.endHolds(w, o.from, o.to, time.Now())
		j.recordEventLocked(w, o, o.String()+" is carried out")
		return http.StatusOK
	}
	for _, seen := range j.seenFences[w] {
		if seen.from <= o.to && o.from <= seen.to && seen.fence > o.fence {
			j.recordEventLocked(w, o, o.String()+" is refused")
			return http.StatusConflict
		}
	}
	j.seenFences[w] = addGrant(j.seenFences[w], grant{w.ID, o.from, o.to, o.fence})
	j.startHold(w, o, time.Now())
	return http.StatusOK
}

// addGrant adds a grant to a list that has each range of a server once, with the highest fence.
func addGrant(list []grant, g grant) []grant {
	i := slices.IndexFunc(list, func(other grant) bool { return other.server == g.server && other.from == g.from && other.to == g.to })
	if i < 0 {
		return append(list, g)
	}
	list[i].fence = max(list[i].fence, g.fence)
	return list
}

// startHold records a hold that a grant begins or prolongs, and checks the fence of one that begins. A shorter hold doesn't end a longer one.
func (j *Journal) startHold(w *Worker, o order, now time.Time) {
	if !o.expiry.After(now) {
		j.recordEventLocked(w, o, o.String()+" is carried out, but its hold has ended")
		return
	}
	j.recordEventLocked(w, o, fmt.Sprintf("%s is carried out, with a hold of %s", o, o.expiry.Sub(now)))
	for _, h := range j.holds[w.Service] {
		if h.worker == w && h.from == o.from && h.to == o.to && h.fence == o.fence && h.end.After(now) {
			if o.expiry.After(h.end) {
				h.end = o.expiry
			}
			return
		}
	}
	j.checkFence(w, o, now)
	j.grants[w.Service] = addGrant(j.grants[w.Service], grant{w.ID, o.from, o.to, o.fence})
	j.holds[w.Service] = append(j.holds[w.Service], &hold{worker: w, from: o.from, to: o.to, fence: o.fence, begin: now, end: o.expiry})
}

// checkFence records a conflict if another server held one of the keys under the same fence or a higher one. A process that starts again
// under the same ID may get a renewal that is meant for the one before it.
func (j *Journal) checkFence(w *Worker, o order, now time.Time) {
	highest := grant{}
	for _, g := range j.grants[w.Service] {
		if g.server != w.ID && g.from <= o.to && o.from <= g.to && g.fence >= o.fence && (highest.server == "" || g.fence > highest.fence) {
			highest = g
		}
	}
	if highest.server == "" {
		return
	}
	j.conflicts = append(j.conflicts, Conflict{
		Service: w.Service, From: max(o.from, highest.from), To: min(o.to, highest.to), Begin: now, End: now, Servers: [2]string{highest.server, w.ID},
		Text: fmt.Sprintf("%s took keys %d to %d with fence %d at %s after %s had held %d to %d with fence %d",
			w.ID, o.from, o.to, o.fence, now.UTC().Format("15:04:05.000"), highest.server, highest.from, highest.to, highest.fence),
	})
}

// endHolds ends what a worker holds of a key range. It keeps its keys outside of it.
func (j *Journal) endHolds(w *Worker, from, to int, now time.Time) {
	for _, h := range j.holds[w.Service] {
		if h.worker != w || h.to < from || h.from > to || !h.end.After(now) {
			continue
		}
		if h.from < from {
			j.holds[w.Service] = append(j.holds[w.Service], &hold{w, h.from, from - 1, h.fence, now, h.end})
		}
		if h.to > to {
			j.holds[w.Service] = append(j.holds[w.Service], &hold{w, to + 1, h.to, h.fence, now, h.end})
		}
		h.end = now
	}
}

// holdsKey reports whether the worker holds a key.
func (j *Journal) holdsKey(w *Worker, key int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(j.holds[w.Service], func(h *hold) bool { return h.worker == w && h.from <= key && key <= h.to && now.Before(h.end) })
}

// Package departure records which backend servers have announced that they leave.
//
// A backend server that leaves says so in each of its responses. A VM records
// the first one that it reads, or that another VM tells it of, and from then on
// treats the backend server as draining, before its registration says so. The
// record is of one incarnation: a restarted backend server isn't leaving.
//
// # Usage
//
//	r := departure.NewRecords(2500 * time.Millisecond)
//	if r.Observe(now, incarnation) {
//		// Publish r.Apply(now, snapshot).
//	}
//	for _, n := range r.TakeNews(now) {
//		// Tell the other VMs.
//	}
package departure

import (
	"maps"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// keyedShare is the part of the drain time in which requests for keys are still sent to their leaving owner. Keys move within some
	// hundred milliseconds; the rest of the drain time is for connections that are slow to open.
	keyedShare = 0.4
	// attemptShare is the part of the drain time in which an attempt that was decided on earlier may still be begun. At the shortest drain
	// time, 2 s, the rest covers a dial (400 ms) and the way through another VM (300 ms).
	attemptShare = 0.6
	// goneTTL is how long a record is kept without a registration of the incarnation. An older copy of the store may bring it back.
	goneTTL = time.Minute
	// maxAge is the age from which a record is dropped although the incarnation is registered.
	maxAge = 24 * time.Hour
	// maxRecords limits the records; it is above the number of backend servers of a large fleet.
	maxRecords = 4096
)

// announcementDelays are the times from one announcement of a record to the next one. Datagrams get lost, so that one isn't enough.
var announcementDelays = [...]time.Duration{0, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// News is a record as VMs report it to each other.
type News struct {
	Incarnation fleet.Incarnation
	// Age is the time since the first response that announced it.
	Age time.Duration
}

// record describes a leaving incarnation.
type record struct {
	// at is when the first response that announced it was read, by any VM as far as known.
	at clock.Instant
	// goneSince is since when it is not registered, or 0 while it is.
	goneSince clock.Instant
	// announcements is the number of announcements that are left, and announceAt when the next one is due.
	announcements int
	announceAt    clock.Instant
}

// Records holds the leaving incarnations that one VM knows. It is safe for concurrent use.
type Records struct {
	drainTime time.Duration

	mu      sync.Mutex
	records map[fleet.Incarnation]*record
}

// NewRecords returns no records. drainTime is how long a leaving backend server may still get requests.
func NewRecords(drainTime time.Duration) *Records {
	return &Records{drainTime: drainTime, records: map[fleet.Incarnation]*record{}}
}

// Observe records that this VM has read a response that says that a backend server leaves. It reports whether this is new.
func (r *Records) Observe(now clock.Instant, inc fleet.Incarnation) (isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.records[inc]; known {
		return false
	}
	if len(r.records) >= maxRecords && !r.evict() {
		return false
	}
	r.records[inc] = &record{at: now, goneSince: now, announcements: len(announcementDelays), announceAt: now}
	return true
}

// ObserveShared records what another VM has observed, and returns the incarnations that are new.
//
// They aren't announced again: the VM that observed them repeats its announcement.
func (r *Records) ObserveShared(now clock.Instant, news []News) (added []fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range news {
		if n.Incarnation.Server == "" || n.Age < 0 || n.Age > maxAge {
			continue
		}
		at := now.Add(-n.Age)
		if known, ok := r.records[n.Incarnation]; ok {
			known.at = min(known.at, at)
			continue
		}
		if len(r.records) >= maxRecords {
			continue
		}
		r.records[n.Incarnation] = &record{at: at, goneSince: now}
		added = append(added, n.Incarnation)
	}
	return added
}

// evict drops the record whose incarnation has been unregistered for the longest time, and reports whether there was one.
func (r *Records) evict() bool {
	var oldest *record
	var evicted fleet.Incarnation
	for inc, known := range r.records {
		if known.goneSince > 0 && (oldest == nil || known.goneSince < oldest.goneSince) {
			oldest, evicted = known, inc
		}
	}
	delete(r.records, evicted)
	return oldest != nil
}

// TakeNews returns this VM's observations whose announcement to the other VMs is due.
func (r *Records) TakeNews(now clock.Instant) (out []News) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for inc, known := range r.records {
		if known.announcements == 0 || now < known.announceAt {
			continue
		}
		out = append(out, News{Incarnation: inc, Age: now.Sub(known.at)})
		if known.announcements--; known.announcements > 0 {
			known.announceAt = now.Add(announcementDelays[len(announcementDelays)-known.announcements])
		}
	}
	return out
}

// Apply returns a snapshot in which the leaving backend servers drain. It drops the records of those that have been unregistered for goneTTL.
func (r *Records) Apply(now clock.Instant, s *fleet.Snapshot) *fleet.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followRegistrations(now, s)
	leaving := map[id.Server]fleet.Server{}
	for inc, known := range r.records {
		// What the registration says holds as it did before: a draining one gets no requests for keys either.
		if server, ok := s.Servers[inc.Server]; ok && server.Incarnation == inc && !server.Draining {
			server.Draining, server.KeyedUntil = true, known.at.Add(r.part(keyedShare))
			leaving[inc.Server] = server
		}
	}
	if len(leaving) == 0 {
		return s
	}
	return s.WithServers(leaving)
}

// followRegistrations records which leaving incarnations are registered, and drops old records.
func (r *Records) followRegistrations(now clock.Instant, s *fleet.Snapshot) {
	for inc, known := range r.records {
		switch server, ok := s.Servers[inc.Server]; {
		case ok && server.Incarnation == inc:
			known.goneSince = 0
		case known.goneSince == 0:
			known.goneSince = now
		}
	}
	maps.DeleteFunc(r.records, func(_ fleet.Incarnation, known *record) bool {
		return known.goneSince > 0 && now.Sub(known.goneSince) > goneTTL || now.Sub(known.at) > maxAge
	})
}

// part returns a part of the drain time.
func (r *Records) part(share float64) time.Duration {
	return time.Duration(share * float64(r.drainTime))
}

// IsLeaving reports whether an incarnation has announced that it leaves.
func (r *Records) IsLeaving(inc fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.records[inc]
	return known
}

// AllowsAttempt reports whether an attempt that was decided on earlier may still be begun: it must arrive before the drain time ends.
func (r *Records) AllowsAttempt(now clock.Instant, inc fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.records[inc]
	return !ok || now < known.at.Add(r.part(attemptShare))
}

// Len returns the number of records.
func (r *Records) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

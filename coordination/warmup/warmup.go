// Package warmup decides when backend servers are asked themselves whether they are cold, and by which VMs.
//
// A backend server may turn cold at any moment. Its entry in the store says so,
// but the entry may be old or late: the store may be out of reach, or may carry
// writes out late although it answers reads at once. A VM that has a sign of
// either tells the others, since each backend server is asked by a few VMs only.
// Requests to a cold backend server are counted within a second, so that a busy
// one is asked before news count as missing: as soon as it would have got a good
// part of what it bears if it had turned cold just after the latest news.
// The package uses no sockets, and its callers pass the time.
//
// # Usage
//
//	var w warmup.Watch
//	w.ObserveNews(now, newsAge)
//	w.ObserveUnansweredWrite(now)
//	if w.IsNeeded(now, server.Domain) && slices.Contains(warmup.Checkers(server.Server, server.Domain, vms), self) ||
//		w.IsLate(now, newsAge, warmup.Tolerance(rate, allowed)) {
//		ask(server)
//	}
package warmup

import (
	"maps"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// recentNewsAge is the age up to which news from the store are as recent as they can be: the leader confirms its copy every 0.1 s and sends
	// a heartbeat every 0.15 s.
	recentNewsAge = 300 * time.Millisecond
	// missingNewsAge is the age from which news count as missing: all backend servers are asked, and all VMs are told.
	missingNewsAge = time.Second
	// toleratedShare is the part of the requests that a cold backend server may get within a second that VMs send before they ask it. The rest
	// covers an uneven load, and the time of the check.
	toleratedShare = 0.5
	// checksFor is how long backend servers are asked after the last sign that their entries may be old or late: running backend servers
	// write them again within about two seconds, VMs that have started meanwhile know only an older copy, and a message that was delayed
	// makes news seem recent.
	checksFor = 2200 * time.Millisecond
	// tellPeriod is the least time between two signs of which all VMs are told, whichever VM has them.
	tellPeriod = 500 * time.Millisecond
)

// Watch holds the signs that entries of backend servers may not say that they are cold. The zero value has none. It is not safe for
// concurrent use.
type Watch struct {
	// ownAt is the time of this VM's latest sign, and sharedAt that of the latest one of which all VMs were told; 0 means never.
	ownAt, sharedAt clock.Instant
	// missesNews says that this VM's news from the store are missing.
	missesNews bool
	// returnedAt is when the latest evacuation of a failure domain ended.
	returnedAt map[id.Domain]clock.Instant
}

// ObserveNews records the age of the news from the store.
func (w *Watch) ObserveNews(now clock.Instant, age time.Duration) {
	if w.missesNews = age > missingNewsAge; w.missesNews {
		w.ownAt = now
	}
}

// UntilOld returns the time until news of an age are old, or 0 if they are. As long as they aren't, no backend server is too busy for them.
func UntilOld(age time.Duration) time.Duration { return max(0, recentNewsAge+1-age) }

// Tolerance returns the age of the news up to which a backend server needn't be asked, if all VMs together send it requests at a rate per second:
// until then it gets a part of the number that it may get within a second while it is cold.
func Tolerance(rate, allowed float64) time.Duration {
	if rate <= 0 {
		return missingNewsAge
	}
	return min(missingNewsAge, max(recentNewsAge, time.Duration(toleratedShare*allowed/rate*float64(time.Second))))
}

// IsLate reports whether a busy backend server must be asked before all are, given the age of the news and its tolerance.
func (w *Watch) IsLate(now clock.Instant, age, tolerance time.Duration) bool {
	return age > tolerance && tolerance < missingNewsAge && !w.isForAll(now)
}

// ObserveUnansweredWrite records that a write of this VM got no answer from the store in the usual time. It may be carried out late, and so may
// those of backend servers.
func (w *Watch) ObserveUnansweredWrite(now clock.Instant) { w.ownAt = now }

// ObserveShared records that another VM had a sign some time ago.
func (w *Watch) ObserveShared(now clock.Instant, age time.Duration) {
	w.sharedAt = max(w.sharedAt, now.Add(-max(age, 0)))
}

// ObserveReturn records that the evacuation of a failure domain has ended; its backend servers may have turned cold shortly before.
func (w *Watch) ObserveReturn(now clock.Instant, domain id.Domain) {
	if w.returnedAt == nil {
		w.returnedAt = map[id.Domain]clock.Instant{}
	}
	w.returnedAt[domain] = now
}

// TakeSign returns how long ago this VM had a sign of which the other VMs should be told. It counts as told from then on.
func (w *Watch) TakeSign(now clock.Instant) (age time.Duration, ok bool) {
	if w.ownAt == 0 || w.sharedAt > 0 && w.ownAt.Sub(w.sharedAt) < tellPeriod {
		return 0, false
	}
	w.sharedAt = w.ownAt
	return now.Sub(w.ownAt), true
}

// Clone returns a copy of the signs.
func (w *Watch) Clone() Watch {
	return Watch{ownAt: w.ownAt, sharedAt: w.sharedAt, missesNews: w.missesNews, returnedAt: maps.Clone(w.returnedAt)}
}

// IsNeeded reports whether the backend servers of a failure domain must be asked now.
func (w *Watch) IsNeeded(now clock.Instant, domain id.Domain) bool {
	return w.isForAll(now) || isRecent(now, w.returnedAt[domain])
}

// MustAskItself reports whether this VM must ask all backend servers to which it sends, given whether a leader acts, through which all VMs know the
// same. Otherwise others may know that one isn't to be used, and therefore neither ask it nor hear that it is cold.
func (w *Watch) MustAskItself(isLed bool) bool { return w.missesNews && !isLed }

// IsIdle reports whether no backend server has to be asked now.
func (w *Watch) IsIdle(now clock.Instant) bool {
	for _, at := range w.returnedAt {
		if isRecent(now, at) {
			return false
		}
	}
	return !w.isForAll(now)
}

// isForAll reports whether the backend servers of all failure domains must be asked.
func (w *Watch) isForAll(now clock.Instant) bool { return isRecent(now, max(w.ownAt, w.sharedAt)) }

func isRecent(now, at clock.Instant) bool { return at > 0 && now.Sub(at) < checksFor }

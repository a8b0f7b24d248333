package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	// recordDelay is how long the leader waits for the reports of other VMs, so that one write holds them all.
	recordDelay = 250 * time.Millisecond
	// unrecordedDelay is how long a VM waits for the leader to record its evidence before it writes the record itself.
	unrecordedDelay = time.Second
	// maxWrittenRecords limits the records of one write, since the store limits the keys of a transaction.
	maxWrittenRecords = 10
	// maxRecords limits the records in the store. Beyond it only crashes with a repeated suspect are recorded.
	maxRecords = 512
	// maxRemovedRecords limits the records that one call removes.
	maxRemovedRecords = 30
	// recordRetention is the age from which a record is removed. The reserve allows for wall clocks that differ.
	recordRetention = defaultRetention + time.Minute
)

// Restore merges the records in the store, which must not be modified afterwards. wall is the present time by the wall clock.
func (l *Ledger) Restore(now clock.Instant, wall time.Time, stored map[fleet.Incarnation]fleet.Crash) {
	for _, r := range l.restore(now, wall, stored) {
		l.options.OnReport(r)
	}
}

// restore is Restore without the reports, which it returns.
func (l *Ledger) restore(now clock.Instant, wall time.Time, stored map[fleet.Incarnation]fleet.Crash) (reports []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stored = stored
	l.changes++
	clear(l.storedCrashes)
	for p, r := range stored {
		for _, f := range r.Suspects {
			l.storedCrashes[f]++
		}
		age := max(0, wall.Sub(r.At))
		if age > defaultRetention {
			continue
		}
		for _, f := range r.Acquitted {
			at := now.Add(-age)
			if c := l.crashes[p]; c != nil {
				at = max(at, c.at)
			}
			l.clear(f, r.Version, at)
		}
		for _, run := range r.RunsOn {
			l.clear(run.Request, run.Version, now.Add(-age))
		}
		if _, own := l.mergeCrash(now, p, r.Version, now.Add(-age), r.Suspects); own != nil {
			reports = append(reports, *own)
		}
	}
	return reports
}

// isStored reports whether the store's record of a crash holds the given suspects.
func (l *Ledger) isStored(p fleet.Incarnation, suspects []Fingerprint) bool {
	r := l.stored[p]
	for _, f := range suspects {
		if !isIn(r.Suspects, f) && !isIn(r.Acquitted, f) {
			return false
		}
	}
	return true
}

// isIn reports whether a fingerprint is in a list in ascending order.
func isIn(list []Fingerprint, f Fingerprint) bool {
	_, found := slices.BinarySearch(list, f)
	return found
}

// Unrecorded returns the records that this VM has to write to the store now, each in place of the one that Restore got. The leader writes
// what all VMs have reported, other VMs only what the leader hasn't recorded in time.
func (l *Ledger) Unrecorded(now clock.Instant, wall time.Time, leads bool) (out []fleet.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.changes == l.recordedChanges {
		return nil
	}
	l.expire(now)
	changes, isRecorded := l.changes, true
	for p, c := range l.crashes {
		isRecorded = isRecorded && l.isRecorded(p, c)
		if l.mustRecord(now, p, c, leads) {
			out = append(out, l.record(now, wall, p, c))
		}
	}
	if isRecorded {
		l.recordedChanges = changes
	}
	slices.SortFunc(out, func(a, b fleet.Crash) int {
		return cmp.Or(-cmp.Compare(l.mostOf(a.Process), l.mostOf(b.Process)), b.At.Compare(a.At), cmp.Compare(a.Process.Server, b.Process.Server))
	})
	return out[:min(len(out), maxWrittenRecords)]
}

// mostOf returns the highest number of crashes among the suspects of a process's crash.
func (l *Ledger) mostOf(p fleet.Incarnation) int {
	most, _ := l.mostCrashes(l.crashes[p])
	return most
}

// mustRecord reports whether this VM has to write the record of a crash now.
func (l *Ledger) mustRecord(now clock.Instant, p fleet.Incarnation, c *crash, leads bool) bool {
	_, isRecorded := l.stored[p]
	switch {
	case !isRecorded && len(l.stored) >= maxRecords && !l.hasRepeatedSuspect(c):
		return false
	case leads:
		return now.Sub(c.changedAt) >= recordDelay && !l.isRecorded(p, c)
	default:
		return now.Sub(c.ownAt) >= l.options.UnrecordedDelay && !l.isStored(p, c.remaining(c.own))
	}
}

// isRecorded reports whether the store's record of a crash holds all that this VM knows, as far as it matters.
func (l *Ledger) isRecorded(p fleet.Incarnation, c *crash) bool {
	for f := range c.suspects {
		if !l.isStored(p, []Fingerprint{f}) {
			return false
		}
	}
	for _, f := range l.stored[p].Suspects {
		// A request that is listed once doesn't get refused, so that its good ends need no record.
		isNews := l.isAcquitted(f, c) || c.suspects[f] && len(l.otherRuns(f, c.version, l.stored[p].RunsOn)) > 0
		if isNews && l.storedCrashes[f] >= crashesToBlock {
			return false
		}
	}
	return true
}

// isAcquitted reports whether a request has run to a good end on the version of a crashed process since its crash.
func (l *Ledger) isAcquitted(f Fingerprint, c *crash) bool {
	ran, ok := l.ranAt[f][c.version]
	return ok && ran >= c.at
}

// otherRuns returns the good ends of a suspect on other versions than the given one that aren't recorded.
func (l *Ledger) otherRuns(f Fingerprint, version id.SoftwareVersion, recorded []fleet.Run) (out []fleet.Run) {
	for v := range l.ranAt[f] {
		if run := (fleet.Run{Request: f, Version: v}); v != version && !slices.Contains(recorded, run) {
			out = append(out, run)
		}
	}
	return out
}

// remaining returns the requests of a list that still are suspects of the crash.
func (c *crash) remaining(list []Fingerprint) (out []Fingerprint) {
	for _, f := range list {
		if c.suspects[f] {
			out = append(out, f)
		}
	}
	return out
}

// record returns the record of a crash as it is to be stored.
func (l *Ledger) record(now clock.Instant, wall time.Time, p fleet.Incarnation, c *crash) fleet.Crash {
	old := l.stored[p]
	r := fleet.Crash{Process: p, Version: c.version, RunsOn: slices.Clone(old.RunsOn), At: wall.Add(-now.Sub(c.at)), Revision: old.Revision, Acquitted: slices.Clone(old.Acquitted)}
	if !old.At.IsZero() {
		r.At = old.At
	}
	for f := range c.suspects {
		r.Suspects = append(r.Suspects, f)
		r.RunsOn = append(r.RunsOn, l.otherRuns(f, c.version, r.RunsOn)...)
	}
	for _, f := range old.Suspects {
		if l.isAcquitted(f, c) {
			r.Acquitted = append(r.Acquitted, f)
		} else if !c.suspects[f] {
			r.Suspects = append(r.Suspects, f)
		}
	}
	r.Acquitted = slices.DeleteFunc(r.Acquitted, func(f Fingerprint) bool { return c.suspects[f] })
	slices.Sort(r.Suspects)
	slices.Sort(r.Acquitted)
	slices.SortFunc(r.RunsOn, func(a, b fleet.Run) int {
		return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Version, b.Version))
	})
	return r
}

// Outdated returns the records that the leader has to remove from the store: old ones, and those of processes that turned out to be alive.
func (l *Ledger) Outdated(wall time.Time) (out []fleet.Crash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, r := range l.stored {
		if _, refuted := l.refutedAt[p]; (refuted || wall.Sub(r.At) > recordRetention) && len(out) < maxRemovedRecords {
			out = append(out, r)
		}
	}
	return out
}

package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// crashReport returns the report of the crash of a process with a number.
func crashReport(process int, suspects ...poison.Fingerprint) poison.Report {
	return poison.Report{Process: fleet.Incarnation{Server: id.Server(fmt.Sprint("i-", process)), Born: 1}, Suspects: suspects}
}

// later returns the report as one of a crash 5 s after the others.
func later(r poison.Report) poison.Report {
	r.Age = -5 * time.Second
	return r
}

func TestLedgerStatus(t *testing.T) {
	const guilty, innocent poison.Fingerprint = 1, 2
	at := func(d time.Duration) clock.Instant { return clock.Instant(time.Hour + d) }
	tests := map[string]struct {
		reports []poison.Report
		// age is the time since the last report.
		age              time.Duration
		guilty, innocent poison.Status
		// refusedFor is how much longer the guilty one is refused, or the innocent one if the guilty one isn't.
		refusedFor time.Duration
	}{
		"one crash": {reports: []poison.Report{crashReport(1, guilty)}, guilty: poison.Suspect},
		"one crash that several VMs report": {
			reports: []poison.Report{crashReport(1, guilty), crashReport(1, guilty), crashReport(1, guilty, innocent)}, guilty: poison.Suspect, innocent: poison.Suspect,
		},
		"alone at two crashes":             {reports: []poison.Report{crashReport(1, guilty), crashReport(2, guilty)}, age: time.Second, guilty: poison.Blocked, refusedFor: 29 * time.Second},
		"a coincidence may have ended":     {reports: []poison.Report{crashReport(1, guilty), crashReport(2, guilty)}, age: time.Minute, guilty: poison.Suspect},
		"alone at three crashes":           {reports: []poison.Report{crashReport(1, guilty), crashReport(2, guilty), crashReport(3, guilty)}, age: 9 * time.Minute, guilty: poison.Blocked},
		"another request beside it":        {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty)}, guilty: poison.Blocked},
		"beside it twice, the first turn":  {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent)}, guilty: poison.Suspect, innocent: poison.Blocked, refusedFor: time.Second},
		"beside it twice, the second turn": {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent)}, age: 1500 * time.Millisecond, guilty: poison.Blocked, innocent: poison.Suspect, refusedFor: 500 * time.Millisecond},
		"beside it twice, after the turns": {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent)}, age: 2500 * time.Millisecond, guilty: poison.Suspect, innocent: poison.Suspect},
		"the third crash tells them apart": {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent), crashReport(3, guilty)}, guilty: poison.Blocked},
		"together at three crashes":        {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent), crashReport(3, guilty, innocent)}, guilty: poison.Blocked, innocent: poison.Blocked},
		"together, after a time":           {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent), crashReport(3, guilty, innocent)}, age: 2 * time.Minute, guilty: poison.Suspect, innocent: poison.Suspect},
		"twice beside another crash":       {reports: []poison.Report{crashReport(1, guilty), crashReport(2, guilty), crashReport(3, innocent)}, guilty: poison.Suspect, innocent: poison.Suspect},
		"together beside another crash":    {reports: []poison.Report{crashReport(1, guilty, innocent), crashReport(2, guilty, innocent), crashReport(3)}, guilty: poison.Suspect, innocent: poison.Suspect},
		"beside another crash, then again": {reports: []poison.Report{crashReport(1, guilty), crashReport(2, guilty), crashReport(3, innocent), later(crashReport(4, guilty))}, age: 5 * time.Second, guilty: poison.Blocked, innocent: poison.Suspect},
		"has run since":                    {reports: []poison.Report{crashReport(1, innocent), {Cleared: []poison.Fingerprint{innocent}}, crashReport(1, innocent)}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := poison.NewLedger()
			for _, r := range test.reports {
				l.Merge(at(0), r)
			}
			is.Equal(l.Check(at(test.age), guilty, ""), test.guilty)
			is.Equal(l.Check(at(test.age), innocent, ""), test.innocent)
			if test.refusedFor > 0 {
				refused := guilty
				if test.guilty != poison.Blocked {
					refused = innocent
				}
				is.Equal(l.RefusedFor(at(test.age), refused), test.refusedFor)
			}
		})
	}
}

// An answer that was written before a crash must not refute it, and one to a later request must.
func TestAnswersRefuteCrashes(t *testing.T) {
	tests := map[string]struct {
		began  time.Duration
		status poison.Status
	}{
		"a request from before the connection broke": {began: -time.Second, status: poison.Suspect},
		"a request sent after it":                    {began: time.Second, status: poison.Clear},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := poison.NewLedger()
			process, now := fleet.Incarnation{Server: "a", Born: 1}, clock.Instant(time.Hour)
			l.Begin(now, process, 1)
			l.Begin(now, process, 2)
			l.Unanswered(now, process, 1, now, true)
			l.Answered(now.Add(2*time.Second), process, "", 2, now.Add(test.began), true)
			l.RecordCrash(now.Add(3*time.Second), fleet.Server{Incarnation: process}, false)
			is.Equal(l.Check(now.Add(3*time.Second), 1, ""), test.status)
		})
	}
}

// A storm of crashes must not keep later ones from being recorded, or a request that crashes many processes from being known.
func TestCrashesAfterACrashStormCount(t *testing.T) {
	is := is.New(t)
	const before, after poison.Fingerprint = 1, 2
	l, now := poison.NewLedger(), clock.Instant(time.Hour)
	for n := range 2 {
		l.Merge(now, crashReport(n, before))
	}
	now = now.Add(2 * time.Second)
	for n := range 3000 {
		now = now.Add(time.Millisecond)
		l.Merge(now, crashReport(100+n, poison.Fingerprint(100+n)))
	}
	now = now.Add(2 * time.Second)
	for n := range 2 {
		l.Merge(now, crashReport(10+n, after))
	}
	is.Equal(l.Check(now, before, ""), poison.Blocked)
	is.Equal(l.Check(now, after, ""), poison.Blocked)
	is.True(l.Stats(now).Crashes <= 1024)
}

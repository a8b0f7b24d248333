package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/poison"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

func TestVersionsOfCrashes(t *testing.T) {
	const request poison.Fingerprint = 1
	crashed := func(process int, version id.SoftwareVersion) poison.Report {
		r := crashReport(process, request)
		r.Version = version
		return r
	}
	ran := func(version id.SoftwareVersion) poison.Report {
		return poison.Report{Version: version, Cleared: []poison.Fingerprint{request}}
	}
	tests := map[string]struct {
		reports []poison.Report
		// age is the time since the last report.
		age    time.Duration
		v1, v2 poison.Status
	}{
		"one crash": {reports: []poison.Report{crashed(1, "v1")}, v1: poison.Suspect, v2: poison.Suspect},
		"two crashes, the other version isn't tried":   {reports: []poison.Report{crashed(1, "v1"), crashed(2, "v1")}, v1: poison.Blocked, v2: poison.Suspect},
		"three crashes, the other version isn't tried": {reports: []poison.Report{crashed(1, "v1"), crashed(2, "v1"), crashed(3, "v1")}, v1: poison.Blocked, v2: poison.Blocked},
		"three crashes, after a time":                  {reports: []poison.Report{crashed(1, "v1"), crashed(2, "v1"), crashed(3, "v1")}, age: time.Minute, v1: poison.Blocked, v2: poison.Suspect},
		"both versions crash":                          {reports: []poison.Report{crashed(1, "v1"), crashed(2, "v2")}, v1: poison.Blocked, v2: poison.Blocked},
		"the other version runs it":                    {reports: []poison.Report{crashed(1, "v1"), ran("v2"), crashed(2, "v1"), crashed(3, "v1")}, v1: poison.Blocked, v2: poison.Suspect},
		"the other version runs it first":              {reports: []poison.Report{crashed(1, "v1"), ran("v2"), crashed(2, "v2"), crashed(3, "v2")}, v1: poison.Blocked, v2: poison.Blocked},
		"the same version runs it":                     {reports: []poison.Report{crashed(1, "v1"), ran("v1"), crashed(2, "v1")}, v1: poison.Suspect, v2: poison.Suspect},
		"an earlier build doesn't name the version":    {reports: []poison.Report{crashed(1, ""), crashed(2, "")}, v1: poison.Blocked, v2: poison.Blocked},
		"an earlier build reports the crashes first":   {reports: []poison.Report{crashed(1, ""), crashed(2, ""), crashed(1, "v1"), crashed(2, "v1")}, v1: poison.Blocked, v2: poison.Suspect},
		"an earlier build says that it ran":            {reports: []poison.Report{crashed(1, "v1"), crashed(2, "v1"), ran("")}, v1: poison.Blocked, v2: poison.Suspect},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, now := poison.NewLedger(), clock.Instant(time.Hour)
			for _, r := range test.reports {
				l.Merge(now, r)
				now = now.Add(time.Second)
			}
			is.Equal(l.Check(now.Add(test.age), request, "v1"), test.v1)
			is.Equal(l.Check(now.Add(test.age), request, "v2"), test.v2)
		})
	}
}

// Good ends on other versions must be known after a restart, or all versions would refuse the request.
func TestGoodEndsOnOtherVersionsAreRecorded(t *testing.T) {
	is := is.New(t)
	s := newRecordStore()
	for n := range 2 {
		r := crashReport(n, 1)
		r.Version = "v1"
		s.ledger.Merge(s.now, r)
		s.pass(time.Second)
		s.ledger.Merge(s.now, poison.Report{Version: "v2", Cleared: []poison.Fingerprint{1}})
		s.write(true)
	}
	s.pass(time.Second)
	s.write(true)
	is.Equal(s.write(true), 0)
	s.restart()
	is.Equal(s.ledger.Check(s.now, 1, "v1"), poison.Blocked)
	is.Equal(s.ledger.Check(s.now, 1, "v2"), poison.Suspect)
	r := crashReport(3, 1)
	r.Version = "v1"
	s.ledger.Merge(s.now, r)
	is.Equal(s.ledger.Check(s.now, 1, "v2"), poison.Suspect)
}

package clearance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
	"github.com/hickorylug/hickorylug/state/clock"
)

func TestDecide(t *testing.T) {
	now := clock.Instant(time.Hour)
	tests := map[string]struct {
		left     time.Duration
		facts    clearance.Facts
		want     clearance.Verdict
		ofServer bool
	}{
		"nothing has changed":                          {left: time.Second, want: clearance.Granted},
		"just enough time":                             {left: clearance.MinTime, want: clearance.Granted},
		"a moment less":                                {left: clearance.MinTime - 1, want: clearance.TooLate},
		"past its deadline":                            {left: -time.Second, want: clearance.TooLate},
		"the caller has left":                          {left: time.Second, facts: clearance.Facts{HasCallerLeft: true}, want: clearance.CallerLeft},
		"the VM stops":                                 {left: time.Second, facts: clearance.Facts{IsStopping: true}, want: clearance.Stopping},
		"it crashes what runs it":                      {left: time.Second, facts: clearance.Facts{IsCrashing: true}, want: clearance.Crashing, ofServer: true},
		"the backend server leaves":                    {left: time.Second, facts: clearance.Facts{IsServerOut: true}, want: clearance.ServerOut, ofServer: true},
		"a caller that has left hears of nothing else": {facts: clearance.Facts{HasCallerLeft: true, IsStopping: true, IsCrashing: true, IsServerOut: true}, want: clearance.CallerLeft},
		"no other server helps a VM that stops":        {left: time.Second, facts: clearance.Facts{IsStopping: true, IsCrashing: true, IsServerOut: true}, want: clearance.Stopping},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			test.facts.Deadline = now.Add(test.left)
			got := clearance.Decide(now, test.facts)
			is.Equal(got, test.want)
			is.Equal(got.IsOfServer(), test.ofServer)
		})
	}
}

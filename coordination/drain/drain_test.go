package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/drain"
	"github.com/hickorylug/hickorylug/state/clock"
)

func TestAccepts(t *testing.T) {
	const settle, grace = 3 * time.Second, 5 * time.Second
	tests := map[string]struct {
		running bool
		// at is the time since the stop began, and objective and deadline are counted from then.
		at, objective, deadline time.Duration
		idempotent, want        bool
	}{
		"no stop":                                    {running: true, objective: time.Hour, deadline: time.Hour, want: true},
		"ends before the stop does":                  {at: time.Second, objective: 2 * time.Second, deadline: 5 * time.Second, want: true},
		"late, ends before the stop does":            {at: 4 * time.Second, objective: 4500 * time.Millisecond, deadline: 5 * time.Second, want: true},
		"may outlast the stop":                       {at: time.Second, objective: 2 * time.Second, deadline: 5*time.Second + 1},
		"may outlast the stop, idempotent":           {at: time.Second, objective: 2 * time.Second, deadline: time.Minute, idempotent: true, want: true},
		"usually outlasts the stop, idempotent":      {at: time.Second, objective: 6 * time.Second, deadline: time.Minute, idempotent: true},
		"past its objective, idempotent":             {at: time.Second, deadline: time.Minute, idempotent: true, want: true},
		"late, may outlast the stop, idempotent":     {at: 3 * time.Second, objective: 4 * time.Second, deadline: 5*time.Second + 1, idempotent: true},
		"at the very end, idempotent":                {at: 5 * time.Second, objective: 6 * time.Second, deadline: 7 * time.Second, idempotent: true},
		"just before new connections stay away":      {at: settle - 1, objective: 4 * time.Second, deadline: 7 * time.Second, idempotent: true, want: true},
		"not idempotent, as new connections do come": {at: 0, objective: time.Second, deadline: 6 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := clock.Instant(time.Hour)
			w := drain.NewWindow(began, began, settle, grace)
			if test.running {
				w = nil
			}
			is.Equal(w.Accepts(began.Add(test.at), began.Add(test.deadline), began.Add(test.objective), test.idempotent), test.want)
		})
	}
}

func TestMayWait(t *testing.T) {
	const settle, grace = 3 * time.Second, 5 * time.Second
	tests := map[string]struct {
		running bool
		// at is the time since the stop began, and objective and deadline are counted from then.
		at, objective, deadline time.Duration
		idempotent, want        bool
	}{
		"no stop":                           {running: true, objective: time.Hour, deadline: time.Hour, want: true},
		"would be accepted":                 {at: 4 * time.Second, objective: 4500 * time.Millisecond, deadline: 5 * time.Second, want: true},
		"would not be accepted":             {at: time.Second, objective: 2 * time.Second, deadline: 6 * time.Second},
		"idempotent":                        {at: settle - 1, objective: 4 * time.Second, deadline: 6 * time.Second, idempotent: true, want: true},
		"idempotent, no longer accepted":    {at: settle, objective: 4 * time.Second, deadline: 6 * time.Second, idempotent: true},
		"just before the last answers":      {at: 4800*time.Millisecond - 1, objective: 4900 * time.Millisecond, deadline: 5 * time.Second, want: true},
		"as the last answers are written":   {at: 4800 * time.Millisecond, objective: 4900 * time.Millisecond, deadline: 5 * time.Second},
		"at the end, though it ends before": {at: 5 * time.Second, objective: 4900 * time.Millisecond, deadline: 4950 * time.Millisecond, idempotent: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := clock.Instant(time.Hour)
			w := drain.NewWindow(began, began, settle, grace)
			if test.running {
				w = nil
			}
			is.Equal(w.MayWait(began.Add(test.at), began.Add(test.deadline), began.Add(test.objective), test.idempotent), test.want)
		})
	}
}

// A stop that a VM notices late must not accept requests that outlast the grace time.
func TestStopNoticedLateAcceptsNoRequestThatIsCutOff(t *testing.T) {
	const settle, grace = 3 * time.Second, 5 * time.Second
	tests := map[string]struct {
		// late is the time for which the process didn't run before it noticed the stop. deadline is counted from then.
		late, deadline time.Duration
		idempotent     bool
		want           bool
	}{
		"in time":                      {deadline: 5 * time.Second, want: true},
		"late":                         {late: time.Second, deadline: 4*time.Second + 1},
		"late, ends in time":           {late: time.Second, deadline: 4 * time.Second, want: true},
		"late, idempotent":             {late: time.Second, deadline: time.Minute, idempotent: true, want: true},
		"too late, idempotent":         {late: settle, deadline: time.Minute, idempotent: true},
		"later than the grace time":    {late: time.Minute, deadline: time.Millisecond},
		"a clock reading after it ran": {late: -time.Second, deadline: 5 * time.Second, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Instant(time.Hour)
			w := drain.NewWindow(now, now.Add(-test.late), settle, grace)
			is.Equal(w.Accepts(now, now.Add(test.deadline), now, test.idempotent), test.want)
		})
	}
}

// A stop that a VM notices late must give up requests before its process is killed, but leave them most of the grace time.
func TestStopNoticedLateGivesUpRequestsInTime(t *testing.T) {
	const settle, grace = 3 * time.Second, 5 * time.Second
	tests := map[string]struct{ late, givesUp time.Duration }{
		"in time":                   {givesUp: 5 * time.Second},
		"a little late":             {late: 400 * time.Millisecond, givesUp: 4600 * time.Millisecond},
		"late":                      {late: time.Second, givesUp: 4500 * time.Millisecond},
		"later than the grace time": {late: time.Minute, givesUp: 4500 * time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Instant(time.Hour)
			is.Equal(drain.NewWindow(now, now.Add(-test.late), settle, grace).GivesUp(), now.Add(test.givesUp))
		})
	}
}

package main

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// A check that allows more than the half second, or counts runs that the caller still waited for, tells nothing of late work.
func TestLateWork(t *testing.T) {
	left := time.Now()
	at := func(d time.Duration) time.Time { return left.Add(d) }
	const ms = time.Millisecond
	// run is an arrival that begins at once and lasts for the given time.
	run := func(reached, lasts time.Duration) worker.Arrival {
		return worker.Arrival{Server: "i-1", ReachedAt: at(reached), BeganAt: at(reached), EndedAt: at(reached + lasts), ServiceTime: lasts, Deadline: at(2000 * ms)}
	}
	brokenOff := func(reached, after time.Duration) worker.Arrival {
		a := run(reached, after)
		a.ServiceTime, a.IsBrokenOff = 10*time.Second, true
		return a
	}
	notRun := func(reached time.Duration) worker.Arrival {
		return worker.Arrival{Server: "i-1", ReachedAt: at(reached)}
	}
	endless := func() worker.Arrival {
		a := run(0, 900*ms)
		a.EndedAt = time.Time{}
		return a
	}
	tests := map[string]struct {
		// once holds the arrivals of requests that must run at most once, and idempotent those of others, by request.
		once, idempotent [][]worker.Arrival
		silences         []silence
		violations       int
	}{
		"nobody left":                     {},
		"never reached one":               {once: [][]worker.Arrival{nil}, idempotent: [][]worker.Arrival{nil}},
		"reached one before":              {once: [][]worker.Arrival{{run(-50*ms, 900*ms)}}},
		"reached one just in time":        {once: [][]worker.Arrival{{run(500*ms, 20*ms)}}},
		"reached one late":                {once: [][]worker.Arrival{{run(501*ms, 20*ms)}}, violations: 1},
		"rejected, and reached one late":  {once: [][]worker.Arrival{{notRun(100 * ms), run(600*ms, 20*ms)}}, violations: 1},
		"rejected late":                   {once: [][]worker.Arrival{{notRun(600 * ms)}}},
		"idempotent, reached one late":    {idempotent: [][]worker.Arrival{{run(600*ms, 20*ms)}}, violations: 1},
		"a few were rejected late":        {idempotent: [][]worker.Arrival{{notRun(600 * ms)}, {notRun(600 * ms)}, {notRun(600 * ms)}}},
		"more than a few":                 {idempotent: [][]worker.Arrival{{notRun(600 * ms)}, {notRun(600 * ms)}, {notRun(600 * ms)}, {notRun(600 * ms)}}, violations: 1},
		"one that comes late again":       {idempotent: [][]worker.Arrival{{notRun(600 * ms), notRun(700 * ms), notRun(800 * ms), notRun(900 * ms)}}},
		"work ended in time":              {idempotent: [][]worker.Arrival{{brokenOff(0, 499*ms)}}},
		"work ended late":                 {idempotent: [][]worker.Arrival{{brokenOff(0, 501*ms)}}, violations: 1},
		"work that hasn't ended":          {idempotent: [][]worker.Arrival{{endless()}}, violations: 1},
		"a quarter ended late":            {idempotent: [][]worker.Arrival{{run(0, 900*ms)}, {brokenOff(0, 20*ms)}, {brokenOff(0, 20*ms)}, {brokenOff(0, 20*ms)}}},
		"short work doesn't count":        {idempotent: [][]worker.Arrival{{run(0, 900*ms)}, {run(0, 20*ms)}, {run(0, 20*ms)}, {run(0, 20*ms)}}, violations: 1},
		"cut off at work":                 {once: [][]worker.Arrival{{brokenOff(-50*ms, 100*ms)}}, violations: 1},
		"cut off at its deadline":         {once: [][]worker.Arrival{{brokenOff(-50*ms, 2050*ms)}}},
		"cut off by a silent server":      {once: [][]worker.Arrival{{brokenOff(-50*ms, 100*ms)}}, silences: []silence{{"i-1", at(-10 * ms), at(50 * ms)}}},
		"cut off beside a silent server":  {once: [][]worker.Arrival{{brokenOff(-50*ms, 100*ms)}}, silences: []silence{{"i-2", at(-10 * ms), at(50 * ms)}}, violations: 1},
		"cut off before a server is dark": {once: [][]worker.Arrival{{brokenOff(-50*ms, 100*ms)}}, silences: []silence{{"i-1", at(60 * ms), at(90 * ms)}}, violations: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			arrivals := map[string][]worker.Arrival{}
			var list []departure
			add := func(prefix string, requests [][]worker.Arrival, atMostOnce bool) {
				for i, all := range requests {
					id := prefix + string(rune('a'+i))
					arrivals[id] = all
					list = append(list, departure{id: id, at: left, atMostOnce: atMostOnce})
				}
			}
			add("once-", test.once, true)
			add("idempotent-", test.idempotent, false)
			w := findLateWork(list, func(id string) []worker.Arrival { return arrivals[id] }, test.silences)
			violations := w.violations()
			t.Log(violations)
			is.Equal(len(violations), test.violations)
		})
	}
}

// The bound holds only while the VMs are in contact, so that other faults must not be taken for late work.
func TestDeparturesAreMeasuredInContactOnly(t *testing.T) {
	tests := map[string]struct {
		faults []string
		want   bool
	}{
		"nobody leaves":          {faults: []string{"servers silent"}},
		"alone":                  {faults: []string{"callers leave"}, want: true},
		"beside silent servers":  {faults: []string{"callers leave", "servers silent", "configuration"}, want: true},
		"beside a paused VM":     {faults: []string{"callers leave", "pause"}},
		"beside a stopped VM":    {faults: []string{"callers leave", "terminate"}},
		"beside a store that is": {faults: []string{"callers leave", "store slow"}},
		"all":                    {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			selected, err := selectFaults(test.faults)
			is.NoErr(err)
			is.Equal(measuresDepartures(selected), test.want)
		})
	}
}

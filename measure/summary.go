package measure

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// summarize makes the result of all requests since the warm-up.
func (w *world) summarize(runsBefore map[string]int, before map[id.Service]*table.Table) (r Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var latencies []time.Duration
	for _, x := range w.results {
		switch {
		case x.poisoned:
		case x.err == nil:
			r.Answered++
			latencies = append(latencies, x.end.Sub(x.start))
		case x.err.Outcome == outcome.KindNotRun:
			r.Refused++
		default:
			r.Unknown++
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		r.P50, r.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	runs := w.runs()
	total := 0
	for _, service := range w.config.Services {
		sum, peak := 0, 0
		for _, s := range service.Servers {
			n := runs[s.Address] - runsBefore[s.Address]
			sum += n
			peak = max(peak, n)
		}
		total += sum
		ratio := float64(peak*len(service.Servers)) / float64(max(sum, 1))
		if service.Keyed {
			r.KeyedImbalance = max(r.KeyedImbalance, ratio)
		} else {
			r.Imbalance = max(r.Imbalance, ratio)
		}
	}
	r.ExtraRuns = float64(total)/float64(max(r.Answered, 1)) - 1
	for service, t := range w.directory.View().Tables {
		if w.config.Services[service].Keyed {
			r.Churn = max(r.Churn, planner.Churn(before[service], t))
		}
	}
	for _, s := range w.servers {
		r.ColdOverloads += s.overloads
		if s.down && w.c.Name == casePoison {
			r.CrashedServers++
		}
	}
	r.Unavailable = w.unavailable()
	return r
}

// unavailable returns the longest time from a request that was not answered promptly to the last such one before a prompt answer, for one key.
func (w *world) unavailable() (longest time.Duration) {
	byKey := map[string][]result{}
	for _, x := range w.results {
		if x.key != "" {
			byKey[x.key] = append(byKey[x.key], x)
		}
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b result) int { return a.end.Compare(b.end) })
		var since time.Time
		for _, x := range list {
			prompt := x.err == nil && x.end.Sub(x.start) <= normal
			if prompt {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = x.start
			}
			longest = max(longest, x.end.Sub(since))
		}
	}
	return longest
}

package measure

import (
	"slices"
	"time"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// summarize returns the measurements of all requests since the warm-up.
func (sim *simulation) summarize(runsBefore map[string]int, before map[id.Service]*table.Table) (r Result) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var latencies []time.Duration
	for _, x := range sim.results {
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
	runs := sim.runCounts()
	total := 0
	for _, service := range sim.config.Services {
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
	for service, t := range sim.directory.View().Tables {
		if sim.config.Services[service].Keyed {
			r.Churn = max(r.Churn, planner.Churn(before[service], t))
		}
	}
	for _, s := range sim.servers {
		r.ColdOverloads += s.overloads
		if s.isDown && sim.testCase.Name == casePoison {
			r.CrashedServers++
		}
	}
	r.Unavailable = sim.unavailable()
	return r
}

// unavailable returns the longest time for which one key had no prompt response: from the start of a request without one
// to the end of the last request without one before the next prompt response.
func (sim *simulation) unavailable() (longest time.Duration) {
	byKey := map[string][]result{}
	for _, x := range sim.results {
		if x.key != "" {
			byKey[x.key] = append(byKey[x.key], x)
		}
	}
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b result) int { return a.end.Compare(b.end) })
		var failingSince time.Time
		for _, x := range list {
			isPrompt := x.err == nil && x.end.Sub(x.start) <= promptLatency
			if isPrompt {
				failingSince = time.Time{}
				continue
			}
			if failingSince.IsZero() {
				failingSince = x.start
			}
			longest = max(longest, x.end.Sub(failingSince))
		}
	}
	return longest
}

package main

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hickorylug/hickorylug/coordination/planner"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/standin/backend"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// drainGrace is the time after which a draining backend server, or a failure domain that was taken out,
// must get no new requests.
const drainGrace = 3 * time.Second

// Report is the result of a demonstration.
type Report struct {
	Site id.Site
	Seed uint64
	// Requests counts the attempts that started after the warm-up; the next four fields split them by result.
	Requests      int
	Answered      int
	RefusedNotRun int
	Unknown       int
	Failed        int
	// P50 and P99 are latencies of answered requests, in milliseconds.
	P50, P99 float64
	// Imbalance is the peak-to-mean ratio of the requests run by the backend servers of a service,
	// the maximum over all services.
	Imbalance float64
	// ImbalanceByService is that ratio for each service.
	ImbalanceByService map[id.Service]float64
	// Churn is the number of times that a slice changed owner, divided by the number of slices; keyed services only.
	Churn float64
	// Unavailable is the longest time for which a key was unavailable, in milliseconds.
	Unavailable float64
	// ControlBytesPerSecond is the control traffic of an entry VM, the mean over all of them.
	ControlBytesPerSecond float64
	// ControlByPurpose is that traffic by purpose.
	ControlByPurpose map[string]float64
	// Violations counts the violations of each guarantee; 0 if it held.
	Violations map[string]int
	// Reasons counts the attempts without an answer by the outcome and the reason that the caller received.
	Reasons map[string]int `json:",omitempty"`
	// Examples describes the first violations, at most 10.
	Examples []string `json:",omitempty"`
}

// observations is what is recorded during a demonstration: the slice tables written to the store,
// the configuration revisions of the entry VMs, and the effects of some faults.
type observations struct {
	mu sync.Mutex
	// keyed is true for the services that are sharded by key.
	keyed             map[id.Service]bool
	lastTables        map[id.Service]*table.Table
	lostAssignments   int
	revertedRevisions int
	revisions         map[string]id.Revision
	movedSlices       int
	// requestsAfterOut counts the requests that ran in a failure domain more than drainGrace after it was taken out.
	requestsAfterOut int
	// crashes counts the backend servers that a poison request has crashed.
	crashes    int
	sliceCount int
}

func newObservations(plan site.Plan) *observations {
	o := &observations{keyed: map[id.Service]bool{}, lastTables: map[id.Service]*table.Table{}, revisions: map[string]id.Revision{}}
	for _, s := range plan.Services {
		o.keyed[s.Name] = s.Keyed
	}
	return o
}

// recordWrite records an item that was written to the store; items other than slice tables are ignored.
func (o *observations) recordWrite(item store.Item) {
	if !strings.HasPrefix(item.Key, "hickorylug/table/") {
		return
	}
	t := &table.Table{}
	if json.Unmarshal(item.Value, t) != nil {
		return
	}
	keyed := o.keyed[t.Service]
	o.mu.Lock()
	defer o.mu.Unlock()
	previous, ok := o.lastTables[t.Service]
	if ok {
		o.lostAssignments += lostAssignments(previous, t)
		if keyed {
			o.movedSlices += int(planner.Churn(previous, t)*float64(len(t.Slices)) + 0.5)
		}
	} else if keyed {
		o.sliceCount += len(t.Slices)
	}
	o.lastTables[t.Service] = t
}

// lostAssignments counts the slices that had an owner and no longer have one, and adds one if the version did not increase.
func lostAssignments(before, after *table.Table) (n int) {
	if after.Version <= before.Version {
		n++
	}
	for i := range before.Slices {
		if i >= len(after.Slices) || before.Slices[i].Owner >= 0 && after.Slices[i].Owner < 0 {
			n++
		}
	}
	return n
}

// recordRevision records the configuration revision of a process; an older one after a newer one is a violation.
func (o *observations) recordRevision(process string, r id.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r < o.revisions[process] {
		o.revertedRevisions++
	}
	o.revisions[process] = max(o.revisions[process], r)
}

// newReport builds the report from the callers' attempts and the journal of the backend servers.
//
// Violations and churn count from the start of the deployment, the other figures from measuredFrom;
// Unavailable counts from the start, too.
func newReport(d *deployment, attempts []attempt, takenOutAt map[id.Domain]time.Time, measuredFrom time.Time) (r Report) {
	runs := d.journal.Runs()
	r = Report{Site: d.plan.Site, Violations: map[string]int{}, Reasons: map[string]int{}}
	addViolation := func(guarantee, example string) {
		r.Violations[guarantee]++
		if len(r.Examples) < 10 {
			r.Examples = append(r.Examples, guarantee+": "+example)
		}
	}
	for _, guarantee := range []string{"TwoOwners", "RanTwice", "FalseNotRun", "MixedAnswers", "ColdOverload", "WorkAfterLeave", "CutInFlight"} {
		r.Violations[guarantee] = 0
	}
	countOutcomes(&r, attempts, measuredFrom)
	checkAtMostOnce(runs, addViolation)
	checkExclusiveOwnership(runs, addViolation)
	checkAttempts(d, attempts, runs, addViolation)
	drainingSince := map[id.Server]time.Time{}
	for _, e := range d.journal.Events() {
		switch e.Kind {
		case backend.EventColdOverload:
			addViolation("ColdOverload", string(e.Server))
		case backend.EventDraining:
			drainingSince[e.Server] = e.At
		}
	}
	for _, run := range runs {
		if at, ok := drainingSince[run.Server]; ok && run.Start.Sub(at) > drainGrace {
			addViolation("WorkAfterLeave", string(run.Server))
		}
	}
	d.observations.mu.Lock()
	defer d.observations.mu.Unlock()
	if len(takenOutAt) > 0 {
		r.Violations["WorkAfterDomainOut"] = d.observations.requestsAfterOut
	}
	r.Violations["LostAssignments"] = d.observations.lostAssignments
	r.Violations["ConfigurationReverted"] = d.observations.revertedRevisions
	r.Churn = float64(d.observations.movedSlices) / float64(max(d.observations.sliceCount, 1))
	r.ImbalanceByService = imbalance(d, runs, measuredFrom)
	for _, v := range r.ImbalanceByService {
		r.Imbalance = max(r.Imbalance, v)
	}
	r.Unavailable = longestUnavailability(attempts)
	return r
}

// Range and precision of the latency histogram.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
)

// countOutcomes adds the outcomes and the latencies of the attempts that started after the warm-up.
func countOutcomes(r *Report, attempts []attempt, measuredFrom time.Time) {
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
	for _, a := range attempts {
		if a.Start.Before(measuredFrom) {
			continue
		}
		r.Requests++
		switch {
		case a.Answered:
			r.Answered++
			// Latencies outside the range of the histogram are clamped to it, so that RecordValue returns no error.
			_ = h.RecordValue(min(max(a.End.Sub(a.Start).Microseconds(), minLatencyMicros), maxLatencyMicros))
		case a.Outcome == outcome.KindNotRun:
			r.RefusedNotRun++
		case a.Outcome == outcome.KindUnknown:
			r.Unknown++
		default:
			r.Failed++
		}
		if !a.Answered {
			r.Reasons[a.Cause]++
		}
	}
	r.P50 = float64(h.ValueAtQuantile(50)) / 1000
	r.P99 = float64(h.ValueAtQuantile(99)) / 1000
}

// checkAtMostOnce reports requests that must run at most once and ran more often.
func checkAtMostOnce(runs []backend.Run, addViolation func(string, string)) {
	runCount := map[string]int{}
	for _, run := range runs {
		if run.Once {
			if runCount[run.Request]++; runCount[run.Request] == 2 {
				addViolation("RanTwice", run.Request+" at "+string(run.Server))
			}
		}
	}
}

// checkExclusiveOwnership reports keys whose requests ran at two backend servers at the same time, or at one
// server with an older fencing token after a run at another server with a newer one.
func checkExclusiveOwnership(runs []backend.Run, addViolation func(string, string)) {
	byKey := map[string][]backend.Run{}
	for _, run := range runs {
		if run.Key != "" {
			k := string(run.Service) + "/" + run.Key
			byKey[k] = append(byKey[k], run)
		}
	}
	for key, keyRuns := range byKey {
		slices.SortFunc(keyRuns, func(a, b backend.Run) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(keyRuns); i++ {
			previous, next := keyRuns[i-1], keyRuns[i]
			if previous.Server == next.Server {
				continue
			}
			overlap := previous.Done && (previous.End.IsZero() || previous.End.After(next.Start))
			if overlap || next.Fence.Version < previous.Fence.Version {
				addViolation("TwoOwners", key+" at "+string(previous.Server)+" and "+string(next.Server))
			}
		}
	}
}

// checkAttempts reports attempts that ran although the response said that they did not, responses to other
// requests, and connections that broke at an entry VM with a graceful shutdown.
func checkAttempts(d *deployment, attempts []attempt, runs []backend.Run, addViolation func(string, string)) {
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.Attempt] = true
	}
	stoppedGracefully := map[id.VM]bool{}
	for _, e := range d.entryVMs {
		stoppedGracefully[e.name] = e.gracefulStop.Load()
	}
	for _, a := range attempts {
		if a.Outcome == outcome.KindNotRun && ran[a.Attempt] {
			addViolation("FalseNotRun", a.Attempt+" "+a.Reason)
		}
		if a.WrongBody {
			addViolation("MixedAnswers", a.Attempt)
		}
		if a.ConnectionFailed && stoppedGracefully[a.VM] {
			addViolation("CutInFlight", a.Attempt+" "+a.Reason)
		}
	}
}

// imbalance returns, for each service, the peak-to-mean ratio of the requests run by its backend servers.
func imbalance(d *deployment, runs []backend.Run, measuredFrom time.Time) (out map[id.Service]float64) {
	out = map[id.Service]float64{}
	runCount := map[id.Service]map[id.Server]float64{}
	for _, s := range d.plan.Services {
		runCount[s.Name] = map[id.Server]float64{}
	}
	for _, run := range runs {
		if run.Start.After(measuredFrom) {
			runCount[run.Service][run.Server]++
		}
	}
	for _, s := range d.plan.Services {
		total, peak := 0.0, 0.0
		for _, n := range runCount[s.Name] {
			total += n
			peak = max(peak, n)
		}
		if total > 0 {
			out[s.Name] = peak * float64(s.Servers) / total
		}
	}
	return out
}

// promptLatency is the latency up to which an answered attempt means that its key is available.
const promptLatency = 100 * time.Millisecond

// longestUnavailability returns the longest time for which a key was unavailable, in milliseconds.
//
// That time runs from the start of the first attempt that was not answered within promptLatency to the end of
// the next answered attempt if its answer is slow, and otherwise to the end of the last attempt before it.
// Attempts that were rejected as duplicates do not count.
func longestUnavailability(attempts []attempt) float64 {
	byKey := map[string][]attempt{}
	for _, a := range attempts {
		if a.Key != "" && !strings.HasSuffix(a.Cause, string(outcome.DuplicateRejected)) {
			byKey[a.Key] = append(byKey[a.Key], a)
		}
	}
	longest := time.Duration(0)
	for _, keyAttempts := range byKey {
		slices.SortFunc(keyAttempts, func(a, b attempt) int { return cmp.Compare(a.End.UnixNano(), b.End.UnixNano()) })
		var unavailableFrom time.Time
		for _, a := range keyAttempts {
			slow := a.End.Sub(a.Start) > promptLatency
			if a.Answered && !slow {
				unavailableFrom = time.Time{}
				continue
			}
			if unavailableFrom.IsZero() {
				unavailableFrom = a.Start
			}
			longest = max(longest, a.End.Sub(unavailableFrom))
			if a.Answered {
				unavailableFrom = time.Time{}
			}
		}
	}
	return float64(longest.Microseconds()) / 1000
}

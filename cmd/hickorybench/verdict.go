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

// graceAfterOut is the time after which what is taken out or leaving gets no new work.
const graceAfterOut = 3 * time.Second

// Report is the result of a demonstration.
type Report struct {
	Site          id.Site
	Seed          uint64
	Requests      int
	Answered      int
	RefusedNotRun int
	Unknown       int
	Failed        int
	// P50 and P99 are latencies of answered requests, in milliseconds.
	P50, P99 float64
	// Imbalance is the peak over the mean of the work of the backend servers of a service, the worst of all services.
	Imbalance float64
	// ImbalanceByService is the same for each service.
	ImbalanceByService map[id.Service]float64
	// Churn is the share of slices of services divided by key that changed owner.
	Churn float64
	// Unavailable is the longest time that a key was without service, in milliseconds.
	Unavailable float64
	// ControlBytesPerSecond is the mean over the entry VMs.
	ControlBytesPerSecond float64
	// ControlByPurpose divides that by its purpose.
	ControlByPurpose map[string]float64
	Violations       map[string]int
	// Reasons counts the sendings without an answer by what the caller was told.
	Reasons map[string]int `json:",omitempty"`
	// Examples describes the first violations.
	Examples []string `json:",omitempty"`
}

// observed is what the store's stand-in has seen.
type observed struct {
	mu sync.Mutex
	// keyed holds the services that are divided by key.
	keyed     map[id.Service]bool
	last      map[id.Service]*table.Table
	lost      int
	reverted  int
	revisions map[string]id.Revision
	churn     int
	// late counts the runs in a failure domain that was out for longer than the grace.
	late int
	// deaths counts the backend servers that a poisonous request has crashed.
	deaths int
	slices int
}

func newObserved(plan site.Plan) *observed {
	o := &observed{keyed: map[id.Service]bool{}, last: map[id.Service]*table.Table{}, revisions: map[string]id.Revision{}}
	for _, s := range plan.Services {
		o.keyed[s.Name] = s.Keyed
	}
	return o
}

// wrote takes a write that the store has accepted.
func (o *observed) wrote(item store.Item) {
	if !strings.HasPrefix(item.Key, "hickorylug/table/") {
		return
	}
	t := &table.Table{}
	if json.Unmarshal(item.Value, t) != nil {
		return
	}
	counts := o.keyed[t.Service]
	o.mu.Lock()
	defer o.mu.Unlock()
	before, ok := o.last[t.Service]
	if ok {
		o.lost += lostAssignments(before, t)
		if counts {
			o.churn += int(planner.Churn(before, t)*float64(len(t.Slices)) + 0.5)
		}
	} else if counts {
		o.slices += len(t.Slices)
	}
	o.last[t.Service] = t
}

// lostAssignments counts what had an owner and has none, and a version that fell.
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

// revision notes the configuration's revision at a process; an older one after a newer one is a violation.
func (o *observed) revision(process string, r id.Revision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r < o.revisions[process] {
		o.reverted++
	}
	o.revisions[process] = max(o.revisions[process], r)
}

// judge makes the report from the callers' records and the backend servers' journal.
//
// Broken promises count from the start on, figures from warm on.
func judge(d *deployment, sendings []sending, outs map[id.Domain]time.Time, warm time.Time) (r Report) {
	runs := d.journal.Runs()
	r = Report{Site: d.plan.Site, Violations: map[string]int{}, Reasons: map[string]int{}}
	note := func(promise, example string) {
		r.Violations[promise]++
		if len(r.Examples) < 10 {
			r.Examples = append(r.Examples, promise+": "+example)
		}
	}
	for _, promise := range []string{"TwoOwners", "RanTwice", "FalseNotRun", "MixedAnswers", "ColdOverload", "WorkAfterLeave", "CutInFlight"} {
		r.Violations[promise] = 0
	}
	tally(&r, sendings, warm)
	judgeRuns(runs, note)
	judgeOwners(runs, note)
	judgeCallers(d, sendings, runs, note)
	drains := map[id.Server]time.Time{}
	for _, e := range d.journal.Events() {
		switch e.Kind {
		case backend.EventColdOverload:
			note("ColdOverload", string(e.Server))
		case backend.EventDraining:
			drains[e.Server] = e.At
		}
	}
	for _, run := range runs {
		if at, ok := drains[run.Server]; ok && run.Start.Sub(at) > graceAfterOut {
			note("WorkAfterLeave", string(run.Server))
		}
	}
	d.observed.mu.Lock()
	defer d.observed.mu.Unlock()
	if len(outs) > 0 {
		r.Violations["WorkAfterDomainOut"] = d.observed.late
	}
	r.Violations["LostAssignments"] = d.observed.lost
	r.Violations["ConfigurationReverted"] = d.observed.reverted
	r.Churn = float64(d.observed.churn) / float64(max(d.observed.slices, 1))
	r.ImbalanceByService = imbalance(d, runs, warm)
	for _, v := range r.ImbalanceByService {
		r.Imbalance = max(r.Imbalance, v)
	}
	r.Unavailable = unavailable(sendings)
	return r
}

// Range of the histogram of latencies, in microseconds.
const (
	minLatency = 1
	maxLatency = 60_000_000
	digits     = 3
)

func tally(r *Report, sendings []sending, warm time.Time) {
	h := hdrhistogram.New(minLatency, maxLatency, digits)
	for _, s := range sendings {
		if s.Start.Before(warm) {
			continue
		}
		r.Requests++
		switch {
		case s.Answered:
			r.Answered++
			// A latency beyond the range counts as the longest one.
			_ = h.RecordValue(min(max(s.End.Sub(s.Start).Microseconds(), minLatency), maxLatency))
		case s.Outcome == outcome.KindNotRun:
			r.RefusedNotRun++
		case s.Outcome == outcome.KindUnknown:
			r.Unknown++
		default:
			r.Failed++
		}
		if !s.Answered {
			r.Reasons[s.Cause]++
		}
	}
	r.P50 = float64(h.ValueAtQuantile(50)) / 1000
	r.P99 = float64(h.ValueAtQuantile(99)) / 1000
}

func judgeRuns(runs []backend.Run, note func(string, string)) {
	once := map[string]int{}
	for _, run := range runs {
		if run.Once {
			if once[run.Request]++; once[run.Request] == 2 {
				note("RanTwice", run.Request+" at "+string(run.Server))
			}
		}
	}
}

// judgeOwners looks for a key at two backend servers at once, or back at an older owner.
func judgeOwners(runs []backend.Run, note func(string, string)) {
	byKey := map[string][]backend.Run{}
	for _, run := range runs {
		if run.Key != "" {
			k := string(run.Service) + "/" + run.Key
			byKey[k] = append(byKey[k], run)
		}
	}
	for key, list := range byKey {
		slices.SortFunc(list, func(a, b backend.Run) int { return a.Start.Compare(b.Start) })
		for i := 1; i < len(list); i++ {
			before, after := list[i-1], list[i]
			if before.Server == after.Server {
				continue
			}
			overlap := before.Done && (before.End.IsZero() || before.End.After(after.Start))
			if overlap || after.Fence.Version < before.Fence.Version {
				note("TwoOwners", key+" at "+string(before.Server)+" and "+string(after.Server))
			}
		}
	}
}

func judgeCallers(d *deployment, sendings []sending, runs []backend.Run, note func(string, string)) {
	ran := map[string]bool{}
	for _, run := range runs {
		ran[run.Attempt] = true
	}
	planned := map[id.VM]bool{}
	for _, e := range d.entries {
		planned[e.name] = e.planned.Load()
	}
	for _, s := range sendings {
		if s.Outcome == outcome.KindNotRun && ran[s.Attempt] {
			note("FalseNotRun", s.Attempt+" "+s.Reason)
		}
		if s.WrongBody {
			note("MixedAnswers", s.Attempt)
		}
		if s.ConnectionFailed && planned[s.VM] {
			note("CutInFlight", s.Attempt+" "+s.Reason)
		}
	}
}

// imbalance returns the peak over the mean of the work of each service's backend servers.
func imbalance(d *deployment, runs []backend.Run, warm time.Time) (out map[id.Service]float64) {
	out = map[id.Service]float64{}
	work := map[id.Service]map[id.Server]float64{}
	for _, s := range d.plan.Services {
		work[s.Name] = map[id.Server]float64{}
	}
	for _, run := range runs {
		if run.Start.After(warm) {
			work[run.Service][run.Server]++
		}
	}
	for _, s := range d.plan.Services {
		total, peak := 0.0, 0.0
		for _, n := range work[s.Name] {
			total += n
			peak = max(peak, n)
		}
		if total > 0 {
			out[s.Name] = peak * float64(s.Servers) / total
		}
	}
	return out
}

// normalLatency is the time up to which a request counts as served at once.
const normalLatency = 100 * time.Millisecond

// unavailable returns the longest time that a key was without service, in milliseconds.
//
// It runs from the start of the first sending that was not answered at once to
// the end of the last such sending before the next prompt answer.
func unavailable(sendings []sending) float64 {
	byKey := map[string][]sending{}
	for _, s := range sendings {
		if s.Key != "" && !strings.HasSuffix(s.Cause, string(outcome.DuplicateRejected)) {
			byKey[s.Key] = append(byKey[s.Key], s)
		}
	}
	longest := time.Duration(0)
	for _, list := range byKey {
		slices.SortFunc(list, func(a, b sending) int { return cmp.Compare(a.End.UnixNano(), b.End.UnixNano()) })
		var since time.Time
		for _, s := range list {
			late := s.End.Sub(s.Start) > normalLatency
			if s.Answered && !late {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = s.Start
			}
			longest = max(longest, s.End.Sub(since))
			if s.Answered {
				since = time.Time{}
			}
		}
	}
	return float64(longest.Microseconds()) / 1000
}

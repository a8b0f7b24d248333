package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of a demonstration.
const (
	// readyTimeout bounds the time until every lease has a holder and every slice an owner.
	readyTimeout = 30 * time.Second
	// samplePeriod is the time between two reads of the configuration revision of each entry VM.
	samplePeriod = 100 * time.Millisecond
)

// errViolations means that at least one guarantee was violated; Report.Violations counts them by name.
var errViolations = errors.New("guarantees were violated; see the violations in the report")

// demoCommand runs a complete site in one process under load and faults, and checks its guarantees.
type demoCommand struct {
	Site  string        `help:"Site to deploy: noor or ardlarach." default:"noor" enum:"noor,ardlarach"`
	For   time.Duration `help:"Time for which requests are sent after the warm-up." default:"10s"`
	Seed  uint64        `help:"Random seed of the load and the faults." default:"1"`
	Rate  int           `help:"Requests per second." default:"600"`
	Fault []string      `help:"Faults to inject, in this order: ${faults}." default:"vm-loss,server-loss"`
	Work  time.Duration `help:"Mean service time of a request at a backend server." default:"5ms"`
	JSON  bool          `help:"Print the report as one JSON object; logs go to standard error." name:"json"`
	Warm  time.Duration `help:"Warm-up time before the measurement of latency, imbalance and control traffic." default:"4s"`
	Log   bool          `help:"Write the entry VMs' logs to standard error."`
}

// Run runs the demonstration and prints the report. It returns errViolations if a guarantee was violated.
func (c *demoCommand) Run() error {
	for _, name := range c.Fault {
		if _, ok := faults[name]; !ok && name != "none" {
			return errors.Newf("--fault: unknown fault %q; known faults: %s", name, strings.Join(faultNames(), ", "))
		}
	}
	if c.Rate < 1 || c.For < time.Second {
		return errors.New("--rate must be at least 1 and --for at least 1s")
	}
	plan, err := site.ByName(c.Site)
	if err != nil {
		return err
	}
	report, err := c.runExperiment(plan)
	if err != nil {
		return err
	}
	if err := c.printReport(os.Stdout, report); err != nil {
		return err
	}
	if violationCount(report) > 0 {
		return errViolations
	}
	return nil
}

func faultNames() []string { return slices.Sorted(maps.Keys(faults)) }

func violationCount(r Report) (n int) {
	for _, count := range r.Violations {
		n += count
	}
	return n
}

func (c *demoCommand) runExperiment(plan site.Plan) (r Report, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startedAt := time.Now()
	logProgress := func(format string, args ...any) {
		fmt.Fprintf(os.Stderr, "%6.1fs  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
	}
	log := io.Discard
	if c.Log {
		log = os.Stderr
	}
	logProgress("starting site %s: %d entry VMs in failure domains %v", plan.Site, plan.VMs, plan.Domains)
	d, err := newDeployment(ctx, plan, c.Work, log)
	if err != nil {
		return r, err
	}
	defer d.stop()
	readyCtx, cancelReady := context.WithTimeout(ctx, readyTimeout)
	defer cancelReady()
	if err := d.waitReady(readyCtx); err != nil {
		return r, err
	}
	logProgress("site is ready: every group has a lease holder and every slice an owner")
	x := &experiment{
		d: d, load: newLoadGenerator(d, c.Seed), rng: rand.New(rand.NewPCG(c.Seed, 2)),
		takenOutAt: map[id.Domain]time.Time{}, logProgress: logProgress,
	}
	return x.run(ctx, c)
}

// run warms the site up, then sends requests while it injects the faults one after another, and returns the report.
//
// Control traffic is measured without the warm-up.
func (x *experiment) run(ctx context.Context, c *demoCommand) (r Report, err error) {
	warmupCtx, cancelWarmup := context.WithTimeout(ctx, c.Warm)
	defer cancelWarmup()
	x.load.run(warmupCtx, c.Rate)
	loadCtx, cancelLoad := context.WithTimeout(ctx, c.For)
	defer cancelLoad()
	go x.sampleRevisions(loadCtx)
	before, measuredFrom := x.controlBytes(), time.Now()
	faultErr := make(chan error, 1)
	go func() { faultErr <- x.injectFaults(loadCtx, c.Fault, c.For) }()
	x.load.run(loadCtx, c.Rate)
	elapsed := time.Since(measuredFrom)
	if err := <-faultErr; err != nil {
		return r, err
	}
	r = newReport(x.d, x.load.allAttempts(), x.takenOutAt, measuredFrom)
	r.Seed = c.Seed
	after, vmSeconds := x.controlBytes(), elapsed.Seconds()*float64(len(x.d.entryVMs))
	r.ControlByPurpose = controlBytesPerSecond(before, after, vmSeconds)
	r.ControlBytesPerSecond = r.ControlByPurpose["Total"]
	for method, n := range after.ByCall {
		r.ControlByPurpose["Peers, "+method] = float64(n-before.ByCall[method]) / vmSeconds
	}
	return r, nil
}

// injectFaults injects the named faults in order, each after a pause.
//
// The pauses add up to a quarter of total, the duration of the load. It stops when ctx ends.
func (x *experiment) injectFaults(ctx context.Context, names []string, total time.Duration) error {
	for _, name := range names {
		sleepContext(ctx, total/time.Duration(4*max(len(names), 1)))
		if ctx.Err() != nil {
			return nil
		}
		if f, ok := faults[name]; ok {
			if err := f.inject(ctx, x); err != nil {
				return errors.Wrapf(err, "fault %s", name)
			}
		}
	}
	return nil
}

// sampleRevisions records the configuration revision of each ready entry VM until ctx ends.
//
// It also logs the number of attempts every 20 samples.
func (x *experiment) sampleRevisions(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		for _, e := range x.d.readyVMs() {
			s := e.vm.Status()
			x.d.observations.recordRevision(string(s.Incarnation), s.Revision)
		}
		if n%20 == 0 && n > 0 {
			x.logProgress("%d requests sent, retries included", x.load.attemptCount())
		}
		sleepContext(ctx, samplePeriod)
	}
}

// controlBytes returns the control traffic of all entry VMs so far, in bytes.
func (x *experiment) controlBytes() (sum hickorylug.ControlBytes) {
	sum.ByCall = map[string]int64{}
	for _, e := range x.d.entryVMs {
		c := e.vm.ControlBytes()
		sum.Datagrams += c.Datagrams
		sum.Grants += c.Grants
		sum.Store += c.Store
		sum.Peers += c.Peers
		for method, n := range c.ByCall {
			sum.ByCall[method] += n
		}
	}
	return sum
}

func (c *demoCommand) printReport(w io.Writer, r Report) error {
	if c.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range []struct {
		name  string
		value any
	}{
		{"Site", r.Site},
		{"Seed", r.Seed},
		{"Requests", r.Requests},
		{"Answered", r.Answered},
		{"Refused, not run", r.RefusedNotRun},
		{"Unknown", r.Unknown},
		{"Failed", r.Failed},
		{"Median latency", fmt.Sprintf("%.1f ms", r.P50)},
		{"99th percentile", fmt.Sprintf("%.1f ms", r.P99)},
		{"Imbalance", fmt.Sprintf("%.2f (peak-to-mean ratio)", r.Imbalance)},
		{"Churn", fmt.Sprintf("%.1f%% of slices", 100*r.Churn)},
		{"Longest unavailability", fmt.Sprintf("%.0f ms", r.Unavailable)},
		{"Control", fmt.Sprintf("%.0f B/s per entry VM", r.ControlBytesPerSecond)},
	} {
		fmt.Fprintf(t, "%s\t%v\n", row.name, row.value)
	}
	for _, purpose := range slices.Sorted(maps.Keys(r.ControlByPurpose)) {
		fmt.Fprintf(t, "Control, %s\t%.0f B/s\n", purpose, r.ControlByPurpose[purpose])
	}
	for _, service := range slices.Sorted(maps.Keys(r.ImbalanceByService)) {
		fmt.Fprintf(t, "Imbalance of %s\t%.2f\n", service, r.ImbalanceByService[service])
	}
	for _, guarantee := range slices.Sorted(maps.Keys(r.Violations)) {
		fmt.Fprintf(t, "Violations: %s\t%d\n", guarantee, r.Violations[guarantee])
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(t, "Unanswered, %s\t%d\n", reason, r.Reasons[reason])
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, example := range r.Examples {
		fmt.Fprintln(w, "  "+example)
	}
	return nil
}

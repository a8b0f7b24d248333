package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/standin/site"
	"github.com/hickorylug/hickorylug/state/id"
)

// fleetCommand measures the control-plane overhead of an idle fleet, for the growth rates in docs/CAPACITY.md.
type fleetCommand struct {
	VMs      []int         `help:"Fleet sizes to measure, in entry VMs." default:"6,12,24" name:"vms"`
	Domains  int           `help:"Number of failure domains." default:"3"`
	Services int           `help:"Number of services, half of them sharded by key; each has a group in each failure domain." default:"4"`
	Servers  int           `help:"Number of backend servers in each group." default:"2"`
	Slices   int           `help:"Number of slices of each service." default:"1024"`
	Scale    bool          `help:"Scale the number of services with the number of entry VMs, so that the leases per VM stay constant."`
	Settle   time.Duration `help:"Settling time before the measurement." default:"12s"`
	For      time.Duration `help:"Duration of the measurement." default:"10s"`
	Log      bool          `help:"Write the entry VMs' logs to standard error."`
	JSON     bool          `help:"Print a JSON object for each fleet size." name:"json"`
}

// FleetReport is the control-plane overhead of one entry VM in an idle fleet.
type FleetReport struct {
	VMs    int
	Leases int
	Slices int
	// BytesPerSecond is the control traffic by purpose; the key "Total" is the sum.
	BytesPerSecond map[string]float64
	// CorePercent is the CPU time used, in percent of one core.
	CorePercent float64
	// HeapBytes is the heap and stack memory in use after a garbage collection; it includes the stand-ins.
	HeapBytes float64
	// StoreReadsPerSecond, watches included, and StoreWritesPerSecond are totals of the whole fleet.
	StoreReadsPerSecond  float64
	StoreWritesPerSecond float64
	// InForceMedian and InForceWorst are the median and the maximum time from an accepted configuration change
	// until it is in force at all entry VMs, in milliseconds.
	InForceMedian float64
	InForceWorst  float64
	// InForceStuck is the maximum of that time while watches of the store report no changes, in milliseconds.
	InForceStuck float64
}

// timedChanges is the number of configuration changes whose propagation is measured.
const timedChanges = 5

// propagationTimes makes configuration changes one after another and returns the times until
// each is in force at all entry VMs, in ascending order.
func (d *deployment) propagationTimes(ctx context.Context) (times []time.Duration, err error) {
	for n := range timedChanges {
		if err := d.applyConfig(ctx, fmt.Sprintf("timed-%d", n)); err != nil {
			return nil, err
		}
		writtenAt, revision := time.Now(), d.platform.Item(directory.KeyConfiguration).Revision
		for _, e := range d.entryVMs {
			for e.vm.Revision() < revision {
				if time.Since(writtenAt) > readyTimeout {
					return nil, errors.Newf("VM %s did not apply revision %d in time", e.name, revision)
				}
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(writtenAt))
	}
	slices.Sort(times)
	return times, nil
}

// addPropagationTimes measures the propagation of configuration changes, with working and then with
// stalled watches of the store, and adds the times to the report.
func (r *FleetReport) addPropagationTimes(ctx context.Context, d *deployment) error {
	times, err := d.propagationTimes(ctx)
	if err != nil {
		return err
	}
	r.InForceMedian, r.InForceWorst = milliseconds(times[timedChanges/2]), milliseconds(times[timedChanges-1])
	d.platform.SetFaults(platform.Faults{StalledWatches: true})
	defer d.platform.SetFaults(platform.Faults{})
	if times, err = d.propagationTimes(ctx); err != nil {
		return err
	}
	r.InForceStuck = milliseconds(times[timedChanges-1])
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Run measures the given fleet sizes one after another and prints a report for each.
func (c *fleetCommand) Run() error {
	for _, n := range c.VMs {
		if n < 1 || c.Domains < 1 || c.Services < 1 {
			return errors.New("--vms, --domains and --services must be at least 1")
		}
		r, err := c.measure(n)
		if err != nil {
			return err
		}
		if err := c.printReport(r); err != nil {
			return err
		}
	}
	return nil
}

// plan returns a synthetic site with the given number of entry VMs.
func (c *fleetCommand) plan(vms int) site.Plan {
	p := site.Plan{Site: "fleet", VMs: vms, Connections: 55}
	for d := range c.Domains {
		p.Domains = append(p.Domains, id.Domain(fmt.Sprintf("d%d", d)))
	}
	services := c.Services
	if c.Scale {
		services = max(1, c.Services*vms/c.VMs[0])
	}
	for s := range services {
		p.Services = append(p.Services, site.Service{
			Name: id.Service(fmt.Sprintf("s%d", s)), Servers: c.Servers * c.Domains, Keyed: s%2 == 0, Fenced: true, Slices: c.Slices,
		})
	}
	return p
}

func (c *fleetCommand) measure(vms int) (r FleetReport, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	plan := c.plan(vms)
	log := io.Discard
	if c.Log {
		log = os.Stderr
	}
	d, err := newDeployment(ctx, plan, time.Millisecond, log)
	if err != nil {
		return r, err
	}
	defer d.stop()
	readyCtx, cancelReady := context.WithTimeout(ctx, 2*readyTimeout)
	defer cancelReady()
	if err := d.waitReady(readyCtx); err != nil {
		return r, err
	}
	sleepContext(ctx, c.Settle)
	x := &experiment{d: d}
	runtime.GC()
	bytesBefore, cpuBefore, callsBefore, startedAt := x.controlBytes(), cpuTime(), d.platform.Counts(), time.Now()
	sleepContext(ctx, c.For)
	bytesAfter, cpuUsed, elapsed := x.controlBytes(), cpuTime()-cpuBefore, time.Since(startedAt)
	callsAfter := d.platform.Counts()
	vmSeconds := elapsed.Seconds() * float64(vms)
	r = FleetReport{
		VMs: vms, Leases: len(plan.Services)*c.Domains + 1, Slices: c.Slices * len(plan.Services),
		BytesPerSecond:       controlBytesPerSecond(bytesBefore, bytesAfter, vmSeconds),
		CorePercent:          100 * cpuUsed.Seconds() / vmSeconds,
		StoreReadsPerSecond:  float64(callsAfter.Reads+callsAfter.Watches-callsBefore.Reads-callsBefore.Watches) / elapsed.Seconds(),
		StoreWritesPerSecond: float64(callsAfter.Writes-callsBefore.Writes) / elapsed.Seconds(),
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.HeapBytes = float64(memory.HeapAlloc+memory.StackInuse) / float64(vms)
	return r, r.addPropagationTimes(ctx, d)
}

// controlBytesPerSecond returns the control traffic by purpose, in bytes per second and entry VM.
//
// vmSeconds is the measured time multiplied by the number of entry VMs.
func controlBytesPerSecond(before, after hickorylug.ControlBytes, vmSeconds float64) map[string]float64 {
	out := map[string]float64{
		"Datagrams": float64(after.Datagrams-before.Datagrams) / vmSeconds,
		"Grants":    float64(after.Grants-before.Grants) / vmSeconds,
		"Store":     float64(after.Store-before.Store) / vmSeconds,
		"Peers":     float64(after.Peers-before.Peers) / vmSeconds,
	}
	out["Total"] = out["Datagrams"] + out["Grants"] + out["Store"] + out["Peers"]
	return out
}

// cpuTime returns the user and system CPU time of this process so far, or 0 if it is unknown.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (c *fleetCommand) printReport(r FleetReport) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "VMs %d\tleases %d\tslices %d\tcore %.2f %%\theap %.1f MB\tstore %.1f reads/s, %.2f writes/s\n",
		r.VMs, r.Leases, r.Slices, r.CorePercent, r.HeapBytes/1e6, r.StoreReadsPerSecond, r.StoreWritesPerSecond)
	for _, purpose := range slices.Sorted(maps.Keys(r.BytesPerSecond)) {
		fmt.Fprintf(t, "\t%s\t%.0f B/s\n", purpose, r.BytesPerSecond[purpose])
	}
	fmt.Fprintf(t, "\tChange in force\tmedian %.0f ms\tworst %.0f ms\twith stalled watches %.0f ms\n", r.InForceMedian, r.InForceWorst, r.InForceStuck)
	return t.Flush()
}

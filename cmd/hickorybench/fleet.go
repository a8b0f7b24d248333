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

// fleetCommand measures what an idle fleet spends on control, for the slopes of docs/CAPACITY.md.
type fleetCommand struct {
	VMs      []int         `help:"Numbers of entry VMs to measure." default:"6,12,24" name:"vms"`
	Domains  int           `help:"Failure domains." default:"3"`
	Services int           `help:"Services, half of them divided by key; each has a group in each failure domain." default:"4"`
	Servers  int           `help:"Backend servers of each group." default:"2"`
	Slices   int           `help:"Slices of each service." default:"1024"`
	Scale    bool          `help:"Let services grow with the entry VMs, so that each holds as many leases."`
	Settle   time.Duration `help:"Time before the measurement." default:"12s"`
	For      time.Duration `help:"Time of the measurement." default:"10s"`
	Log      bool          `help:"Write the entry VMs' logs to standard error."`
	JSON     bool          `help:"Print a JSON object for each number." name:"json"`
}

// FleetReport is what one entry VM of an idle fleet spends on control.
type FleetReport struct {
	VMs    int
	Leases int
	Slices int
	// BytesPerSecond divides the bytes by their purpose.
	BytesPerSecond map[string]float64
	// CorePercent is the share of a core.
	CorePercent float64
	// HeapBytes is the live memory, the stand-ins' included.
	HeapBytes float64
	// StoreReadsPerSecond and StoreWritesPerSecond are the whole fleet's.
	StoreReadsPerSecond  float64
	StoreWritesPerSecond float64
	// InForce are the median and the worst time until an accepted change is in force at all entry VMs, in milliseconds.
	InForceMedian float64
	InForceWorst  float64
	// InForceStuck is the worst such time while no watch of the store returns, in milliseconds.
	InForceStuck float64
}

// changes is the number of configuration changes that are timed.
const changes = 5

// inForce returns the times until accepted changes are in force at all entry VMs, in order.
func (d *deployment) inForce(ctx context.Context) (times []time.Duration, err error) {
	for n := range changes {
		if err := d.accept(ctx, fmt.Sprintf("timed-%d", n)); err != nil {
			return nil, err
		}
		acceptedAt, wanted := time.Now(), d.platform.Item(directory.KeyConfiguration).Revision
		for _, e := range d.entries {
			for e.vm.Revision() < wanted {
				if time.Since(acceptedAt) > readyTime {
					return nil, errors.Newf("VM %s did not take revision %d", e.name, wanted)
				}
				time.Sleep(time.Millisecond)
			}
		}
		times = append(times, time.Since(acceptedAt))
	}
	slices.Sort(times)
	return times, nil
}

// timeChanges adds the times of configuration changes to a report.
func (r *FleetReport) timeChanges(ctx context.Context, d *deployment) error {
	times, err := d.inForce(ctx)
	if err != nil {
		return err
	}
	r.InForceMedian, r.InForceWorst = milliseconds(times[changes/2]), milliseconds(times[changes-1])
	d.platform.SetFaults(platform.Faults{StalledWatches: true})
	defer d.platform.SetFaults(platform.Faults{})
	if times, err = d.inForce(ctx); err != nil {
		return err
	}
	r.InForceStuck = milliseconds(times[changes-1])
	return nil
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Run measures one number of entry VMs after another.
func (c *fleetCommand) Run() error {
	for _, n := range c.VMs {
		if n < 1 || c.Domains < 1 || c.Services < 1 {
			return errors.New("--vms, --domains and --services must be at least 1")
		}
		r, err := c.measure(n)
		if err != nil {
			return err
		}
		if err := c.print(r); err != nil {
			return err
		}
	}
	return nil
}

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
	readying, stop := context.WithTimeout(ctx, 2*readyTime)
	defer stop()
	if err := d.ready(readying); err != nil {
		return r, err
	}
	pause(ctx, c.Settle)
	x := &experiment{d: d}
	runtime.GC()
	before, cpu, counts, since := x.controlBytes(), cpuTime(), d.platform.Counts(), time.Now()
	pause(ctx, c.For)
	after, used, elapsed := x.controlBytes(), cpuTime()-cpu, time.Since(since)
	calls := d.platform.Counts()
	nodeSeconds := elapsed.Seconds() * float64(vms)
	r = FleetReport{
		VMs: vms, Leases: len(plan.Services)*c.Domains + 1, Slices: c.Slices * len(plan.Services),
		BytesPerSecond:       perSecond(before, after, nodeSeconds),
		CorePercent:          100 * used.Seconds() / nodeSeconds,
		StoreReadsPerSecond:  float64(calls.Reads+calls.Watches-counts.Reads-counts.Watches) / elapsed.Seconds(),
		StoreWritesPerSecond: float64(calls.Writes-counts.Writes) / elapsed.Seconds(),
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r.HeapBytes = float64(memory.HeapAlloc+memory.StackInuse) / float64(vms)
	return r, r.timeChanges(ctx, d)
}

// perSecond returns the bytes by purpose, for each second and entry VM.
func perSecond(before, after hickorylug.ControlBytes, nodeSeconds float64) map[string]float64 {
	out := map[string]float64{
		"Datagrams": float64(after.Datagrams-before.Datagrams) / nodeSeconds,
		"Grants":    float64(after.Grants-before.Grants) / nodeSeconds,
		"Store":     float64(after.Store-before.Store) / nodeSeconds,
		"Peers":     float64(after.Peers-before.Peers) / nodeSeconds,
	}
	out["Total"] = out["Datagrams"] + out["Grants"] + out["Store"] + out["Peers"]
	return out
}

// cpuTime returns the processor time of this process so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func (c *fleetCommand) print(r FleetReport) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(r)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "VMs %d\tleases %d\tslices %d\tcore %.2f %%\theap %.1f MB\tstore %.1f reads/s, %.2f writes/s\n",
		r.VMs, r.Leases, r.Slices, r.CorePercent, r.HeapBytes/1e6, r.StoreReadsPerSecond, r.StoreWritesPerSecond)
	for _, purpose := range slices.Sorted(maps.Keys(r.BytesPerSecond)) {
		fmt.Fprintf(t, "\t%s\t%.0f B/s\n", purpose, r.BytesPerSecond[purpose])
	}
	fmt.Fprintf(t, "\tChange in force\tmedian %.0f ms\tworst %.0f ms\twith stuck watches %.0f ms\n", r.InForceMedian, r.InForceWorst, r.InForceStuck)
	return t.Flush()
}

package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/reach"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// manualClock is a clock that stands still until it is advanced.
type manualClock struct {
	clock.System
	now clock.Instant
}

func (c *manualClock) Boot() clock.Instant { return c.now }

func ignore() {}

// Work that runs on connections which live on must not be given up.
func TestHangingRequestsAreAbandoned(t *testing.T) {
	tests := map[string]struct {
		waited   time.Duration
		answered bool
		reached  int
		want     int
	}{
		"silent connections":   {waited: time.Second, want: 2},
		"not silent for long":  {waited: 500 * time.Millisecond},
		"connections live on":  {waited: time.Second, answered: true},
		"the VM isn't cut off": {waited: time.Second, reached: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &manualClock{now: clock.Instant(time.Hour)}
			d := reach.NewDetector(reach.WithClock(c))
			abandoned := 0
			d.Begin("a", func() { abandoned++ })
			d.Begin("b", func() { abandoned++ })
			other := d.Begin("c", ignore)
			c.now = c.now.Add(test.waited)
			if test.answered {
				d.End(other, true)
			}
			d.RecordProbes(test.reached, 4)
			is.Equal(abandoned, test.want)
		})
	}
}

// Probes whose time ran out while this VM had no processor say nothing: sound requests must not be given up, nor the links be taken for cut.
func TestLateProbesSayNothing(t *testing.T) {
	tests := map[string]struct {
		// cutOff says that the VM is cut off before, and took is the time of the probes.
		cutOff  bool
		took    time.Duration
		reached int
		want    bool
		// abandoned is the number of requests that are given up, and again says that probes are made again at once.
		abandoned int
		again     bool
	}{
		"in time, none reached":              {took: reach.ProbeTimeout, want: true, abandoned: 2, again: true},
		"in time, one reached":               {took: reach.ProbeTimeout, reached: 1},
		"late, none reached":                 {took: reach.ProbeTimeout + 100*time.Millisecond, again: true},
		"late, one reached":                  {took: reach.ProbeTimeout + 100*time.Millisecond, reached: 1},
		"cut off, in time, none reached":     {cutOff: true, took: reach.ProbeTimeout, want: true, abandoned: 2, again: true},
		"cut off, late, none reached":        {cutOff: true, took: reach.ProbeTimeout + 100*time.Millisecond, want: true, again: true},
		"cut off, late, all but one reached": {cutOff: true, took: reach.ProbeTimeout + 100*time.Millisecond, reached: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &manualClock{now: clock.Instant(time.Hour)}
			d := reach.NewDetector(reach.WithClock(c))
			if test.cutOff {
				d.RecordProbes(0, reach.ProbeCount)
			}
			abandoned := 0
			d.Begin("a", func() { abandoned++ })
			d.Begin("b", func() { abandoned++ })
			c.now = c.now.Add(time.Second)
			is.True(d.NeedsProbe())
			c.now = c.now.Add(test.took)
			is.Equal(d.RecordProbes(test.reached, reach.ProbeCount), test.want != test.cutOff)
			is.Equal(d.IsCutOff(), test.want)
			is.Equal(abandoned, test.abandoned)
			is.Equal(d.NeedsProbe(), test.again)
		})
	}
}

func TestDetector(t *testing.T) {
	fail := func(d *reach.Detector, names ...id.Server) {
		for _, n := range names {
			d.RecordDial(n, false)
		}
	}
	tests := map[string]struct {
		play   func(c *manualClock, d *reach.Detector)
		probe  bool
		cutOff bool
	}{
		"nothing happened":            {play: func(*manualClock, *reach.Detector) {}},
		"one backend server fails":    {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "a", "a") }},
		"two backend servers fail":    {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "b") }, probe: true},
		"another one is reached":      {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "b"); d.RecordDial("c", true) }},
		"failures that are long past": {play: func(c *manualClock, d *reach.Detector) { fail(d, "a", "b"); c.now = c.now.Add(3 * time.Second) }},
		"silence": {play: func(c *manualClock, d *reach.Detector) {
			d.Begin("a", ignore)
			d.Begin("b", ignore)
			c.now = c.now.Add(time.Second)
		}, probe: true},
		"silence of one backend server": {play: func(c *manualClock, d *reach.Detector) {
			d.Begin("a", ignore)
			d.Begin("a", ignore)
			c.now = c.now.Add(time.Second)
		}},
		"an answer during the silence": {play: func(c *manualClock, d *reach.Detector) {
			d.Begin("a", ignore)
			d.Begin("b", ignore)
			c.now = c.now.Add(time.Second)
			d.End(d.Begin("c", ignore), true)
		}},
		"a broken connection during the silence": {play: func(c *manualClock, d *reach.Detector) {
			d.Begin("a", ignore)
			d.Begin("b", ignore)
			c.now = c.now.Add(time.Second)
			d.End(d.Begin("c", ignore), false)
		}, probe: true},
		"no probe succeeds":             {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "b"); d.RecordProbes(0, 4) }, probe: true, cutOff: true},
		"one probe succeeds":            {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "b"); d.RecordProbes(1, 4) }},
		"only one server can be probed": {play: func(_ *manualClock, d *reach.Detector) { fail(d, "a", "b"); d.RecordProbes(0, 1) }, probe: true},
		"one of four is reached again":  {play: func(_ *manualClock, d *reach.Detector) { d.RecordProbes(0, 4); d.RecordProbes(1, 4) }, probe: true, cutOff: true},
		"the last one is reached again": {play: func(_ *manualClock, d *reach.Detector) { d.RecordProbes(0, 4); d.RecordProbes(1, 1) }},
		"two of four are reached again": {play: func(_ *manualClock, d *reach.Detector) { d.RecordProbes(0, 4); d.RecordProbes(2, 4) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &manualClock{now: clock.Instant(time.Hour)}
			d := reach.NewDetector(reach.WithClock(c))
			test.play(c, d)
			is.Equal(d.IsCutOff(), test.cutOff)
			is.Equal(d.NeedsProbe(), test.probe)
			is.Equal(d.NeedsProbe(), false) // probes are made once
		})
	}
}

func TestProbesAreRepeatedWhileCutOff(t *testing.T) {
	is := is.New(t)
	c := &manualClock{now: clock.Instant(time.Hour)}
	d := reach.NewDetector(reach.WithClock(c))
	is.True(d.RecordProbes(0, 4))
	is.True(d.NeedsProbe())
	c.now = c.now.Add(300 * time.Millisecond)
	is.True(d.NeedsProbe())
	is.True(!d.RecordProbes(0, 4))
	is.True(d.RecordProbes(4, 4))
	c.now = c.now.Add(time.Minute)
	is.True(!d.NeedsProbe())
}

func TestSampleCoversFailureDomains(t *testing.T) {
	var servers []fleet.Server
	for i := range 30 {
		domain := id.Domain("east")
		if i%10 == 0 {
			domain = id.Domain(fmt.Sprint("west", i))
		}
		servers = append(servers, fleet.Server{Domain: domain, Incarnation: fleet.Incarnation{Server: id.Server(fmt.Sprint(i))}})
	}
	tests := map[string]struct{ of, n, want, domains int }{
		"four of thirty":      {of: 30, n: 4, want: 4, domains: 4},
		"six of thirty":       {of: 30, n: 6, want: 6, domains: 4},
		"more than there are": {of: 3, n: 4, want: 3, domains: 2},
		"there are none":      {of: 0, n: 4, want: 0, domains: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			domains, names := map[id.Domain]bool{}, map[id.Server]bool{}
			for _, s := range reach.Sample(servers[:test.of], test.n, func(n int) int { return n / 2 }) {
				domains[s.Domain], names[s.Server] = true, true
			}
			is.Equal(len(names), test.want)
			is.Equal(len(domains), test.domains)
		})
	}
}

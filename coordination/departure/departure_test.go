package departure_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/departure"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

const (
	drainTime = 2500 * time.Millisecond
	start     = clock.Instant(time.Hour)
)

func incarnation(born fleet.StartTime) fleet.Incarnation {
	return fleet.Incarnation{Server: "s", Born: born}
}

// snapshot returns a snapshot with the given incarnations of the backend server, or without it.
func snapshot(servers ...fleet.Server) *fleet.Snapshot {
	out := map[id.Server]fleet.Server{}
	for _, s := range servers {
		out[s.Server] = s
	}
	return &fleet.Snapshot{Servers: out, ByService: fleet.ByService(out)}
}

func server(born fleet.StartTime) fleet.Server {
	return fleet.Server{Incarnation: incarnation(born), Service: "plans", Domain: "east"}
}

// A leaving backend server must get no new requests, and another incarnation of it must not be taken for leaving.
func TestLeavingServersDrain(t *testing.T) {
	drains := func(born fleet.StartTime) fleet.Server {
		s := server(born)
		s.Draining = true
		return s
	}
	tests := map[string]struct {
		observe    func(r *departure.Records)
		registered fleet.Server
		usable     bool
		// keyedFor is how long after the start requests for its keys are sent.
		keyedFor time.Duration
	}{
		"nothing is known":               {observe: func(*departure.Records) {}, registered: server(1), usable: true},
		"this VM has read a response":    {observe: func(r *departure.Records) { r.Observe(start, incarnation(1)) }, registered: server(1), keyedFor: time.Second},
		"another VM has":                 {observe: func(r *departure.Records) { share(r, 1, 300*time.Millisecond) }, registered: server(1), keyedFor: 700 * time.Millisecond},
		"another VM has, long ago":       {observe: func(r *departure.Records) { share(r, 1, time.Hour) }, registered: server(1)},
		"first another VM, then this":    {observe: func(r *departure.Records) { share(r, 1, 300*time.Millisecond); r.Observe(start, incarnation(1)) }, registered: server(1), keyedFor: 700 * time.Millisecond},
		"first this VM, then another":    {observe: func(r *departure.Records) { r.Observe(start, incarnation(1)); share(r, 1, 300*time.Millisecond) }, registered: server(1), keyedFor: 700 * time.Millisecond},
		"a later incarnation":            {observe: func(r *departure.Records) { r.Observe(start, incarnation(1)) }, registered: server(2), usable: true},
		"an earlier incarnation":         {observe: func(r *departure.Records) { r.Observe(start, incarnation(2)) }, registered: server(1), usable: true},
		"its registration says so, too":  {observe: func(r *departure.Records) { r.Observe(start, incarnation(1)) }, registered: drains(1)},
		"a message with an age below 0":  {observe: func(r *departure.Records) { share(r, 1, -1) }, registered: server(1), usable: true},
		"a message with an age of years": {observe: func(r *departure.Records) { share(r, 1, 1<<62) }, registered: server(1), usable: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := departure.NewRecords(drainTime)
			test.observe(r)
			s := r.Apply(start, snapshot(test.registered))
			got := s.Servers["s"]
			is.Equal(s.Usable(got), test.usable)
			for at := time.Duration(0); at < 2*drainTime && !test.usable; at += 100 * time.Millisecond {
				is.Equal(s.UsableForKeys(start.Add(at), got), at < test.keyedFor)
			}
			got.Domain = "west"
			s.Evacuated = map[id.Domain]bool{"west": true}
			is.True(!s.UsableForKeys(start, got)) // A failure domain that is taken out gets no requests for keys either.
		})
	}
}

func share(r *departure.Records, born fleet.StartTime, age time.Duration) {
	r.ObserveShared(start, []departure.News{{Incarnation: incarnation(born), Age: age}})
}

// A record must outlast a registration that an older copy of the store lacks for a moment, and must end some time after the backend server.
func TestRecordsEnd(t *testing.T) {
	tests := map[string]struct {
		// gone is how long the incarnation isn't registered before it is again.
		gone    time.Duration
		leaving bool
	}{
		"registered all the time":     {leaving: true},
		"not registered for a moment": {gone: 10 * time.Second, leaving: true},
		"not registered for long":     {gone: 2 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := departure.NewRecords(drainTime)
			r.Observe(start, incarnation(1))
			now := start.Add(10 * time.Minute)
			r.Apply(start, snapshot(server(1)))
			if test.gone > 0 {
				r.Apply(now, snapshot())
				now = now.Add(test.gone)
				r.Apply(now, snapshot())
			}
			is.Equal(!r.Apply(now, snapshot(server(1))).Usable(r.Apply(now, snapshot(server(1))).Servers["s"]), test.leaving)
			is.Equal(r.IsLeaving(incarnation(1)), test.leaving)
		})
	}
}

// Messages with more and more incarnations must not use up the memory, nor keep a VM from recording what it sees itself.
func TestRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	r := departure.NewRecords(drainTime)
	for born := range fleet.StartTime(20000) {
		share(r, born, 0)
	}
	most := r.Len()
	is.True(most <= 5000)
	is.True(r.Observe(start, incarnation(30000)))
	is.True(r.IsLeaving(incarnation(30000)))
	is.Equal(r.Len(), most)
	r.Apply(start.Add(25*time.Hour), snapshot(server(30000)))
	is.Equal(r.Len(), 0)
}

// Datagrams get lost, so that one announcement isn't enough; each one goes to all VMs, so that they must end.
func TestAnnouncements(t *testing.T) {
	is := is.New(t)
	r := departure.NewRecords(drainTime)
	is.True(r.Observe(start, incarnation(1)))
	is.True(!r.Observe(start.Add(time.Second), incarnation(1)))
	var ages []time.Duration
	for at := time.Duration(0); at < time.Minute; at += 50 * time.Millisecond {
		for _, n := range r.TakeNews(start.Add(at)) {
			is.Equal(n.Incarnation, incarnation(1))
			ages = append(ages, n.Age)
		}
	}
	is.Equal(ages, []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond})
	told := departure.NewRecords(drainTime)
	share(told, 1, 0)
	told.Observe(start, incarnation(1))
	is.Equal(len(told.TakeNews(start)), 0) // The first VM repeats it.
}

// departureFleet plays VMs that send requests to one backend server, which leaves.
type departureFleet struct {
	vms []*departure.Records
	// forwardedAt is when each VM first read a response that announces the departure, and toldAt when it first knew of it.
	forwardedAt, toldAt []clock.Instant
	lossShare           float64
	isCutOff            func(vm int) bool
	random              *rand.Rand
}

// send plays one request of a VM and reports whether it reaches the backend server.
func (f *departureFleet) send(now clock.Instant, vm int, leaves, keyed bool, delay time.Duration) (at clock.Instant, sent bool) {
	r := f.vms[vm]
	s := r.Apply(now, snapshot(server(1)))
	owner := s.Servers["s"]
	usable := s.Usable(owner)
	if keyed {
		usable = s.UsableForKeys(now, owner)
	}
	if !usable {
		return 0, false
	}
	if at = now.Add(delay); !r.AllowsAttempt(at, incarnation(1)) {
		return 0, false
	}
	if leaves && f.forwardedAt[vm] == 0 {
		f.forwardedAt[vm] = at
	}
	if leaves {
		r.Observe(at, incarnation(1))
	}
	return at, true
}

// gossip sends what is due for announcement to the VMs that are reached.
func (f *departureFleet) gossip(now clock.Instant) {
	for i, from := range f.vms {
		news := from.TakeNews(now)
		for j, to := range f.vms {
			if i != j && len(news) > 0 && !f.isCutOff(i) && !f.isCutOff(j) && f.random.Float64() >= f.lossShare {
				to.ObserveShared(now, news)
			}
		}
	}
	for i, r := range f.vms {
		if f.toldAt[i] == 0 && r.IsLeaving(incarnation(1)) {
			f.toldAt[i] = now
		}
	}
}

// play plays requests until some time after the backend server has begun to leave. It returns when each VM sent the last one, and how many
// for its keys were sent after the VM knew that it leaves.
func (f *departureFleet) play(leavesAt clock.Instant) (last []clock.Instant, keyed int) {
	last = make([]clock.Instant, len(f.vms))
	for now := start; now < leavesAt.Add(10*time.Second); now = now.Add(10 * time.Millisecond) {
		for range 4 {
			vm, isKeyed := f.random.IntN(len(f.vms)), f.random.IntN(2) == 0
			// The first VM has most of the requests, and some are delayed between the choice and the sending.
			if f.random.IntN(2) == 0 {
				vm = 0
			}
			delay := time.Duration(f.random.ExpFloat64() * float64(300*time.Millisecond))
			at, sent := f.send(now, vm, now >= leavesAt, isKeyed, delay)
			if sent {
				last[vm] = max(last[vm], at)
			}
			if sent && isKeyed && f.forwardedAt[vm] > 0 && now > f.forwardedAt[vm] {
				keyed++
			}
		}
		f.gossip(now)
	}
	return last, keyed
}

// No request may reach a leaving backend server later than the drain time after its VM has forwarded a response of it, whether or not the
// VM hears of the others. VMs that are in contact must stop although they have no response of it.
func TestNoRequestAfterTheDrainTime(t *testing.T) {
	const vms = 20
	tests := map[string]struct {
		loss     float64
		isCutOff func(vm int) bool
	}{
		"all in contact":           {isCutOff: func(int) bool { return false }},
		"two of three are lost":    {loss: 0.67, isCutOff: func(int) bool { return false }},
		"one VM is cut off":        {isCutOff: func(vm int) bool { return vm == 0 }},
		"all VMs are cut off":      {isCutOff: func(int) bool { return true }},
		"half of them are cut off": {loss: 0.3, isCutOff: func(vm int) bool { return vm%2 == 0 }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &departureFleet{forwardedAt: make([]clock.Instant, vms), toldAt: make([]clock.Instant, vms), lossShare: test.loss, isCutOff: test.isCutOff, random: rand.New(rand.NewPCG(1, 2))}
			for range vms {
				f.vms = append(f.vms, departure.NewRecords(drainTime))
			}
			leavesAt := start.Add(time.Second)
			last, keyed := f.play(leavesAt)
			for vm := range vms {
				if f.forwardedAt[vm] > 0 && last[vm] > f.forwardedAt[vm].Add(drainTime) {
					t.Errorf("VM %d sent a request %s after it had forwarded the first response", vm, last[vm].Sub(f.forwardedAt[vm]))
				}
				if !test.isCutOff(vm) && (f.toldAt[vm] == 0 || f.toldAt[vm] > leavesAt.Add(2*time.Second)) {
					t.Errorf("VM %d knows of it %s after it was announced", vm, fmt.Sprint(f.toldAt[vm].Sub(leavesAt)))
				}
			}
			if keyed == 0 {
				t.Error("no request for a key was sent to the owner while the keys move")
			}
		})
	}
}

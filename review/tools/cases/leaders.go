//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	// cutTime is the length of the cut; the longest one with resets in the site file has 6.2 s.
	cutTime = 6100 * time.Millisecond
	// entryTTL is three times HeartbeatS, after which the entry of a silent server is removed, and returnTime how soon it is back.
	entryTTL   = 3 * heartbeat
	returnTime = 500 * time.Millisecond
	// maxShared is the time for which two servers may hold the same keys.
	maxShared = 500 * time.Millisecond
	// thaw is ThawS: grants that arrive within it after a link healed don't count.
	thaw = 300 * time.Millisecond
	// grantHold is the time for which a grant lasts that arrived before the cut ended.
	grantHold = 2500 * time.Millisecond
)

// Machines of the sites with machines of several sizes.
var (
	small = site.Machine{Processor: 0.16, LinkMbps: 10, Memory: "184MB"}
	large = site.Machine{Processor: 0.8, LinkMbps: 200, Memory: "536MB"}
)

// run is a request that a server has run.
type run struct {
	at     time.Time
	server string
	key    int
}

// runs are the requests that the servers have run. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all []run
}

// count returns how many requests a server began on some keys in a time.
func (r *runs) count(server string, from, to int, begin, end time.Time) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.all {
		if one.server == server && one.key >= from && one.key <= to && !one.at.Before(begin) && !one.at.After(end) {
			n++
		}
	}
	return n
}

// statusWriter keeps the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader writes the head.
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// keyed is a backend server that takes grants, with a health probe. The requests that it runs are added to done.
func keyed(r *record, w *worker.Worker, done *runs) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/health" {
			out.Header().Set("Instance-Id", w.ID)
			out.Header().Set("Attempt-Id", q.Header.Get("Attempt-Id"))
			return
		}
		began, s := time.Now(), &statusWriter{out, http.StatusOK}
		w.ServeHTTP(s, q)
		key, err := strconv.Atoi(q.Header.Get("Shard-Key"))
		if err != nil || s.status != http.StatusOK {
			return
		}
		done.mu.Lock()
		defer done.mu.Unlock()
		done.all = append(done.all, run{began, w.ID, key})
		r.write("run %s by %s, key %d", q.Header.Get("Attempt-Id"), w.ID, key)
	})
}

// playLeaders cuts a zone off from the other one and from the store, while machines are added in the other one.
func playLeaders(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug", site.WithNetwork())
	if err != nil {
		return false, err
	}
	defer d.Close()
	journal, done := worker.NewJournal(), &runs{}
	for _, zone := range []string{"amman-a", "zarqa-b"} {
		for i := range 2 {
			id := fmt.Sprintf("i-%s-%d", zone, i)
			w := worker.New(id, "plans-svc", journal, worker.WithKeys())
			if _, err := d.AddServer(id, "plans-svc", zone, keyed(r, w, done)); err != nil {
				return false, err
			}
		}
	}
	d.Configure([]site.Service{{Name: "plans-svc", Keyed: true}}, []site.Route{{Prefix: "/leny950/", Service: "plans-svc", Idempotent: true, Timeout: 2 * time.Second}}, site.DefaultMaxBody)
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	defer func() { close(stop); tasks.Wait() }()
	tasks.Go(func() { d.Heartbeat(heartbeat, stop) })
	for _, name := range []string{"edge-amman-a-1", "edge-amman-a-2"} {
		if err := d.AddMachine(name, "amman-a", small); err != nil {
			return false, err
		}
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if err := d.AddMachine("edge-zarqa-b-1", "zarqa-b", small); err != nil {
		return false, err
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	for _, v := range slices.Clone(d.VMs) {
		tasks.Go(func() { read(r, v, stop) })
	}
	time.Sleep(6 * time.Second)
	began := r.now()
	if trouble {
		r.note("amman-a is cut off from zarqa-b and from the store")
		setCut(d, faultproxy.Reset)
	}
	for i, added := range []struct {
		wait    time.Duration
		machine site.Machine
	}{{50 * time.Millisecond, small}, {350 * time.Millisecond, large}, {100 * time.Millisecond, large}} {
		time.Sleep(added.wait)
		name := fmt.Sprintf("edge-zarqa-b-%d", i+2)
		if err := d.AddMachine(name, "zarqa-b", added.machine); err != nil {
			return false, err
		}
		r.note("machine %s is added", name)
		v := d.VMs[len(d.VMs)-1]
		tasks.Go(func() { read(r, v, stop) })
	}
	time.Sleep(entryTTL - (r.now() - began))
	if trouble {
		for _, s := range d.Servers {
			if s.Zone == "amman-a" {
				d.Store.Remove("servers/" + s.ID)
			}
		}
		r.note("the entries of the servers of amman-a have expired")
	}
	time.Sleep(cutTime - (r.now() - began))
	var healedAt time.Time
	if trouble {
		setCut(d, faultproxy.Pass)
		healedAt = time.Now()
		r.note("the cut has ended")
		time.Sleep(returnTime)
		for _, s := range d.Servers {
			s.Silent.Store(false)
		}
	}
	time.Sleep(6 * time.Second)
	for _, e := range journal.Events() {
		r.write("%s %s keys %d to %d: %s", e.At.UTC().Format("15:04:05.000"), e.Server, e.From, e.To, e.Text)
	}
	longest, areBothUsed := time.Duration(0), false
	for _, c := range journal.Conflicts() {
		if c.Begin.After(healedAt) && c.Begin.Before(healedAt.Add(thaw)) {
			r.note("%s; it doesn't count, since the second grant came within ThawS after the cut", c.Text)
			continue
		}
		if last := healedAt.Add(grantHold); !healedAt.IsZero() && c.End.After(last) && c.Begin.Before(healedAt) {
			c.End = last
		}
		longest = max(longest, c.End.Sub(c.Begin))
		former, later := done.count(c.Servers[0], c.From, c.To, c.Begin, c.End), done.count(c.Servers[1], c.From, c.To, c.Begin, c.End)
		areBothUsed = areBothUsed || former > 0 && later > 0
		r.note("%s; meanwhile %s began %d requests on them and %s %d", c.Text, c.Servers[0], former, c.Servers[1], later)
	}
	r.note("longest time in which two servers held the same keys: %s; both began requests on them: %t", longest, areBothUsed)
	if len(done.all) == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return areBothUsed || longest > maxShared, nil
}

// setCut cuts the VMs and servers of amman-a from those of zarqa-b and from the store, or ends that.
func setCut(d *site.Deployment, mode faultproxy.Mode) {
	here := []string{"edge-amman-a-1", "edge-amman-a-2", "i-amman-a-0", "i-amman-a-1"}
	there := []string{"edge-zarqa-b-1", "edge-zarqa-b-2", "edge-zarqa-b-3", "edge-zarqa-b-4", "i-zarqa-b-0", "i-zarqa-b-1"}
	for _, a := range here {
		for _, b := range there {
			d.Network.Cut(a, b, mode)
			d.Network.Cut(b, a, mode)
		}
	}
	for _, v := range d.VMs {
		if v.Zone == "amman-a" {
			v.StoreMode(mode)
		}
	}
	for _, s := range d.Servers {
		if s.Zone == "amman-a" && mode != faultproxy.Pass {
			s.Silent.Store(true)
		}
	}
}

// read sends requests for random keys to a VM until stop is closed.
func read(r *record, v *site.VM, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(40 * time.Millisecond):
		}
		a := send(r, v, request{method: "GET", path: "/leny950/2f", deadline: time.Second, key: 1 + rand.IntN(65535)})
		if a.err != nil && !strings.Contains(a.err.Error(), "refused") {
			r.write("%s: %v", a.id, a.err)
		}
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	callers       = 12
	callerTimeout = 1500 * time.Millisecond
	// startTime is the longest time that the VMs may take to serve, before and after the faults.
	startTime = 30 * time.Second
	// settleTime is how long late work may still come after the last request.
	settleTime = 2 * time.Second
	// servedAgain is the number of requests in a row that show that service is back.
	servedAgain = 20
)

// result is what one seed showed.
type result struct {
	mu                              sync.Mutex
	asked, served, refused, unknown int
	faults                          string
	problems                        []string
	notRun                          []string
}

func (r *result) problem(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, fmt.Sprintf(format, args...))
}

// play runs one seed.
func play(seed uint64, c command) (r *result, err error) {
	w, err := newWorld(seed, c)
	if err != nil {
		return nil, err
	}
	r = &result{}
	random := rand.New(rand.NewPCG(seed, 2))
	if !w.serves(r) {
		r.problem("no VM serves %s after the start", startTime)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Time)
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { w.call(ctx, r, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	r.faults = w.inject(ctx, random)
	all.Wait()
	cancel()
	w.heal()
	if !w.serves(r) {
		r.problem("service is not back %s after the last fault", startTime)
	}
	time.Sleep(settleTime)
	w.judge(r)
	w.close()
	if len(r.problems) > 0 {
		err = os.Rename(w.folder, filepath.Join(keep(c.Logs), fmt.Sprintf("seed-%d", seed)))
	} else {
		err = os.RemoveAll(w.folder)
	}
	return r, err
}

// keep makes the folder of logs.
func keep(folder string) string {
	// A folder that can't be made shows in the move that follows.
	_ = os.MkdirAll(folder, 0o755)
	return folder
}

// judge adds what only shows at the end.
func (w *world) judge(r *result) {
	for _, id := range r.notRun {
		if w.journal.Runs(id) > 0 {
			r.problem("request %s was refused as not run, and has run", id)
		}
	}
	r.problems = append(r.problems, w.journal.Violations()...)
}

// serves waits until all VMs answer requests of both kinds.
func (w *world) serves(r *result) bool {
	client := &http.Client{Timeout: callerTimeout}
	end := time.Now().Add(startTime)
	for n, row := 0, 0; time.Now().Before(end); n++ {
		v := w.vms[n%len(w.vms)]
		status := w.ask(client, r, v, fmt.Sprintf("probe-%p-%d-%d", r, time.Now().UnixNano(), n), n%2 == 0, n*997%65536)
		if row++; status != http.StatusOK {
			row = 0
			time.Sleep(50 * time.Millisecond)
		}
		if row >= servedAgain {
			return true
		}
	}
	return false
}

// call sends requests until the context ends; connections are kept until they break.
func (w *world) call(ctx context.Context, r *result, random *rand.Rand) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	v := w.vms[random.IntN(len(w.vms))]
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", random.Uint64())
		status := w.ask(client, r, v, id, random.IntN(2) == 0, random.IntN(65536))
		if status != http.StatusOK {
			v = w.vms[random.IntN(len(w.vms))]
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// ask sends one request and checks the answer; it returns the status, or 0 where there was no answer.
func (w *world) ask(client *http.Client, r *result, v *vm, id string, once bool, key int) (status int) {
	method, path, body := http.MethodGet, "/view/"+id, ""
	if once {
		method, path, body = http.MethodPost, "/renew/"+id, "renew "+id
	}
	req, err := http.NewRequest(method, "http://"+v.front+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	// Without this, the library repeats requests on its own.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if !once {
		req.Header.Set("Shard-Key", fmt.Sprint(key))
	}
	got, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(got.Body)
		got.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	switch {
	case err != nil:
		r.unknown++
		return 0
	case got.StatusCode == http.StatusOK:
		r.served++
		if want := worker.ResponseBody(id, path, []byte(body)); string(text) != want {
			r.problems = append(r.problems, fmt.Sprintf("request %s got the answer %q", id, text))
		}
	case got.StatusCode == http.StatusServiceUnavailable || got.StatusCode == http.StatusTooManyRequests:
		r.refused++
		if once {
			r.notRun = append(r.notRun, id)
		}
	default:
		r.unknown++
	}
	return got.StatusCode
}

// fault is something that goes wrong for a time.
type fault struct {
	name string
	run  func(w *world, random *rand.Rand, d time.Duration)
}

var faults = []fault{
	{"kill", func(w *world, random *rand.Rand, d time.Duration) { w.stopVM(random, syscall.SIGKILL, d) }},
	{"terminate", func(w *world, random *rand.Rand, d time.Duration) { w.stopVM(random, syscall.SIGTERM, d) }},
	{"pause", func(w *world, random *rand.Rand, d time.Duration) {
		v := w.vms[random.IntN(len(w.vms))]
		v.signal(syscall.SIGSTOP)
		time.Sleep(d)
		v.signal(syscall.SIGCONT)
	}},
	{"reload", func(w *world, random *rand.Rand, _ time.Duration) {
		w.vms[random.IntN(len(w.vms))].signal(syscall.SIGHUP)
	}},
	{"store down", func(w *world, _ *rand.Rand, d time.Duration) { w.storeFault(kv.Fault{Down: true}, d) }},
	{"store slow", func(w *world, _ *rand.Rand, d time.Duration) {
		w.storeFault(kv.Fault{Delay: 200 * time.Millisecond}, d)
	}},
	{"store loses answers", func(w *world, _ *rand.Rand, d time.Duration) { w.storeFault(kv.Fault{LostWrites: 0.5}, d) }},
	{"store link", func(w *world, random *rand.Rand, d time.Duration) {
		spoil(w.vms[random.IntN(len(w.vms))].store, random, d)
	}},
	{"server link", func(w *world, random *rand.Rand, d time.Duration) {
		w.faulty.Lock()
		l := w.backends[random.IntN(len(w.backends))].link
		w.faulty.Unlock()
		spoil(l, random, d)
	}},
	{"server restarts", func(w *world, random *rand.Rand, d time.Duration) { w.restart(random, d, false) }},
	{"server drains", func(w *world, random *rand.Rand, d time.Duration) { w.restart(random, d, true) }},
	{"configuration", func(w *world, random *rand.Rand, _ time.Duration) {
		w.faulty.Lock()
		defer w.faulty.Unlock()
		w.configure(time.Duration(800+random.IntN(800)) * time.Millisecond)
	}},
}

// inject lets things go wrong until the context ends; faults overlap.
func (w *world) inject(ctx context.Context, random *rand.Rand) (names string) {
	counts := map[string]int{}
	var all sync.WaitGroup
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		d := time.Duration(300+random.IntN(3500)) * time.Millisecond
		inner := rand.New(rand.NewPCG(random.Uint64(), 3))
		counts[f.name]++
		all.Go(func() { f.run(w, inner, d) })
		time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
	}
	all.Wait()
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// heal ends every fault.
func (w *world) heal() {
	w.store.SetFault(kv.Fault{})
	for _, v := range w.vms {
		v.signal(syscall.SIGCONT)
		v.store.SetMode(faultproxy.Pass)
		if err := v.start(w.program); err != nil {
			panic(err)
		}
	}
	for _, b := range w.backends {
		b.link.SetMode(faultproxy.Pass)
	}
}

// stopVM ends a VM's process and starts it again after a time.
func (w *world) stopVM(random *rand.Rand, s syscall.Signal, d time.Duration) {
	v := w.vms[random.IntN(len(w.vms))]
	v.signal(s)
	if s != syscall.SIGKILL {
		v.signal(syscall.SIGCONT)
	}
	v.await()
	time.Sleep(d / 4)
	if err := v.start(w.program); err != nil {
		panic(err)
	}
}

func (w *world) storeFault(f kv.Fault, d time.Duration) {
	w.store.SetFault(f)
	time.Sleep(d)
	w.store.SetFault(kv.Fault{})
}

func spoil(l *faultproxy.Proxy, random *rand.Rand, d time.Duration) {
	l.SetMode([]faultproxy.Mode{faultproxy.Delay, faultproxy.Stall, faultproxy.StallResponses, faultproxy.Reset}[random.IntN(4)])
	time.Sleep(d)
	l.SetMode(faultproxy.Pass)
}

// restart replaces a backend server by a new life under the same id, at another address.
func (w *world) restart(random *rand.Rand, d time.Duration, graceful bool) {
	w.faulty.Lock()
	defer w.faulty.Unlock()
	n := random.IntN(len(w.backends))
	b := w.backends[n]
	if graceful {
		w.register(b, "draining")
		time.Sleep(2 * time.Second)
	}
	b.end()
	w.backends = append(w.backends[:n], w.backends[n+1:]...)
	time.Sleep(d / 4)
	if err := w.addBackend(b.id, b.service); err != nil {
		panic(err)
	}
}

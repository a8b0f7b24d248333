package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	callerCount   = 12
	callerTimeout = 1500 * time.Millisecond
	// serveTimeout is the maximum time until the VMs serve requests, after the start and after the last fault.
	serveTimeout = 30 * time.Second
	// settleDelay is the wait after the last request, so that delayed attempts still reach a backend server before the checks.
	settleDelay = 2 * time.Second
	// requiredSuccesses is the number of consecutive responses with status 200 after which the VMs count as serving.
	requiredSuccesses = 20
)

// notRunStatuses are the statuses that promise that a request wasn't run.
var notRunStatuses = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized}

// result counts the requests of one seed and describes its faults and violations.
type result struct {
	mu                                 sync.Mutex
	requests, served, refused, unknown int
	faults                             string
	violations                         []string
	refusedNotRun                      []string
	// cutOff are the requests whose connection ended without an answer before their time was up.
	cutOff []string
}

// addViolation records a violated guarantee.
func (r *result) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// runSeed runs one seed: it starts the environment, injects the selected faults under load, and checks the guarantees.
func runSeed(seed uint64, c command, selected []fault) (r *result, err error) {
	e, err := newEnvironment(seed, c)
	if err != nil {
		return nil, err
	}
	if e.customers == nil {
		selected = slices.DeleteFunc(slices.Clone(selected), func(f fault) bool { return f.needsCustomers })
		if len(selected) == 0 {
			return nil, errors.New("--faults: all selected ones need customers, which only even seeds have")
		}
	}
	r = &result{}
	random := rand.New(rand.NewPCG(seed, 2))
	if !e.waitUntilServing(r) {
		r.addViolation("the VMs don't serve requests %s after the start", serveTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Time)
	var wg sync.WaitGroup
	for i := range callerCount {
		wg.Go(func() { e.runCaller(ctx, r, i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	r.faults = e.injectFaults(ctx, random, selected)
	wg.Wait()
	e.crashed.Wait()
	cancel()
	e.clearFaults()
	if !e.waitUntilServing(r) {
		r.addViolation("the VMs don't serve requests again %s after the last fault", serveTimeout)
	}
	if e.customers != nil {
		e.waitUntilCustomersAreServed(r)
	}
	time.Sleep(settleDelay)
	e.checkGuarantees(r, selected)
	e.close()
	if len(r.violations) > 0 {
		err = os.Rename(e.folder, filepath.Join(makeLogFolder(c.Logs), fmt.Sprintf("seed-%d", seed)))
	} else {
		err = os.RemoveAll(e.folder)
	}
	return r, err
}

// makeLogFolder creates the folder of logs and returns it.
func makeLogFolder(folder string) string {
	// If the folder can't be created, the rename that follows reports the error.
	_ = os.MkdirAll(folder, 0o755)
	return folder
}

// checkGuarantees adds the violations that can only be detected after all requests have ended.
func (e *environment) checkGuarantees(r *result, injected []fault) {
	isPlannedWork := !slices.ContainsFunc(injected, func(f fault) bool { return !f.isPlanned })
	for _, id := range r.cutOff {
		if isPlannedWork && e.journal.Runs(id) > 0 {
			r.addViolation("request %s has run, but its connection was cut off, although only planned work took place", id)
		}
	}
	if isPlannedWork {
		e.checkLostResponses(r)
	}
	for _, id := range r.refusedNotRun {
		if e.journal.Runs(id) > 0 {
			r.addViolation("request %s was refused as not run, but has run", id)
		}
	}
	if !slices.ContainsFunc(injected, func(f fault) bool { return !f.keepsEvidence }) {
		r.faults += "; " + e.crashes.check(r)
	}
	r.violations = append(r.violations, e.journal.Violations()...)
	if e.customers != nil {
		r.faults += "; " + e.checkAllotments(r)
		e.checkLogs(r)
	}
}

// checkLostResponses adds a violation for each response that a VM says it has not written. Callers don't see all of them: net/http's client sends
// an idempotent request again if its connection ends.
func (e *environment) checkLostResponses(r *result) {
	for _, v := range e.vms {
		data, err := os.ReadFile(v.log.Name())
		if err != nil {
			r.addViolation("the log of %s can't be read: %v", v.name, err)
		}
		for line := range bytes.Lines(data) {
			if bytes.Contains(line, []byte(`"level":"ERROR"`)) && bytes.Contains(line, []byte("a connection ended without the response")) {
				r.addViolation("%s lost a response: %s", v.name, bytes.TrimSpace(line))
			}
		}
	}
}

// waitUntilServing sends requests of both kinds to the VMs in turn until requiredSuccesses consecutive ones are answered
// with status 200; it reports false after serveTimeout.
func (e *environment) waitUntilServing(r *result) bool {
	client := &http.Client{Timeout: callerTimeout}
	deadline := time.Now().Add(serveTimeout)
	for n, successes := 0, 0; time.Now().Before(deadline); n++ {
		v := e.vms[n%len(e.vms)]
		status := e.sendRequest(client, r, v, request{id: fmt.Sprintf("probe-%p-%d-%d", r, time.Now().UnixNano(), n), atMostOnce: n%2 == 0, key: n * 997 % 65536, identity: e.customers.probe()})
		if successes++; status != http.StatusOK {
			successes = 0
			time.Sleep(50 * time.Millisecond)
		}
		if successes >= requiredSuccesses {
			return true
		}
	}
	return false
}

// runCaller sends requests until the context ends. It changes to another VM after a failed request, and reuses
// connections until they break.
func (e *environment) runCaller(ctx context.Context, r *result, caller int, random *rand.Rand) {
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	v := e.vms[random.IntN(len(e.vms))]
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("%016x", random.Uint64())
		q := request{id: id, atMostOnce: random.IntN(2) == 0, key: random.IntN(65536), identity: e.customers.pick(random, caller)}
		status := e.sendRequest(client, r, v, q)
		if status != http.StatusOK {
			v = e.vms[random.IntN(len(e.vms))]
		}
		time.Sleep(time.Duration(random.IntN(30)) * time.Millisecond)
	}
}

// request is a request of a caller.
type request struct {
	id string
	// atMostOnce is set if it must run at most once. It has no effect on a public route, whose requests may be repeated.
	atMostOnce bool
	// key is the routing key of a request that may be repeated.
	key int
	identity
}

// target returns the method, path and body of the request: a POST if it must run at most once, and otherwise a GET.
func (q *request) target() (method, path, body string) {
	switch {
	case q.isPublic:
		return http.MethodGet, "/open/" + q.id, ""
	case q.atMostOnce:
		return http.MethodPost, "/renew/" + q.id, "renew " + q.id
	default:
		return http.MethodGet, "/view/" + q.id, ""
	}
}

// sendRequest sends one request and checks the response; it returns the status, or 0 if there was no response.
func (e *environment) sendRequest(client *http.Client, r *result, v *vm, q request) (status int) {
	method, path, body := q.target()
	req, err := http.NewRequest(method, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	// Without GetBody, net/http doesn't retry a request with a body after a connection failure.
	req.GetBody = nil
	req.Header.Set("Attempt-Id", q.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callerTimeout.Milliseconds()))
	if method == http.MethodGet {
		req.Header.Set("Shard-Key", fmt.Sprint(q.key))
	}
	q.sign(req.Header)
	resp, err := client.Do(req)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	switch {
	case err != nil:
		r.unknown++
		if !errors.Is(err, context.DeadlineExceeded) {
			r.cutOff = append(r.cutOff, q.id)
		}
		return 0
	case resp.StatusCode == http.StatusOK:
		r.served++
		if want := worker.ResponseBody(q.id, path, []byte(body)); string(text) != want {
			r.violations = append(r.violations, fmt.Sprintf("request %s got the response %q", q.id, text))
		}
	case slices.Contains(notRunStatuses, resp.StatusCode):
		r.refused++
		if method == http.MethodPost {
			r.refusedNotRun = append(r.refusedNotRun, q.id)
		}
	default:
		r.unknown++
	}
	if violation := e.customers.violation(q.identity, resp.StatusCode); violation != "" {
		r.violations = append(r.violations, fmt.Sprintf("request %s at %s %s", q.id, v.name, violation))
	}
	return resp.StatusCode
}

// fault is a named fault that run injects for the duration d.
type fault struct {
	name string
	run  func(e *environment, random *rand.Rand, d time.Duration)
	// isPlanned says that it is planned work, during which no request may be cut off.
	isPlanned bool
	// keepsEvidence says that VMs can tell each other what crashes backend servers all the while, so that the number of crashes is limited.
	keepsEvidence bool
	// needsCustomers says that it changes customers; it is left out where the configuration has none.
	needsCustomers bool
}

var faults = []fault{
	{name: "kill", run: func(e *environment, random *rand.Rand, d time.Duration) { e.restartVM(random, syscall.SIGKILL, d) }, keepsEvidence: true},
	{name: "terminate", run: func(e *environment, random *rand.Rand, d time.Duration) { e.restartVM(random, syscall.SIGTERM, d) }, isPlanned: true, keepsEvidence: true},
	{name: "pause", run: func(e *environment, random *rand.Rand, d time.Duration) {
		v := e.vms[random.IntN(len(e.vms))]
		v.signal(syscall.SIGSTOP)
		time.Sleep(d)
		v.signal(syscall.SIGCONT)
	}},
	{name: "reload", run: func(e *environment, random *rand.Rand, _ time.Duration) {
		e.vms[random.IntN(len(e.vms))].signal(syscall.SIGHUP)
	}, isPlanned: true, keepsEvidence: true},
	{name: "store down", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.injectStoreFault(kv.Fault{Down: true}, d) }},
	{name: "store slow", run: func(e *environment, _ *rand.Rand, d time.Duration) {
		e.injectStoreFault(kv.Fault{Delay: 200 * time.Millisecond}, d)
	}},
	{name: "store loses answers", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.injectStoreFault(kv.Fault{LostWrites: 0.5}, d) }},
	{name: "store link", run: func(e *environment, random *rand.Rand, d time.Duration) {
		disturb(e.vms[random.IntN(len(e.vms))].storeProxy, random, d)
	}},
	{name: "server link", run: func(e *environment, random *rand.Rand, d time.Duration) {
		e.mu.Lock()
		p := e.backends[random.IntN(len(e.backends))].proxy
		e.mu.Unlock()
		disturb(p, random, d)
	}},
	{name: "server restarts", run: func(e *environment, random *rand.Rand, d time.Duration) { e.restartBackend(random, d, false) }},
	{name: "crashing request", run: func(e *environment, random *rand.Rand, d time.Duration) { e.repeatCrashingRequest(random, d) }, keepsEvidence: true},
	{name: "server drains", run: func(e *environment, random *rand.Rand, d time.Duration) { e.restartBackend(random, d, true) }},
	{name: "store restored", run: func(e *environment, _ *rand.Rand, d time.Duration) { e.restoreStore(d) }},
	{name: "configuration", run: func(e *environment, random *rand.Rand, _ time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.writeConfiguration(time.Duration(800+random.IntN(800)) * time.Millisecond)
	}, isPlanned: true, keepsEvidence: true},
	{name: "revoke", run: func(e *environment, random *rand.Rand, _ time.Duration) { e.revoke(random) }, isPlanned: true, needsCustomers: true},
	{name: "allotment", run: func(e *environment, random *rand.Rand, _ time.Duration) { e.changeAllotment(random) }, isPlanned: true, needsCustomers: true},
}

// selectFaults returns the faults with the given names, or all if there are none.
func selectFaults(names []string) (selected []fault, err error) {
	if len(names) == 0 {
		return faults, nil
	}
	for _, name := range names {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Newf("--faults: there is no fault %q", name)
		}
		selected = append(selected, faults[i])
	}
	return selected, nil
}

// injectFaults injects overlapping random faults out of the given ones until the context ends, and returns the count of each fault.
func (e *environment) injectFaults(ctx context.Context, random *rand.Rand, faults []fault) (summary string) {
	counts := map[string]int{}
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		d := time.Duration(300+random.IntN(3500)) * time.Millisecond
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		counts[f.name]++
		wg.Go(func() { f.run(e, faultRandom, d) })
		time.Sleep(time.Duration(200+random.IntN(1200)) * time.Millisecond)
	}
	wg.Wait()
	var out []string
	for name, n := range counts {
		out = append(out, fmt.Sprintf("%s %d", name, n))
	}
	sort.Strings(out)
	return strings.Join(out, ", ")
}

// clearFaults ends all faults and starts the VMs that aren't running.
func (e *environment) clearFaults() {
	e.store.SetFault(kv.Fault{})
	for _, v := range e.vms {
		v.signal(syscall.SIGCONT)
		v.storeProxy.SetMode(faultproxy.Pass)
		if err := v.start(e.program); err != nil {
			panic(err)
		}
	}
	for _, b := range e.backends {
		b.proxy.SetMode(faultproxy.Pass)
	}
}

// restartVM ends a random VM's process with a signal and starts it again after a quarter of d.
func (e *environment) restartVM(random *rand.Rand, s syscall.Signal, d time.Duration) {
	v := e.vms[random.IntN(len(e.vms))]
	v.signal(s)
	if s != syscall.SIGKILL {
		// A process stopped by the fault "pause" handles other signals only after SIGCONT.
		v.signal(syscall.SIGCONT)
	}
	v.waitForExit()
	time.Sleep(d / 4)
	if err := v.start(e.program); err != nil {
		panic(err)
	}
}

// injectStoreFault injects a fault into the store for the duration d.
func (e *environment) injectStoreFault(f kv.Fault, d time.Duration) {
	e.storeUse.RLock()
	defer e.storeUse.RUnlock()
	e.store.SetFault(f)
	time.Sleep(d)
	e.store.SetFault(kv.Fault{})
}

// restoreStore brings the store back from a copy that is d old, after an outage of a quarter of d. With customers, the operator writes the
// latest configuration again an eighth of d later; until then the VMs must not apply the older one.
func (e *environment) restoreStore(d time.Duration) {
	copied := e.store.Copy()
	time.Sleep(d)
	e.storeUse.RLock()
	defer e.storeUse.RUnlock()
	e.store.SetFault(kv.Fault{Down: true})
	time.Sleep(d / 4)
	e.store.Restore(copied)
	e.store.SetFault(kv.Fault{})
	if e.customers == nil {
		return
	}
	time.Sleep(d / 8)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.store.Put("op/config", e.configuration)
}

// disturb sets a random fault mode of a proxy for the duration d.
func disturb(p *faultproxy.Proxy, random *rand.Rand, d time.Duration) {
	p.SetMode([]faultproxy.Mode{faultproxy.Delay, faultproxy.Stall, faultproxy.StallResponses, faultproxy.Reset}[random.IntN(4)])
	time.Sleep(d)
	p.SetMode(faultproxy.Pass)
}

// restartBackend replaces a random backend server by a new incarnation with the same ID at another address.
func (e *environment) restartBackend(random *rand.Rand, d time.Duration, graceful bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := random.IntN(len(e.backends))
	b := e.backends[n]
	if graceful {
		e.registerBackend(b, "draining")
		time.Sleep(2 * time.Second)
	}
	b.kill()
	e.backends = append(e.backends[:n], e.backends[n+1:]...)
	time.Sleep(d / 4)
	if err := e.addBackend(b.id, b.service); err != nil {
		panic(err)
	}
}

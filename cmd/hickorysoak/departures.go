package main

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	// departureBound is the time after a caller has left from which its request must not reach a backend server, and by which work on an
	// idempotent one must have ended. Callers and backend servers are in this process and read the same clock, so nothing is added to it.
	departureBound = 500 * time.Millisecond
	// maxLateArrivals is the number of requests that may reach a backend server later all the same; none that must run at most once.
	maxLateArrivals = 3
	// maxLateWork is the part of the idempotent requests at work for longer than the bound that may still be at work then.
	maxLateWork = 0.25
	// maxListed is the number of requests that are listed for a violation.
	maxListed = 5
)

// Pace and patience of callers that leave.
const (
	maxDepartureGap = 12 * time.Millisecond
	minPatience     = 20 * time.Millisecond
	maxPatience     = 120 * time.Millisecond
	// halfClosedTime is the time from the half-close of a connection to its close.
	halfClosedTime = 2 * time.Second
)

const (
	// slowMark in the path of a request makes it last longer.
	slowMark  = "slow-"
	slowShare = 0.2
	// Idempotent work outlasts the bound after the caller has left. Other work is shorter than the shortest timeout of a route.
	slowIdempotentTime = 900 * time.Millisecond
	slowOtherTime      = 250 * time.Millisecond
)

// serviceTime returns how long a backend server runs a request.
func serviceTime(r *http.Request) time.Duration {
	switch {
	case !strings.Contains(r.URL.Path, slowMark):
		return worker.DefaultServiceTime
	case r.Method == http.MethodGet:
		return slowIdempotentTime
	default:
		return slowOtherTime
	}
}

// departure is a request whose caller left before the response came.
type departure struct {
	id, vm, way string
	atMostOnce  bool
	at          time.Time
}

// silence is a time in which a backend server was silent. Its connections are reset at the end.
type silence struct {
	server     string
	begin, end time.Time
}

// departures records the callers that left, and the silences of backend servers. It is safe for concurrent use.
type departures struct {
	mu       sync.Mutex
	list     []departure
	silences []silence
}

func (d *departures) add(one departure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = append(d.list, one)
}

// addSilences records that backend servers were silent from begin until now.
func (d *departures) addSilences(backends []*backend, begin time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range backends {
		d.silences = append(d.silences, silence{b.id, begin, time.Now()})
	}
}

// measuresDepartures reports whether callers leave while the injected faults leave the VMs in contact.
func measuresDepartures(injected []fault) bool {
	return slices.ContainsFunc(injected, func(f fault) bool { return f.name == "callers leave" }) &&
		!slices.ContainsFunc(injected, func(f fault) bool { return !f.keepsContact })
}

// leave ends a connection in one of the ways of callers, and returns the way and the time.
func leave(c *net.TCPConn, way int) (name string, at time.Time) {
	switch way {
	case 0:
		_ = c.Close()
		return "closed", time.Now()
	case 1:
		_ = c.SetLinger(0)
		_ = c.Close()
		return "reset", time.Now()
	default:
		_ = c.CloseWrite()
		at = time.Now()
		time.Sleep(halfClosedTime)
		_ = c.Close()
		return "half-closed", at
	}
}

// sendAndLeave sends requests to all VMs for the duration d, whose callers leave if the response doesn't come soon.
func (e *environment) sendAndLeave(random *rand.Rand, d time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Duration(random.Int64N(int64(maxDepartureGap)))) {
		q := request{id: fmt.Sprintf("%016x", random.Uint64()), atMostOnce: random.IntN(2) == 0, key: random.IntN(65536), identity: e.customers.probe()}
		if random.Float64() < slowShare {
			q.id = slowMark + q.id
		}
		v, way := e.randomVM(random), random.IntN(3)
		patience := minPatience + time.Duration(random.Int64N(int64(maxPatience-minPatience)))
		wg.Go(func() { e.leaveAfter(v, q, way, patience) })
	}
	wg.Wait()
}

// leaveAfter sends one request, and leaves if no response has come within the caller's patience.
func (e *environment) leaveAfter(v *vm, q request, way int, patience time.Duration) {
	c, err := net.Dial("tcp", v.callerAddress)
	if err != nil {
		return
	}
	defer c.Close()
	method, path, body := q.target()
	r, err := http.NewRequest(method, "http://"+v.callerAddress+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Host = host
	q.setHeader(r.Header, method)
	if r.Write(c) != nil || c.SetReadDeadline(time.Now().Add(patience)) != nil {
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), r)
	if err == nil {
		_ = resp.Body.Close()
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	name, at := leave(c.(*net.TCPConn), way)
	e.departures.add(departure{id: q.id, vm: v.name, way: name, atMostOnce: q.atMostOnce, at: at})
}

// lateWork is what backend servers did for callers that had left.
type lateWork struct {
	left int
	// arrivals are the requests that reached a backend server too late, and atMostOnce those among them that must run at most once and have run.
	arrivals, atMostOnce []string
	// lasting is the number of idempotent requests whose work would have lasted beyond the bound, and working those whose work did.
	lasting, working int
	// brokenOff are the requests that must run at most once whose run had begun and was cut off.
	brokenOff []string
	// ids are the requests whose log lines are printed.
	ids []string
}

// findLateWork compares the departures of callers with the arrivals of their requests.
func findLateWork(list []departure, arrivals func(id string) []worker.Arrival, silences []silence) (w lateWork) {
	w.left = len(list)
	for _, d := range list {
		bound, isLate := d.at.Add(departureBound), false
		for _, a := range arrivals(d.id) {
			text := fmt.Sprintf("%s (%s at %s, reached %s after %s)", d.id, d.way, d.vm, a.Server, a.ReachedAt.Sub(d.at).Round(time.Millisecond))
			if a.ReachedAt.After(bound) && !isLate {
				isLate = true
				w.arrivals, w.ids = append(w.arrivals, text), append(w.ids, d.id)
			}
			w.countRun(d, a, bound, text, silences)
		}
	}
	return w
}

// countRun counts the run that followed an arrival, if any.
func (w *lateWork) countRun(d departure, a worker.Arrival, bound time.Time, text string, silences []silence) {
	switch {
	case a.BeganAt.IsZero():
	case d.atMostOnce && a.ReachedAt.After(bound):
		w.atMostOnce = append(w.atMostOnce, text)
	case d.atMostOnce:
		isReset := slices.ContainsFunc(silences, func(s silence) bool {
			return s.server == a.Server && s.begin.Before(a.EndedAt) && a.BeganAt.Before(s.end)
		})
		if a.IsBrokenOff && a.EndedAt.Before(a.Deadline) && !isReset {
			w.brokenOff, w.ids = append(w.brokenOff, text), append(w.ids, d.id)
		}
	case a.BeganAt.Add(a.ServiceTime).After(bound):
		w.lasting++
		if a.EndedAt.IsZero() || a.EndedAt.After(bound) {
			w.working++
		}
	}
}

// violations describes what goes beyond the bounds.
func (w *lateWork) violations() (out []string) {
	add := func(requests []string, text string) {
		out = append(out, fmt.Sprintf("%d %s: %s", len(requests), text, strings.Join(requests[:min(maxListed, len(requests))], ", ")))
	}
	if len(w.atMostOnce) > 0 {
		add(w.atMostOnce, fmt.Sprintf("requests that must run at most once reached a backend server later than %s after their callers had left, and ran", departureBound))
	}
	if len(w.arrivals) > maxLateArrivals {
		add(w.arrivals, fmt.Sprintf("requests reached a backend server later than %s after their callers had left", departureBound))
	}
	if float64(w.working) > maxLateWork*float64(w.lasting) {
		out = append(out, fmt.Sprintf("backend servers were at work on %d of %d idempotent requests %s after their callers had left", w.working, w.lasting, departureBound))
	}
	if len(w.brokenOff) > 0 {
		add(w.brokenOff, "requests that must run at most once were cut off at a backend server after their callers had left")
	}
	return out
}

// checkDepartures adds the violations of the bounds for requests whose callers have left, with the log lines of the first such requests, and
// returns a summary.
func (e *environment) checkDepartures(r *result) (summary string) {
	w := findLateWork(e.departures.list, e.journal.Arrivals, e.departures.silences)
	r.violations = append(r.violations, w.violations()...)
	for _, id := range w.ids[:min(maxPrintedTraces, len(w.ids))] {
		r.traces = append(r.traces, "log lines of: "+id)
		for _, v := range e.vms {
			r.traces = append(r.traces, v.linesOf(id)...)
		}
	}
	return fmt.Sprintf("%d callers left, %d of their requests arrived late, %d of %d lasting ones were at work late", w.left, len(w.arrivals), w.working, w.lasting)
}

// linesOf returns the lines of the VM's log that name a request.
func (v *vm) linesOf(id string) (lines []string) {
	data, err := os.ReadFile(v.log.Name())
	if err != nil {
		return nil
	}
	for line := range bytes.Lines(data) {
		if bytes.Contains(line, []byte(id)) {
			lines = append(lines, v.name+": "+string(bytes.TrimSpace(line)))
		}
	}
	return lines
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/standin/backend"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
)

// Parameters of the simulated callers.
const (
	// keyCount is the number of keys of each keyed service.
	keyCount = 2000
	// zipfExponent is the exponent of the Zipf distribution of requests over the keys.
	zipfExponent = 1.0001
	// maxAttempts is the number of times that a caller sends a request that is not answered.
	maxAttempts    = 3
	retryDelay     = 200 * time.Millisecond
	requestTimeout = 8 * time.Second
	// bodyBytes is the size of the body of a request that must run at most once.
	bodyBytes = 300
)

// attempt is one attempt to send a request, as its caller saw it.
type attempt struct {
	Route   id.Route
	Key     string
	Request string
	Attempt string
	Once    bool
	VM      id.VM
	Start   time.Time
	End     time.Time
	// Answered is set if a complete response of a backend server with status 200 arrived.
	Answered bool
	// WrongBody is set if the response body belongs to another request.
	WrongBody bool
	// Outcome is the outcome that a rejection states, or empty.
	Outcome outcome.Kind
	Reason  string
	// Cause groups attempts without an answer: the outcome and the reason code, or a kind of connection failure.
	Cause string
	// ConnectionFailed is set if the connection failed before the complete response was read.
	ConnectionFailed bool
}

// loadGenerator simulates the callers of a site.
type loadGenerator struct {
	d      *deployment
	routes []namedRoute
	client *http.Client
	seed   uint64

	mu       sync.Mutex
	attempts []attempt
}

type namedRoute struct {
	name  id.Route
	route config.Route
}

func newLoadGenerator(d *deployment, seed uint64) *loadGenerator {
	l := &loadGenerator{d: d, seed: seed, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		Timeout:   requestTimeout,
	}}
	for _, s := range d.plan.Services {
		for name, r := range s.Routes {
			l.routes = append(l.routes, namedRoute{name, r})
		}
	}
	return l
}

// run starts perSecond requests per second until ctx ends, and returns when all of them have ended.
func (l *loadGenerator) run(ctx context.Context, perSecond int) {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	keys := rand.NewZipf(rng, zipfExponent, 1, keyCount-1)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var wg sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-ticker.C:
		}
		r := l.routes[rng.IntN(len(l.routes))]
		key := fmt.Sprintf("k%d", keys.Uint64())
		random := rng.Uint64()
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.sendWithRetries(r, key, random)
		}()
	}
}

// sendWithRetries sends a request as a caller would: it retries while there is no answer, up to maxAttempts attempts.
func (l *loadGenerator) sendWithRetries(r namedRoute, key string, random uint64) {
	requestID := uuid.Must(uuid.NewV7()).String()
	for n := range maxAttempts {
		a := l.sendAttempt(r, key, requestID, n, random+uint64(n))
		l.mu.Lock()
		l.attempts = append(l.attempts, a)
		l.mu.Unlock()
		if a.Answered {
			return
		}
		time.Sleep(retryDelay)
	}
}

func (l *loadGenerator) sendAttempt(r namedRoute, key, requestID string, n int, random uint64) (a attempt) {
	a = attempt{
		Route: r.name, Request: requestID, Attempt: fmt.Sprintf("%s/%d", requestID, n),
		Once: !r.route.Idempotent, Start: time.Now(),
	}
	defer func() { a.End = time.Now() }()
	vms := l.d.readyVMs()
	if len(vms) == 0 {
		a.Reason = "no entry VM is ready"
		return a
	}
	e := vms[random%uint64(len(vms))]
	a.VM = e.name
	path := strings.NewReplacer("{subscriber}", key, "{record}", key, "{day}", key, "{site}", key).Replace(r.route.Path)
	if !r.route.Key.IsZero() {
		a.Key = string(r.route.Service) + "/" + key
	}
	var body io.Reader
	length := 0
	if a.Once {
		length = bodyBytes
		body = strings.NewReader(strings.Repeat("x", length))
	}
	req, err := http.NewRequestWithContext(context.Background(), r.route.Methods[0], "http://"+e.settings.CallerAddress+path, body)
	if err != nil {
		a.Reason = err.Error()
		return a
	}
	req.Header.Set(backend.HeaderRequest, requestID)
	req.Header.Set(backend.HeaderAttempt, a.Attempt)
	if a.Once {
		req.Header.Set(backend.HeaderOnce, "1")
		req.Header.Set("Idempotency-Key", requestID)
	}
	l.do(&a, req, fmt.Sprintf("%s %s %s %d", requestID, r.route.Methods[0], path, length))
	return a
}

// do sends the request, compares the response body with the expected one, and records the result in a.
func (l *loadGenerator) do(a *attempt, req *http.Request, wantBody string) {
	resp, err := l.client.Do(req)
	if err != nil {
		a.ConnectionFailed, a.Reason, a.Cause = true, err.Error(), "connection failed"
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		a.ConnectionFailed, a.Reason, a.Cause = true, err.Error(), "answer cut short"
	case resp.Header.Get(problem.HeaderOutcome) != "":
		a.Outcome = outcome.Kind(resp.Header.Get(problem.HeaderOutcome))
		var details problem.Details
		if json.Unmarshal(body, &details) == nil {
			a.Reason = details.Detail
			a.Cause = string(a.Outcome) + ": " + string(details.Reason)
		}
	case resp.StatusCode == http.StatusOK:
		a.Answered = true
		a.WrongBody = string(body) != wantBody
	default:
		a.Reason = resp.Status
	}
}

// attemptCount returns the number of attempts so far.
func (l *loadGenerator) attemptCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.attempts)
}

// allAttempts returns a copy of all attempts so far.
func (l *loadGenerator) allAttempts() []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attempt(nil), l.attempts...)
}

// sendPoison sends a poison request, which crashes the backend server that runs it.
//
// It returns the outcome and the reason that the caller receives.
func (l *loadGenerator) sendPoison(ctx context.Context) string {
	vms := l.d.readyVMs()
	if len(vms) == 0 {
		return "no entry VM is ready"
	}
	var path string
	for _, r := range l.routes {
		if r.route.Hedge {
			path = r.route.Path
		}
	}
	path = strings.NewReplacer("{record}", "poison", "{day}", "poison", "{site}", "poison").Replace(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vms[0].settings.CallerAddress+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set(backend.HeaderKill, "1")
	a := attempt{}
	l.do(&a, req, "")
	return strings.TrimSpace(fmt.Sprintf("%s %s", a.Outcome, a.Reason))
}

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

// Constants of the callers' behaviour.
const (
	// keyCount is the number of keys of each keyed service.
	keyCount = 2000
	// zipf is the skew of the keys' popularity.
	zipf = 1.0001
	// sendings is the number of times that a caller sends a request which has no answer.
	sendings    = 3
	resendPause = 200 * time.Millisecond
	callTimeout = 8 * time.Second
	// bodyBytes is the size of the body of a request that must run once.
	bodyBytes = 300
)

// sending is one sending of a request, as its caller saw it.
type sending struct {
	Route   id.Route
	Key     string
	Request string
	Attempt string
	Once    bool
	VM      id.VM
	Start   time.Time
	End     time.Time
	// Answered says that a whole answer of a backend server came.
	Answered bool
	// WrongBody says that the answer was not the one to this request.
	WrongBody bool
	// Outcome is that of a refusal, or empty.
	Outcome outcome.Kind
	Reason  string
	// Cause is the outcome with the kind of the reason.
	Cause string
	// ConnectionFailed says that the connection broke before the answer was whole.
	ConnectionFailed bool
}

// load is the callers of a site.
type load struct {
	d      *deployment
	routes []namedRoute
	client *http.Client
	seed   uint64

	mu       sync.Mutex
	sendings []sending
}

type namedRoute struct {
	name  id.Route
	route config.Route
}

func newLoad(d *deployment, seed uint64) *load {
	l := &load{d: d, seed: seed, client: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true},
		Timeout:   callTimeout,
	}}
	for _, s := range d.plan.Services {
		for name, r := range s.Routes {
			l.routes = append(l.routes, namedRoute{name, r})
		}
	}
	return l
}

// run sends requests at a rate until the context ends, and returns when all are done.
func (l *load) run(ctx context.Context, perSecond int) {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	keys := rand.NewZipf(rng, zipf, 1, keyCount-1)
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	var wg sync.WaitGroup
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-tick.C:
		}
		r := l.routes[rng.IntN(len(l.routes))]
		key := fmt.Sprintf("k%d", keys.Uint64())
		pick := rng.Uint64()
		wg.Add(1)
		go func() {
			defer wg.Done()
			l.request(r, key, pick)
		}()
	}
}

// request sends a request, again where it has no answer, as a caller would.
func (l *load) request(r namedRoute, key string, pick uint64) {
	name := uuid.Must(uuid.NewV7()).String()
	for n := range sendings {
		s := l.send(r, key, name, n, pick+uint64(n))
		l.mu.Lock()
		l.sendings = append(l.sendings, s)
		l.mu.Unlock()
		if s.Answered {
			return
		}
		time.Sleep(resendPause)
	}
}

func (l *load) send(r namedRoute, key, name string, n int, pick uint64) (s sending) {
	s = sending{
		Route: r.name, Request: name, Attempt: fmt.Sprintf("%s/%d", name, n),
		Once: !r.route.Idempotent, Start: time.Now(),
	}
	defer func() { s.End = time.Now() }()
	live := l.d.live()
	if len(live) == 0 {
		s.Reason = "no VM is live"
		return s
	}
	e := live[pick%uint64(len(live))]
	s.VM = e.name
	path := strings.NewReplacer("{subscriber}", key, "{record}", key, "{day}", key, "{site}", key).Replace(r.route.Path)
	if !r.route.Key.IsZero() {
		s.Key = string(r.route.Service) + "/" + key
	}
	var body io.Reader
	length := 0
	if s.Once {
		length = bodyBytes
		body = strings.NewReader(strings.Repeat("x", length))
	}
	req, err := http.NewRequestWithContext(context.Background(), r.route.Methods[0], "http://"+e.settings.CallerAddress+path, body)
	if err != nil {
		s.Reason = err.Error()
		return s
	}
	req.Header.Set(backend.HeaderRequest, name)
	req.Header.Set(backend.HeaderAttempt, s.Attempt)
	if s.Once {
		req.Header.Set(backend.HeaderOnce, "1")
		req.Header.Set("Idempotency-Key", name)
	}
	l.judge(&s, req, fmt.Sprintf("%s %s %s %d", name, r.route.Methods[0], path, length))
	return s
}

// judge sends the request and compares the answer with the one that is wanted.
func (l *load) judge(s *sending, req *http.Request, wanted string) {
	resp, err := l.client.Do(req)
	if err != nil {
		s.ConnectionFailed, s.Reason, s.Cause = true, err.Error(), "connection failed"
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		s.ConnectionFailed, s.Reason, s.Cause = true, err.Error(), "answer cut short"
	case resp.Header.Get(problem.HeaderOutcome) != "":
		s.Outcome = outcome.Kind(resp.Header.Get(problem.HeaderOutcome))
		var details problem.Details
		if json.Unmarshal(body, &details) == nil {
			s.Reason = details.Detail
			s.Cause = string(s.Outcome) + ": " + string(details.Reason)
		}
	case resp.StatusCode == http.StatusOK:
		s.Answered = true
		s.WrongBody = string(body) != wanted
	default:
		s.Reason = resp.Status
	}
}

// count returns the number of sendings so far.
func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.sendings)
}

// all returns all sendings.
func (l *load) all() []sending {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sending(nil), l.sendings...)
}

// poison sends a request that crashes the backend server which runs it, and returns what the caller is told.
func (l *load) poison(ctx context.Context) string {
	live := l.d.live()
	if len(live) == 0 {
		return "no VM is live"
	}
	var path string
	for _, r := range l.routes {
		if r.route.Hedge {
			path = r.route.Path
		}
	}
	path = strings.NewReplacer("{record}", "poison", "{day}", "poison", "{site}", "poison").Replace(path)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+live[0].settings.CallerAddress+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Header.Set(backend.HeaderKill, "1")
	s := sending{}
	l.judge(&s, req, "")
	return strings.TrimSpace(fmt.Sprintf("%s %s", s.Outcome, s.Reason))
}

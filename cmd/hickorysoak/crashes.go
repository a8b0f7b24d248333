package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// crashMark in the path of a request makes the backend server that gets it crash.
	crashMark = "crash-"
	// crashRestartTime is the time from such a crash to the next incarnation of the backend server.
	crashRestartTime = 3 * time.Second
	// crashReactionTime is the time after the third crash of a request from which at most maxLateCrashes may follow.
	crashReactionTime = 3 * time.Second
	maxLateCrashes    = 3
)

// crashLog records the crashes by the path of the request that caused them. It is safe for concurrent use.
type crashLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

// record records a crash.
func (l *crashLog) record(path string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = map[string][]time.Time{}
	}
	l.at[path] = append(l.at[path], time.Now())
}

// check adds a violation for each request that crashed too many backend servers, and returns a summary.
func (l *crashLog) check(r *result) (summary string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	crashes, most := 0, 0
	for path, at := range l.at {
		late := 0
		for _, t := range at[min(3, len(at)):] {
			if t.Sub(at[2]) > crashReactionTime {
				late++
			}
		}
		crashes, most = crashes+len(at), max(most, len(at))
		if late > maxLateCrashes {
			r.addViolation("request %s crashed %d backend servers, %d of them later than %s after the third", path, len(at), late, crashReactionTime)
		}
	}
	return fmt.Sprintf("%d backend servers crashed by %d requests, at most %d by one", crashes, len(l.at), most)
}

// crashBackend crashes a backend server when it gets a request that does that, and starts its next incarnation later.
func (e *environment) crashBackend(b *backend, r *http.Request) {
	if !strings.Contains(r.URL.Path, crashMark) {
		return
	}
	e.mu.Lock()
	i := slices.Index(e.backends, b)
	if i >= 0 {
		e.crashes.record(r.URL.Path)
		e.backends = slices.Delete(e.backends, i, i+1)
		e.crashed.Go(func() { e.startAgain(b) })
	}
	e.mu.Unlock()
	b.kill()
	panic(http.ErrAbortHandler)
}

// startAgain starts the next incarnation of a crashed backend server.
func (e *environment) startAgain(b *backend) {
	time.Sleep(crashRestartTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	next, err := e.startBackend(b.id, b.service, "")
	if err != nil {
		panic(err)
	}
	e.registerBackend(next, "ready")
}

// repeatCrashingRequest sends a request that crashes backend servers to one VM after the other for four times d.
func (e *environment) repeatCrashingRequest(random *rand.Rand, d time.Duration) {
	client := &http.Client{Timeout: callerTimeout}
	path, isKeyed := fmt.Sprintf("%s%x", crashMark, random.Uint32()), random.IntN(2) == 0
	for end := time.Now().Add(4 * d); time.Now().Before(end); {
		q := request{id: path, atMostOnce: !isKeyed, key: 7, identity: e.customers.probe()}
		e.sendRequest(client, &result{}, e.vms[random.IntN(len(e.vms))], q)
		time.Sleep(time.Duration(200+random.IntN(800)) * time.Millisecond)
	}
}

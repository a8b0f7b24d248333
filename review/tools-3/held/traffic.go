//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

const (
	longCallers  = 80
	shortCallers = 24
	// longPeriod is the time from one long request of a caller to its next, and shortPeriod that of a short one.
	longPeriod  = 5 * time.Second
	shortPeriod = 600 * time.Millisecond
	// longDelay is how much later the long requests begin, so that the callers of short ones have kept connections by then.
	longDelay = 2 * time.Second
)

// noAnswer is the result of a request whose connection ended without an answer.
const noAnswer = "no answer"

// traffic is the callers' requests and what became of them.
type traffic struct {
	journal *journal
	address string

	mu      sync.Mutex
	answers map[string]int
	lost    []string
}

// run sends requests until their time is over or the process has ended.
func (t *traffic) run(gone <-chan struct{}) {
	t.answers = map[string]int{}
	begin := time.Now()
	var wg sync.WaitGroup
	for i := range longCallers {
		first := begin.Add(longDelay + time.Duration(i)*longPeriod/longCallers)
		wg.Go(func() { t.call(gone, fmt.Sprintf("c0%04x", i), longPath, first, begin.Add(trafficTime), longPeriod) })
	}
	for i := range shortCallers {
		first := begin.Add(time.Duration(i) * shortPeriod / shortCallers)
		wg.Go(func() { t.call(gone, fmt.Sprintf("5e%04x", i), shortPath, first, begin.Add(trafficTime), shortPeriod) })
	}
	wg.Wait()
}

// call sends the requests of one caller, one after the other on a kept connection.
func (t *traffic) call(gone <-chan struct{}, name, path string, first, until time.Time, period time.Duration) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: 2 * routeTimeout}
	next := first
	for n := 0; !waitFor(next, gone) && time.Now().Before(until); n++ {
		next = time.Now().Add(period)
		t.send(client, path, fmt.Sprintf("%s%010x", name, n))
	}
}

// send sends one request and records its result.
func (t *traffic) send(client *http.Client, path, id string) {
	method, size := http.MethodGet, 0
	if path == longPath {
		method, size = http.MethodPost, longBytes
	}
	r, err := http.NewRequest(method, "http://"+t.address+path+id, io.NopCloser(bytes.NewReader(make([]byte, size))))
	if err != nil {
		panic(err)
	}
	// net/http doesn't send a request again whose body it doesn't know: each attempt has its own id.
	r.ContentLength = int64(size)
	isKept := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { isKept = i.Reused }}))
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(routeTimeout.Milliseconds(), 10))
	t.journal.add("caller: %s%s is sent with %d bytes", path, id, size)
	begin := time.Now()
	result, cause := exchange(client, r)
	isLost := path == shortPath && result == noAnswer && isKept && t.journal.hasBegun(id)
	t.journal.add("caller: %s%s: %s after %s, kept connection %t, lost %t %s", path, id, result, time.Since(begin).Round(time.Millisecond), isKept, isLost, cause)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[path+" "+result]++
	if isLost {
		t.lost = append(t.lost, id)
	}
}

// exchange sends a request and reads its answer.
func exchange(client *http.Client, r *http.Request) (result, cause string) {
	answer, err := client.Do(r)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		// The caller has left; its connection wasn't closed by the VM.
		return "given up", err.Error()
	}
	if err != nil {
		return noAnswer, err.Error()
	}
	defer answer.Body.Close()
	if size, err := io.Copy(io.Discard, answer.Body); err != nil {
		return "a part of an answer", fmt.Sprintf("%d bytes: %v", size, err)
	}
	return strconv.Itoa(answer.StatusCode), ""
}

// report records the numbers of answers, and returns those of lost requests and of short ones that were served.
func (t *traffic) report() (lost, served int) {
	for result, n := range t.answers {
		t.journal.add("answers: %s: %d", result, n)
	}
	return len(t.lost), t.answers[shortPath+" "+strconv.Itoa(http.StatusOK)]
}

//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// answer is how a caller's request ended.
type answer struct {
	id, path string
	vm       string
	sentAt   time.Time
	// status is 0 if there was no answer.
	status int
	// isOwn says that the body is that of the request.
	isOwn bool
	// retryAfter is when the caller may come back, as the answer says; 0 if it doesn't.
	retryAfter time.Duration
}

// callers sends the requests of all callers. It is safe for concurrent use.
type callers struct {
	d      *deployment
	client *http.Client
	lastID atomic.Int64

	mu      sync.Mutex
	answers []answer
}

func newCallers(d *deployment) *callers {
	return &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 40, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// send sends one request of a class to a VM and waits for its answer. Each attempt has its own id.
func (c *callers) send(ctx context.Context, v *vm, k class, path string, body []byte) answer {
	id := fmt.Sprintf("%016x", c.lastID.Add(1))
	ctx, cancel := context.WithTimeout(ctx, k.deadline)
	defer cancel()
	a := answer{id: id, path: path, vm: v.name, sentAt: time.Now()}
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+v.caller+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without it, net/http sends no request again.
	r.GetBody = nil
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(k.deadline.Milliseconds()))
	c.d.record.line("request %s is sent to %s %s %s", id, v.name, k.method, path)
	response, err := c.client.Do(r)
	if err == nil {
		text, readErr := io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.isOwn = response.StatusCode, readErr == nil && string(text) == "answer to "+id
		if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
			a.retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	if a.status == http.StatusOK {
		c.d.served.Add(1)
	}
	c.d.record.line("request %s is answered %d", id, a.status)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
	return a
}

// load sends requests of a class at its rate times x, to random VMs out of some, until the context ends.
func (c *callers) load(ctx context.Context, k class, x float64, pick func(*rand.Rand) *vm, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 7))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Duration(random.ExpFloat64() / (k.rate * x) * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		v, path, body := pick(random), fmt.Sprintf("%s%s-%d-%d", k.prefix, k.name, seed, n), make([]byte, k.bodyBytes)
		wg.Go(func() { c.send(context.WithoutCancel(ctx), v, k, path, body) })
	}
}

// anyVM picks any VM.
func (d *deployment) anyVM(random *rand.Rand) *vm { return d.vms[random.IntN(len(d.vms))] }

// classOf returns the class with a name.
func (d *deployment) classOf(name string) class {
	for _, c := range d.layout.classes {
		if c.name == name {
			return c
		}
	}
	panic("there is no class " + name)
}

// counts returns the number of answers by status.
func (c *callers) counts() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[int]int{}
	for _, a := range c.answers {
		out[a.status]++
	}
	return out
}

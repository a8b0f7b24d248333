//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

// signature is the MAC of the stand-in's answers; requesters check only that it is there and belongs to the request.
func signature(attempt string) string { return "3e1b.07.5a2." + attempt }

// isSignature reports whether a MAC belongs to a request: one of the review's stand-ins or of the project's own.
func isSignature(text, attempt string) bool {
	return text == signature(attempt) || text == "signed."+attempt
}

// backend is a sound backend server: it runs each request for a time and answers with the id, its MAC and a whole body.
type backend struct {
	id, service string
	work        time.Duration
	record      *record
	// runs counts the requests that it has run.
	runs atomic.Int64
	// ran holds the ids of these requests.
	ran sync.Map
	// spoils reports whether the answer to a request gets a wrong byte; nil means never.
	spoils func() bool
}

// ServeHTTP runs a request, or answers a health probe.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	h := w.Header()
	h.Set("Instance-Id", b.id)
	h.Set("Attempt-Id", attempt)
	h.Set("Server-Load", "1,0,4,100")
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	b.runs.Add(1)
	b.ran.Store(attempt, true)
	b.record.write("run %s by %s of %s, body %d bytes", attempt, b.id, b.service, size)
	time.Sleep(b.work)
	if b.spoils != nil && b.spoils() {
		b.record.write("answer to %s gets a wrong byte in the name of the MAC's field", attempt)
		h.Set("Response-Signatur!", signature(attempt))
	} else {
		h.Set("Response-Signature", signature(attempt))
	}
	_, _ = fmt.Fprintf(w, "%s ran %s\n", b.service, attempt)
}

// answer is what a requester got.
type answer struct {
	id      string
	sentAt  time.Duration
	status  int
	signed  bool
	service string
	err     error
}

// request is one attempt of a requester.
type request struct {
	method, path string
	body         int
	deadline     time.Duration
	// key is the key of a request to a keyed service, or 0.
	key int
}

// ids numbers the attempts.
var ids atomic.Int64

// send sends a request on a connection of its own and reads the answer.
func send(r *record, v *site.VM, q request) (a answer) {
	a.id = fmt.Sprintf("%016x", 0x1c41d07b00000000+ids.Add(1))
	a.sentAt = r.now()
	r.write("sent %s %s %s to %s, body %d bytes", a.id, q.method, q.path, v.Name, q.body)
	defer func() {
		r.write("answer to %s: status %d, signed %v, by %q, error %v", a.id, a.status, a.signed, a.service, a.err)
	}()
	c, err := net.DialTimeout("tcp", v.Caller, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nConnection: close\r\n", q.method, q.path, site.Host, a.id, q.deadline.Milliseconds())
	if q.key > 0 {
		head += "Shard-Key: " + strconv.Itoa(q.key) + "\r\n"
	}
	if q.body > 0 {
		head += "Content-Length: " + strconv.Itoa(q.body) + "\r\n"
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		// The answer may come before the body is read; it counts then.
		if _, err := io.WriteString(c, head+"\r\n"); err == nil && q.body > 0 {
			_, _ = c.Write(make([]byte, q.body))
		}
	}()
	defer func() { _ = c.Close(); <-written }()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.signed = resp.StatusCode, isSignature(resp.Header.Get("Response-Signature"), a.id)
	if service, _, found := strings.Cut(string(body), " ran "); found && a.status == http.StatusOK {
		a.service = service
	}
	return a
}

// addServers starts sound backend servers of a service, spread over the zones.
func addServers(d *site.Deployment, r *record, service string, count int, work time.Duration) (all []*backend, err error) {
	for i := range count {
		b := &backend{id: fmt.Sprintf("i-%s-%d", service, i), service: service, work: work, record: r}
		if _, err := d.AddServer(b.id, service, zones[i%len(zones)], b); err != nil {
			return nil, err
		}
		all = append(all, b)
	}
	return all, nil
}

// zones are those of the site.
var zones = []string{"amman-a", "zarqa-b", "salt-c"}

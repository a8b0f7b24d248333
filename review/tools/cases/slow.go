//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

const (
	// answerBytes is the length of an answer of the archive, and archivePerSecond the rate of requests for one at the VM: 117 MB a second, below the
	// link's 125.
	answerBytes      = 6_500_000
	archivePerSecond = 18
	// archiveLimit is the time limit of the requests, in which a slow requester has read its answer.
	archiveLimit = 6 * time.Second
	// slowBytesPerSecond is the rate at which a slow requester reads.
	slowBytesPerSecond = 1_150_000
	// windowBytes is the receive buffer of requesters; links have small windows.
	windowBytes = 32 << 10
	// memoryMB is the MemoryMb of the site, 284, taken as mebibytes, in MB of 10^6 bytes.
	memoryMB = 284 * 1.048576
	// maxLost is the number of lost requests that the rule allows.
	maxLost = 3
)

// archive is a sound backend server with long answers.
type archive struct {
	id     string
	body   []byte
	record *record
}

// ServeHTTP answers a request for an archived reading.
func (a *archive) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Instance-Id", a.id)
	h.Set("Attempt-Id", attempt)
	if r.URL.Path == "/health" {
		return
	}
	a.record.write("run %s by %s of sitelog", attempt, a.id)
	h.Set("Response-Signature", signature(attempt))
	h.Set("Content-Length", fmt.Sprint(len(a.body)))
	_, _ = w.Write(a.body)
}

// playSlow lets requesters read their answers slowly, but within their time limit. Bystanders send bookings on connections that they keep.
func playSlow(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	for i := range 8 {
		id := fmt.Sprintf("i-archive-%d", i)
		if _, err := d.AddServer(id, "sitelog", zones[i%len(zones)], &archive{id, make([]byte, answerBytes), r}); err != nil {
			return false, err
		}
	}
	desks, err := addServers(d, r, "certworks", 8, 120*time.Millisecond)
	if err != nil {
		return false, err
	}
	ran := func() (n int64) {
		for _, b := range desks {
			n += b.runs.Load()
		}
		return n
	}
	hasRun := func(id string) bool {
		for _, b := range desks {
			if _, found := b.ran.Load(id); found {
				return true
			}
		}
		return false
	}
	d.Configure([]site.Service{{Name: "sitelog"}, {Name: "certworks"}}, []site.Route{
		{Prefix: "/leny950/", Service: "sitelog", Idempotent: true, Timeout: archiveLimit}, {Prefix: "/puka111/", Service: "certworks", Timeout: 2500 * time.Millisecond},
	}, site.DefaultMaxBody)
	d.Memory = "284MB"
	if err := d.AddVM("edge-scot-a-1", "scot-a"); err != nil {
		return false, err
	}
	v := d.VMs[0]
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var lost, booked, whole, other, most atomic.Int64
	var killed atomic.Bool
	wg.Go(func() {
		// The platform kills a process that exceeds its memory.
		for ctx.Err() == nil && !killed.Load() {
			mb := v.ResidentMB()
			most.Store(max(most.Load(), int64(mb)))
			if mb > memoryMB {
				r.note("the VM holds %.0f MB, more than %.0f: it is killed", mb, memoryMB)
				killed.Store(true)
				v.Signal(syscall.SIGKILL)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	for range 20 {
		wg.Go(func() { book(ctx, r, v, hasRun, &killed, &booked, &lost) })
	}
	ticker := time.NewTicker(time.Second / archivePerSecond)
	defer ticker.Stop()
	for ctx.Err() == nil && !killed.Load() {
		<-ticker.C
		wg.Go(func() {
			if readArchive(r, v, trouble) {
				whole.Add(1)
			} else {
				other.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	cancel()
	wg.Wait()
	r.note("archive: whole answers %d, others %d; bookings answered %d, run %d; most memory %d MB", whole.Load(), other.Load(), booked.Load(), ran(), most.Load())
	r.note("bookings that were passed on and whose kept connection was closed without an answer: %d", lost.Load())
	if booked.Load() == 0 || whole.Load() == 0 && !killed.Load() {
		return false, fmt.Errorf("no request was served")
	}
	return lost.Load() > maxLost, nil
}

// book sends bookings on a kept connection until the context ends or the VM is killed. One that a backend server has run, and whose connection ends
// without an answer as the VM is killed, counts as lost.
func book(ctx context.Context, r *record, v *site.VM, hasRun func(id string) bool, killed *atomic.Bool, booked, lost *atomic.Int64) {
	c, err := net.DialTimeout("tcp", v.Caller, time.Second)
	if err != nil {
		return
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for ctx.Err() == nil {
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+ids.Add(1))
		_ = c.SetDeadline(time.Now().Add(2500 * time.Millisecond))
		r.write("sent booking %s to %s", id, v.Name)
		_, _ = fmt.Fprintf(c, "POST /puka111/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n", site.Host, id)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			r.write("booking %s: %v", id, err)
			if killed.Load() && hasRun(id) {
				lost.Add(1)
			}
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		r.write("booking %s: status %d", id, resp.StatusCode)
		booked.Add(1)
		time.Sleep(20 * time.Millisecond)
	}
}

// readArchive requests a long answer and reads it, slowly or at once, and reports whether it was whole.
func readArchive(r *record, v *site.VM, slowly bool) (isWhole bool) {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+ids.Add(1))
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		_ = raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, windowBytes)
		})
		return err
	}}
	c, err := dialer.Dial("tcp", v.Caller)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(archiveLimit))
	r.write("sent %s to %s", id, v.Name)
	_, _ = fmt.Fprintf(c, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nConnection: close\r\n\r\n", site.Host, id, archiveLimit.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.write("archive %s: %v", id, err)
		return false
	}
	defer resp.Body.Close()
	began, n := time.Now(), 0
	buffer := make([]byte, 16<<10)
	for {
		got, err := resp.Body.Read(buffer)
		n += got
		if err != nil {
			r.write("archive %s: status %d, %d bytes, %v", id, resp.StatusCode, n, err)
			return err == io.EOF && n == answerBytes
		}
		if ahead := time.Duration(float64(n)/slowBytesPerSecond*float64(time.Second)) - time.Since(began); slowly && ahead > 0 {
			time.Sleep(ahead)
		}
	}
}

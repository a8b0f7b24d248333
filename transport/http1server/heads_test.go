package http1server_test

import (
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// liveHeap returns the bytes of the heap once their number doesn't change any more.
func liveHeap() uint64 {
	var m runtime.MemStats
	for last := uint64(0); ; last = m.HeapAlloc {
		runtime.GC()
		runtime.ReadMemStats(&m)
		if last > 0 && max(m.HeapAlloc, last)-min(m.HeapAlloc, last) < 1<<20 {
			return m.HeapAlloc
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Callers may send heads that don't end. Many of them at the same time must not fill the memory of the VM.
func TestEndlessHeadsOfCallersShareAQuota(t *testing.T) {
	const (
		connections = 200
		limit       = 256 << 10
		// memory is that of the smallest VM, and maxHeld half of the soft limit for its heap.
		memory  = 144 << 20
		maxHeld = memory * 6 / 10 / 2
	)
	i := is.New(t)
	quota := http1.NewQuota(memory / 8)
	server := http1server.New(http.NotFoundHandler(), http1server.WithTimeouts(time.Minute, 0, time.Minute),
		http1server.WithMaxHeaderBytes(limit), http1server.WithQuota(quota))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for n := 0; b.Len() < limit-8192; n++ {
		b.WriteString("a" + strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	text := b.String()
	before := liveHeap()
	var sent sync.WaitGroup
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		i.NoErr(err)
		defer c.Close()
		sent.Go(func() {
			// An error means that the server has closed the connection.
			_, _ = c.Write([]byte(text))
		})
	}
	sent.Wait()
	now := liveHeap()
	held := now - min(before, now)
	t.Logf("%d connections hold %.1f MB", connections, float64(held)/(1<<20))
	i.True(held < maxHeld)
	i.NoErr(server.Close())
	i.True(errors.Is(<-served, http.ErrServerClosed))
	for deadline := time.Now().Add(10 * time.Second); quota.Used() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	i.Equal(quota.Used(), int64(0))
}

// A long head counts until its request is answered, and bodies don't count.
func TestLongHeadsOfCallersAreServed(t *testing.T) {
	i := is.New(t)
	quota := http1.NewQuota(1 << 20)
	used := make(chan int64, 4)
	server := http1server.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = http1.ReadBody(r.Body, 1<<20, nil)
		used <- quota.Used()
	}), http1server.WithMaxHeaderBytes(256<<10), http1server.WithQuota(quota))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	defer func() {
		i.NoErr(server.Close())
		i.True(errors.Is(<-served, http.ErrServerClosed))
	}()
	send := func(header string) error {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String(), strings.NewReader(strings.Repeat("b", 100000)))
		i.NoErr(err)
		r.Header.Set("X-Long", header)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return errors.Newf("status %d", resp.StatusCode)
		}
		return nil
	}
	i.NoErr(send("short"))
	i.Equal(<-used, int64(0))
	for range 3 {
		i.NoErr(send(strings.Repeat("x", 60000)))
		i.True(<-used > 0)
	}
	i.True(send(strings.Repeat("x", 120000)) != nil)
}

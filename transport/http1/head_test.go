package http1_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/http1"
)

// serveBeginning starts a server that answers each request with text, in pieces, and then keeps the connection open until the test ends. It
// returns the address and the number of connections to which the whole text was written.
func serveBeginning(t *testing.T, text string) (address string, written *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	written = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := io.ReadAtLeast(c, make([]byte, 1024), 1); err != nil {
					return
				}
				if _, err := io.WriteString(c, text); err == nil {
					written.Add(1)
				}
			}()
		}
	}()
	return l.Addr().String(), written
}

// distinctFields returns short fields with different names.
func distinctFields(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length; i++ {
		b.WriteString("a" + strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return b.String()[:length]
}

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

// Faulty backend servers may send heads that don't end. Many attempts at them at the same time must not fill the memory of the VM.
func TestEndlessHeadsShareAQuota(t *testing.T) {
	const (
		attempts = 400
		sent     = 120 << 10
		// memory is that of the smallest VM, and maxHeld half of the soft limit for its heap.
		memory  = 144 << 20
		maxHeld = memory * 6 / 10 / 2
	)
	tests := map[string]string{
		"status line":     "HTTP/1.1 200 " + strings.Repeat("x", sent),
		"field value":     "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", sent),
		"many fields":     "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", sent/6),
		"empty fields":    "HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\r\n", sent/4),
		"distinct fields": "HTTP/1.1 200 OK\r\n" + distinctFields(sent),
		"zero bytes":      strings.Repeat("\x00", sent),
		"first 30 KB":     "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 30<<10),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, written := serveBeginning(t, text)
			quota := http1.NewQuota(memory / 8)
			client := http1.NewClient(http1.WithQuota(quota), http1.WithDialTimeout(time.Minute))
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			before := liveHeap()
			var ended atomic.Int64
			var running sync.WaitGroup
			for range attempts {
				running.Go(func() {
					defer ended.Add(1)
					_, err := client.Do(ctx, http1.Request{Address: address, Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}})
					if err == nil {
						t.Error("a head without an end was taken for a response")
					}
				})
			}
			for ended.Load()+written.Load() < attempts && ctx.Err() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			now := liveHeap()
			held := now - min(before, now)
			cancel()
			running.Wait()
			t.Logf("%d attempts hold %.1f MB", attempts, float64(held)/(1<<20))
			is.True(held < maxHeld)
			is.Equal(quota.Used(), int64(0))
		})
	}
}

// When the quota is used up, an attempt with a long head fails, and one with a usual head doesn't.
func TestLongHeadsBeyondTheQuotaFail(t *testing.T) {
	is := is.New(t)
	quota := http1.NewQuota(512 << 10)
	client := http1.NewClient(http1.WithQuota(quota), http1.WithDialTimeout(time.Minute))
	long, _ := serveBeginning(t, "HTTP/1.1 200 OK\r\nA: "+strings.Repeat("x", 30<<10))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const attempts = 40
	failed := make(chan error, attempts)
	for range attempts {
		go func() {
			_, err := client.Do(ctx, http1.Request{Address: long, Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}})
			failed <- err
		}()
	}
	err := <-failed
	is.True(errors.Is(err, http1.ErrQuota))
	is.True(http1.WasSent(err))
	is.True(quota.Used() <= 512<<10)
	s := serve(t, response("1", "one"))
	resp, err := client.Do(ctx, request(s, "1"))
	body, err := read(t, resp, err)
	is.NoErr(err)
	is.Equal(body, "one")
	cancel()
	for range attempts - 1 {
		is.True(<-failed != nil)
	}
	is.Equal(quota.Used(), int64(0))
}

// A head that is read in several parts, and the bytes after it, are read as if they had come at once.
func TestLongHeads(t *testing.T) {
	for _, length := range []int{1, 3900, 4000, 4010, 4020, 4030, 4040, 4050, 4060, 4096, 8000, 8192, 16000, 31 << 10} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			is := is.New(t)
			body := strings.Repeat("b", 5000)
			head := "X-Id: 1\r\nX-Long: " + strings.Repeat("x", length) + "\r\n"
			text := "HTTP/1.1 103 Early Hints\r\n" + head + "\r\nHTTP/1.1 200 OK\r\n" + head + "Content-Length: 5000\r\n\r\n" + body
			s := serve(t, text, text)
			quota := http1.NewQuota(1 << 20)
			client := http1.NewClient(http1.WithQuota(quota))
			for range 2 {
				resp, err := client.Do(t.Context(), request(s, "1"))
				is.NoErr(err)
				is.Equal(len(resp.Header.Get("X-Long")), length)
				got, err := http1.ReadBody(resp.Body, 1<<20, nil)
				is.NoErr(err)
				is.Equal(string(got), body)
				is.NoErr(resp.Body.Close())
				is.Equal(quota.Used(), int64(0))
			}
			is.Equal(client.OpenedConnections(), int64(1))
		})
	}
}

// Bytes that can't be the beginning of a head end the attempt at once, and their text isn't repeated in full.
func TestMalformedHeadsEndAttemptsAtOnce(t *testing.T) {
	tests := map[string]string{
		"zero byte":                  "\x00",
		"other protocol":             "SSH-2.0-x",
		"no status":                  "HTTP/1.1 abc\r\n",
		"status 000":                 "HTTP/1.1 000 Trouble\r\n",
		"status 099":                 "HTTP/1.1 099 Trouble\r\n",
		"status with a sign":         "HTTP/1.1 +99 Trouble\r\n",
		"second head with status 0":  "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Trouble\r\n",
		"field without colon":        "HTTP/1.1 200 OK\r\nabc\r\n",
		"blank in a name":            "HTTP/1.1 200 OK\r\nX Name: a\r\n",
		"blank before the colon":     "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
		"tab before the colon":       "HTTP/1.1 200 OK\r\nContent-Length\t: 4\r\n",
		"control byte in a name":     "HTTP/1.1 200 OK\r\nX-\x01: a\r\n",
		"byte above 127 in a name":   "HTTP/1.1 200 OK\r\nX-\xe9: a\r\n",
		"no name":                    "HTTP/1.1 200 OK\r\n: a\r\n",
		"in a second head":           "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX Name: a\r\n",
		"in an informational head":   "HTTP/1.1 103 Early Hints\r\nX Name: a\r\n",
		"field with long odd name":   "HTTP/1.1 200 OK\r\n" + strings.Repeat("\x00", 20000) + ": a\r\n\r\n",
		"status line with long text": "HTTP/1.1 200" + strings.Repeat("\x00", 20000) + "\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, _ := serveBeginning(t, text)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := http1.NewClient().Do(ctx, http1.Request{Address: address, Method: http.MethodGet, Target: "/a", Host: "h", Header: http.Header{}})
			is.True(err != nil)
			is.NoErr(ctx.Err())
			is.True(len(err.Error()) < 1000)
		})
	}
}

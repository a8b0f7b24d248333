package edge_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
)

// addCrashingServer starts a backend server of the service billing that crashes when it gets a request for /renew/crash, and counts the
// crash.
func (s *site) addCrashingServer(name string, crashes *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if strings.HasPrefix(r.URL.Path, "/renew/crash") {
					crashes.Add(1)
					_ = l.Close()
					s.store.Remove("servers/" + name)
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Attempt-Id"))
			}()
		}
	}()
	s.store.Put("servers/"+name, []byte(fmt.Sprintf(
		`{"Service":"billing","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`, l.Addr())))
}

// crashRecords returns the records of crashes in the store.
func (s *site) crashRecords() (records []fleet.Crash) {
	for key, value := range s.store.Values("hickorylug/crashes/") {
		r, err := fleet.DecodeCrash(value)
		if err != nil {
			s.t.Errorf("%s: %v", key, err)
		}
		records = append(records, r)
	}
	return records
}

// A request that has crashed two backend servers must be refused by VMs that started after the crashes.
func TestCrashesAreKnownAfterRestartsOfAllVMs(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	var crashes atomic.Int64
	for i := range 3 {
		s.store.Remove(fmt.Sprintf("servers/p-%d", i))
		s.addCrashingServer(fmt.Sprintf("c-%d", i), &crashes)
	}
	s.startVM(0)
	const maxWait = time.Minute
	start := time.Now()
	for n := range 4 {
		for i := 0; ; i++ {
			if status, _ := s.sendRequest(n, http.MethodPost, "/renew/x", fmt.Sprint("await", n, i), nil, "x"); status == http.StatusOK {
				break
			}
			is.True(time.Since(start) < maxWait)
			time.Sleep(pollPeriod)
		}
		status, _ := s.sendRequest(n, http.MethodPost, "/renew/crash", fmt.Sprint("crash", n), nil, "x")
		if n < 2 {
			is.Equal(status, http.StatusBadGateway)
		} else {
			is.Equal(status, http.StatusServiceUnavailable)
		}
		for int64(len(s.crashRecords())) < crashes.Load() {
			is.True(time.Since(start) < maxWait)
			time.Sleep(pollPeriod)
		}
		s.stopVM(n)
		s.startVM(n + 1)
	}
	is.Equal(crashes.Load(), int64(2))
}

//go:build review

package main

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

const (
	// connectionsPerSecond is the rate of new connections at one VM, each for one request: the 335 requests a second of the site, spread over the 7 VMs
	// that are left while a zone is lost, are 48 at each on average, and the share of a VM is uneven.
	connectionsPerSecond = 56
	// idleTimeout is the IdleTimeoutS of the configuration.
	idleTimeout = 15 * time.Second
	// descriptors is the MaxFds of the site.
	descriptors = 4100
	// stableWindow is StableWindowS, and minRequesters the number of requesters that must try meanwhile.
	stableWindow  = 3 * time.Second
	minRequesters = 7
	playTime      = 100 * time.Second
)

// attempt is a new connection of a requester.
type attempt struct {
	at    time.Duration
	taken bool
}

// playIdle lets requesters open a connection for each request and leave it open and idle for longer than IdleTimeoutS. Without trouble, they close
// it at IdleTimeoutS.
func playIdle(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := addServers(d, r, "sheetdesk", 8, 30*time.Millisecond); err != nil {
		return false, err
	}
	d.Configure([]site.Service{{Name: "sheetdesk"}}, []site.Route{{Prefix: "/leny950/", Service: "sheetdesk", Idempotent: true, Timeout: 2 * time.Second}}, site.DefaultMaxBody)
	if err := d.AddVM("edge-scot-a-1", "scot-a"); err != nil {
		return false, err
	}
	v := d.VMs[0]
	if err := v.LimitDescriptors(descriptors); err != nil {
		return false, err
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var attempts []attempt
	var open []net.Conn
	notReady := []time.Duration{}
	until := time.Now().Add(playTime - r.now())
	var wg sync.WaitGroup
	wg.Go(func() {
		// The platform asks each second, on a connection that it keeps.
		for time.Now().Before(until) {
			if !isReady(v) {
				mu.Lock()
				notReady = append(notReady, r.now())
				mu.Unlock()
				r.note("the VM doesn't say that it is ready")
			}
			time.Sleep(time.Second)
		}
	})
	ticker := time.NewTicker(time.Second / connectionsPerSecond)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until); n++ {
		<-ticker.C
		wg.Go(func() {
			a, c := connect(r, v)
			mu.Lock()
			attempts = append(attempts, a)
			if c != nil {
				open = append(open, c)
			}
			mu.Unlock()
			if c != nil && !trouble {
				time.AfterFunc(idleTimeout, func() { _ = c.Close() })
			}
		})
		if n%(10*connectionsPerSecond) == 0 {
			r.note("new connections %d, descriptors in use %d", n, v.Descriptors())
		}
	}
	wg.Wait()
	for _, c := range open {
		_ = c.Close()
	}
	longest := longestRefusal(r, attempts, notReady)
	r.note("longest time in which the VM said that it was ready and took no new connection, while %d requesters or more tried: %s", minRequesters, longest)
	return longest >= stableWindow, nil
}

// platform is the client of the readiness check.
var platform = &http.Client{Timeout: time.Second}

func isReady(v *site.VM) bool {
	resp, err := platform.Get("http://" + v.Ready + "/hickorylug/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// connect opens a connection, sends a request and reads the answer. A connection counts as taken if it gets any answer within two seconds.
func connect(r *record, v *site.VM) (a attempt, c net.Conn) {
	a.at = r.now()
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+ids.Add(1))
	c, err := net.DialTimeout("tcp", v.Caller, time.Second)
	if err != nil {
		r.write("connection for %s: %v", id, err)
		return a, nil
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(c, "GET /leny950/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n", site.Host, id)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.write("sent %s on a new connection: %v", id, err)
		_ = c.Close()
		return a, nil
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	r.write("sent %s on a new connection: status %d, error %v", id, resp.StatusCode, err)
	a.taken = true
	return a, c
}

// longestRefusal returns the longest time between two connections that were taken, or until the last attempt, in which enough requesters tried and
// the platform always heard that the VM was ready.
func longestRefusal(r *record, attempts []attempt, notReady []time.Duration) (longest time.Duration) {
	var refused []time.Duration
	check := func() {
		if len(refused) >= minRequesters {
			from, to := refused[0], refused[len(refused)-1]
			for _, at := range notReady {
				if at >= from-time.Second && at <= to+time.Second {
					return
				}
			}
			if to-from > longest {
				longest = to - from
				r.note("no new connection was taken from %.1f s to %.1f s, %d requesters tried", from.Seconds(), to.Seconds(), len(refused))
			}
		}
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return cmp.Compare(a.at, b.at) })
	for _, a := range attempts {
		if !a.taken {
			refused = append(refused, a.at)
			continue
		}
		check()
		refused = nil
	}
	check()
	return longest
}

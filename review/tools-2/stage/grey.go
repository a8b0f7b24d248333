//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// greyTime is the time for which a backend server is grey, and greyShare the share of its requests that fail then.
	greyTime  = 6500 * time.Millisecond
	greyShare = 0.45
	// bookingRetries is the number of retries of a caller.
	bookingRetries = 2
)

// playGrey lets one backend server out of eight run requests and then answer part of them with 503, without Not-Executed.
func playGrey(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	c := newCallers(d)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i, k := range d.layout.classes {
		if k.isIdempotent {
			wg.Go(func() { c.load(loadCtx, k, 1, d.anyVM, uint64(i+1)) })
		}
	}
	wg.Go(func() { c.book(loadCtx, d.classOf("cert-issue")) })
	time.Sleep(5 * time.Second)
	if trouble {
		for _, b := range d.allBackends() {
			if b.service.name != "certworks" {
				continue
			}
			d.record.line("%s turns grey for %s", b.id, greyTime)
			b.mu.Lock()
			b.fails = func() bool { return rand.Float64() < greyShare }
			b.mu.Unlock()
			time.AfterFunc(greyTime, func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				b.fails = nil
			})
			break
		}
	}
	time.Sleep(greyTime + 2*time.Second)
	stop()
	wg.Wait()
	return checkGrey(d, c), nil
}

// book sends bookings at the rate of a class. A caller asks again, with another id, after an answer that promises that the request has not run.
func (c *callers) book(ctx context.Context, k class) {
	random := rand.New(rand.NewPCG(3, 5))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second))):
		case <-ctx.Done():
			return
		}
		first, path := random.IntN(len(c.d.vms)), fmt.Sprintf("%sbooking-%d", k.prefix, n)
		wg.Go(func() {
			for i := range 1 + bookingRetries {
				a := c.send(context.WithoutCancel(ctx), c.d.vms[(first+i)%len(c.d.vms)], k, path, make([]byte, k.bodyBytes))
				if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests || a.retryAfter > k.deadline/3 {
					return
				}
				time.Sleep(max(a.retryAfter, 50*time.Millisecond))
			}
		})
	}
}

// checkGrey counts the requests that may run once only and were answered with a promise that they have not run, though they have.
func checkGrey(d *deployment, c *callers) (broken []string) {
	ran, runs := map[string]bool{}, map[string]int{}
	for _, b := range d.allBackends() {
		for _, a := range b.all() {
			if a.ran && strings.HasPrefix(a.path, "/certs/") {
				ran[a.id] = true
				runs[a.path]++
			}
		}
	}
	promised, twice := 0, 0
	for _, a := range c.answers {
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if ran[a.id] {
				promised++
			}
		}
	}
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	d.record.result("%d requests that may run once only were answered 429, 503, 408 or 421 and have run; %d bookings ran more than once as their callers asked again; answers by status: %v", promised, twice, c.counts())
	if promised > 0 {
		broken = append(broken, fmt.Sprintf("REFUSED: %d requests that aren't idempotent were answered with a promise that they have not run, and have run", promised))
	}
	return broken
}

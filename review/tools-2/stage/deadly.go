//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// crashDownTime is the time after which a crashed backend server is back: "after some seconds".
	crashDownTime = 2 * time.Second
	// deadlyPeriod is the time after which a deadly request comes again.
	deadlyPeriod = 750 * time.Millisecond
	// deadlyTraffic is the share of the sheet's traffic that comes beside them, so that a deadly request is less than 3 in 100 of the requests of its class.
	deadlyTraffic = 0.7
	// deadlyRetries is the number of retries of a caller.
	deadlyRetries = 2
	// deadlyTime is the time for which deadly requests come.
	deadlyTime = 20 * time.Second
	// stableWindow is the bound StableWindowS, and maxLateRetries the number of retries that the rule allows after it.
	stableWindow   = 3 * time.Second
	maxLateRetries = 3
)

// playDeadly lets two requests crash the backend servers that run them, each of its own service. Each comes again at any VM.
func playDeadly(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	c := newCallers(d)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i, k := range d.layout.classes {
		wg.Go(func() { c.load(loadCtx, k, deadlyTraffic, d.anyVM, uint64(i+1)) })
	}
	time.Sleep(4 * time.Second)
	if trouble {
		var deadly sync.WaitGroup
		for i, name := range []string{"cert-issue", "sheet-read"} {
			k := d.classOf(name)
			deadly.Go(func() {
				time.Sleep(time.Duration(i) * deadlyPeriod / 2)
				for n, began := 0, time.Now(); time.Since(began) < deadlyTime && ctx.Err() == nil; n++ {
					wg.Go(func() { c.sendDeadly(ctx, k, n*3+i) })
					time.Sleep(deadlyPeriod)
				}
			})
		}
		deadly.Wait()
	} else {
		time.Sleep(deadlyTime)
	}
	stop()
	wg.Wait()
	if err := checkShares(d, c); err != nil {
		return nil, err
	}
	return checkDeadly(d, c), nil
}

// sendDeadly sends a deadly request. Its caller comes back after a refusal when it is told to, each time at another VM, if that is within a third of the
// time that it has left.
func (c *callers) sendDeadly(ctx context.Context, k class, n int) {
	for i := range 1 + deadlyRetries {
		a := c.send(ctx, c.d.vms[(n+i)%len(c.d.vms)], k, k.prefix+"deadly", make([]byte, k.bodyBytes))
		if a.status != http.StatusServiceUnavailable || a.retryAfter > k.deadline/3 {
			return
		}
		time.Sleep(max(a.retryAfter, 50*time.Millisecond))
	}
}

// maxShare is the share of the requests of a class that a deadly request may be.
const maxShare = 0.03

// checkShares returns an error if a deadly request was a larger share of its class than it may be, from its first to its last sending.
func checkShares(d *deployment, c *callers) error {
	for _, k := range d.layout.classes {
		var first, last time.Time
		for _, a := range c.answers {
			if a.path == k.prefix+"deadly" {
				if first.IsZero() || a.sentAt.Before(first) {
					first = a.sentAt
				}
				if a.sentAt.After(last) {
					last = a.sentAt
				}
			}
		}
		deadly, all := 0, 0
		for _, a := range c.answers {
			if strings.HasPrefix(a.path, k.prefix) && !a.sentAt.Before(first) && !a.sentAt.After(last) {
				all++
				if a.path == k.prefix+"deadly" {
					deadly++
				}
			}
		}
		if deadly == 0 {
			continue
		}
		share := float64(deadly) / float64(all)
		d.record.result("deadly requests are %d of %d %s, a share of %.4f", deadly, all, k.name, share)
		if share > maxShare {
			return fmt.Errorf("the share is above %.2f", maxShare)
		}
	}
	return nil
}

// checkDeadly counts the arrivals of each deadly request later than stableWindow after it crashed its third backend server.
func checkDeadly(d *deployment, c *callers) (broken []string) {
	runs, lost := map[string][]arrival{}, 0
	for _, b := range d.allBackends() {
		for _, a := range b.all() {
			switch {
			case strings.Contains(a.path, "deadly"):
				runs[a.path] = append(runs[a.path], a)
			case a.ran && !a.answered && b.hasEnded() && strings.HasPrefix(a.path, "/certs/"):
				lost++
			}
		}
	}
	for path, all := range runs {
		sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		var crashes []time.Time
		for _, a := range all {
			if a.ran {
				crashes = append(crashes, a.at)
			}
		}
		late := 0
		for _, a := range all {
			if len(crashes) >= 3 && a.at.After(crashes[2].Add(stableWindow)) {
				late++
			}
		}
		d.record.result("%s reached backend servers %d times and crashed %d; %d times later than %s after the third crash", path, len(all), len(crashes), late, stableWindow)
		if late > maxLateRetries {
			broken = append(broken, fmt.Sprintf("BUDGET: %s reached backend servers in %d retries later than %s after it had crashed the third", path, late, stableWindow))
		}
	}
	d.record.result("%d requests that may run once only and had begun to run were lost as their backend servers crashed; answers by status: %v", lost, c.counts())
	return broken
}

//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// observeTime is the time from the disruption to the checks.
const observeTime = 7 * time.Second

// burstX is how many times the usual traffic comes for burstTime, from burstBefore before the disruption on.
const (
	burstClass  = "sheet-read"
	burstX      = 1.7
	burstTime   = 3 * time.Second
	burstBefore = 1500 * time.Millisecond
)

// turnDelay is the time from the silence of the connection until the backend server turns cold.
const turnDelay = 10 * time.Millisecond

// playCold turns a backend server cold under load, right after the connection with the leader's watch of the store has gone silent.
func playCold(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	c := newCallers(d)
	leader, err := d.awaitLeader()
	if err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i, k := range d.layout.classes {
		wg.Go(func() { c.load(loadCtx, k, 1, d.anyVM, uint64(i+1)) })
	}
	time.Sleep(6*time.Second - burstBefore)
	d.record.line("a burst of %s begins", burstClass)
	burstCtx, endBurst := context.WithTimeout(loadCtx, burstTime)
	defer endBurst()
	wg.Go(func() { c.load(burstCtx, d.classOf(burstClass), burstX-1, d.anyVM, 9) })
	time.Sleep(burstBefore)
	if trouble {
		if err := silenceWatch(d, leader); err != nil {
			return nil, err
		}
	}
	time.Sleep(turnDelay)
	busiest, most := d.busiest()
	if busiest == nil {
		return nil, errors.New("no backend server has work")
	}
	d.turnCold(busiest)
	time.Sleep(observeTime)
	stop()
	wg.Wait()
	worst := mostWithinASecond(busiest.all(), c.answers)
	bound := busiest.service.warmupRate*1.5 + 5
	d.record.result("%s got %d requests in one second while it was cold; the bound is %.2f; it had %d in 2 s before; answers by status: %v", busiest.id, worst, bound, most, c.counts())
	if float64(worst) > bound {
		broken = append(broken, fmt.Sprintf("FAILBACK: a cold backend server got %d requests in one second; %.2f are allowed", worst, bound))
	}
	return broken, nil
}

// awaitLeader waits until there is a leader.
func (d *deployment) awaitLeader() (leader *vm, err error) {
	for range 100 {
		if leader = d.leader(); leader != nil {
			return leader, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil, errors.New("there is no leader")
}

// busiest returns the backend server of sheetdesk that has got most requests in the last 2 s, and their number.
func (d *deployment) busiest() (busiest *backend, most int) {
	for _, b := range d.allBackends() {
		n := 0
		for _, a := range b.all() {
			if b.service.name == sheetdesk && time.Since(a.at) < 2*time.Second {
				n++
			}
		}
		if n > most {
			busiest, most = b, n
		}
	}
	return busiest, most
}

// turnCold turns a backend server cold. It says so at once in its entry and its health responses.
func (d *deployment) turnCold(b *backend) {
	d.record.line("%s turns cold", b.id)
	b.mu.Lock()
	b.coldUntil = time.Now().Add(b.service.warmup)
	b.mu.Unlock()
	d.register(b, b.service.warmup)
}

// mostWithinASecond returns the highest number of requests that were sent by their callers and arrived at a cold backend server inside one second.
func mostWithinASecond(arrivals []arrival, answers []answer) (most int) {
	sentAt := map[string]time.Time{}
	for _, a := range answers {
		sentAt[a.id] = a.sentAt
	}
	var cold []arrival
	for _, a := range arrivals {
		if _, known := sentAt[a.id]; known && a.wasCold {
			cold = append(cold, a)
		}
	}
	for _, first := range cold {
		begin, n := sentAt[first.id], 0
		for _, a := range cold {
			if !sentAt[a.id].Before(begin) && a.at.Before(begin.Add(time.Second)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// silenceWatch makes the open connection on which the leader watches the store go silent.
func silenceWatch(d *deployment, leader *vm) error {
	for i := 0; !leader.storeLink.silenceWatch(); i++ {
		if i == 200 {
			return fmt.Errorf("%s, the leader, doesn't watch the store", leader.name)
		}
		time.Sleep(5 * time.Millisecond)
	}
	d.record.line("the open connection on which %s, the leader, watches the store goes silent; all others, and new ones, work", leader.name)
	return nil
}

//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

const (
	// spoiltServers is the share of backend servers that hand out wrong bytes, and spoiltAnswers the part of their answers that get one.
	spoiltServers = 0.35
	spoiltAnswers = 0.02
)

// playUnsigned lets some backend servers hand out answers in which one byte of the head is wrong: the MAC's field has another name.
func playUnsigned(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	servers, err := addServers(d, r, "billing", 6, 40*time.Millisecond)
	if err != nil {
		return false, err
	}
	if trouble {
		for _, b := range servers[:int(spoiltServers*float64(len(servers)))] {
			b.spoils = func() bool { return rand.Float64() < spoiltAnswers }
			r.note("%s hands out wrong bytes in %v of its answers", b.id, spoiltAnswers)
		}
	}
	d.Configure([]site.Service{{Name: "billing"}}, []site.Route{{Prefix: "/puka111/", Service: "billing", Timeout: 1200 * time.Millisecond}}, site.DefaultMaxBody)
	for i := range 3 {
		if err := d.AddVM(fmt.Sprintf("edge-%s-%d", zones[i], i), zones[i]); err != nil {
			return false, err
		}
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	successes, unsigned := 0, 0
	var requesters sync.WaitGroup
	until := time.Now().Add(40 * time.Second)
	for i := range 6 {
		requesters.Go(func() {
			for time.Now().Before(until) {
				a := send(r, d.VMs[i%len(d.VMs)], request{method: "POST", path: "/puka111/2f", body: 300, deadline: 1200 * time.Millisecond})
				mu.Lock()
				if a.status/100 == 2 {
					successes++
					if !a.signed {
						unsigned++
						r.note("the requester of %s got a success without the MAC", a.id)
					}
				}
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	requesters.Wait()
	r.note("successes %d, without the MAC %d", successes, unsigned)
	if successes == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return unsigned > 0, nil
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

const mebibyte = 1 << 20

// playLimit raises MaxBodyBytes by a change of the configuration and sends requests that only the new version allows.
func playLimit(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	if _, err := addServers(d, r, "certworks", 4, 40*time.Millisecond); err != nil {
		return false, err
	}
	configure := func(maxBody int) {
		d.Configure([]site.Service{{Name: "certworks"}}, []site.Route{{Prefix: "/puka111/", Service: "certworks", Timeout: 2 * time.Second}}, maxBody)
		r.note("the store has confirmed a version with MaxBodyBytes %d", maxBody)
	}
	configure(4 * mebibyte)
	for i := range 2 {
		if err := d.AddVM(fmt.Sprintf("edge-%s-%d", zones[i], i), zones[i]); err != nil {
			return false, err
		}
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	// count sends requests with bodies of a size and returns how many were answered with 413.
	count := func(requests, size int) (denied int) {
		for i := range requests {
			a := send(r, d.VMs[i%len(d.VMs)], request{method: "POST", path: "/puka111/2f", body: size, deadline: 2500 * time.Millisecond})
			if a.status == http.StatusRequestEntityTooLarge {
				denied++
			}
			time.Sleep(150 * time.Millisecond)
		}
		return denied
	}
	small := count(20, 3*mebibyte)
	if trouble {
		configure(site.DefaultMaxBody)
	}
	time.Sleep(configApply + maxStretch)
	const requests, size = 40, 9 * mebibyte
	denied := count(requests, size)
	r.note("bodies of 3 MiB: %d of 20 answered with 413; bodies of 9 MiB: %d of %d answered with 413", small, denied, requests)
	if !trouble {
		// The configuration doesn't allow the larger bodies, so that their answers are right.
		return small > 0, nil
	}
	return small+denied > 5+(requests+20)/500, nil
}

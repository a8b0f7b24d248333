//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

// Bounds of the site, and times of the case.
const (
	configApply = 2 * time.Second
	maxStretch  = 5 * time.Second
	// hupShare is the share of VMs that get SIGHUP, and hupGap the pause between two.
	hupShare = 0.6
	hupGap   = 2 * time.Second
	// moveTime is how long the store is served at both addresses after the first settings file has changed.
	moveTime = 20 * time.Second
)

// playSettings moves the platform's store to another address, tells the VMs by their settings files, and changes the configuration then.
func playSettings(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	services := []string{"first", "second", "third"}
	for _, s := range services {
		if _, err := addServers(d, r, s, 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	// configure writes the version that sends the route to a service.
	configure := func(service string) {
		var all []site.Service
		for _, s := range services {
			all = append(all, site.Service{Name: s})
		}
		d.Configure(all, []site.Route{{Prefix: "/leny950/", Service: service, Idempotent: true, Timeout: time.Second}}, site.DefaultMaxBody)
		r.note("the store has confirmed the version that sends the route to %q", service)
	}
	configure("first")
	for i := range 5 {
		if err := d.AddVM(fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i), zones[i%len(zones)]); err != nil {
			return false, err
		}
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	stop := make(chan struct{})
	var requesters sync.WaitGroup
	for _, v := range d.VMs {
		requesters.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := send(r, v, request{method: "GET", path: "/leny950/2f", deadline: 2 * time.Second})
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	configure("second")
	secondAt := r.now()
	time.Sleep(5 * time.Second)
	if trouble {
		if err := moveStore(d, r); err != nil {
			return false, err
		}
	} else {
		time.Sleep(moveTime)
	}
	// The store has been without a fault all the while. This is StableWindowS and more.
	time.Sleep(5 * time.Second)
	configure("third")
	thirdAt := r.now()
	time.Sleep(configApply + maxStretch + 10*time.Second)
	close(stop)
	requesters.Wait()
	early, late, after, served := 0, 0, 0, 0
	for _, a := range answers {
		switch {
		case a.sentAt > secondAt+configApply && a.sentAt < thirdAt && a.service == "first":
			early++
		case a.sentAt > thirdAt+configApply+maxStretch:
			after++
			if a.service != "" {
				served++
			}
			if a.service == "first" || a.service == "second" {
				late++
			}
		}
	}
	r.note("requests run by the first service later than ConfigApplyS after the second version: %d", early)
	r.note("requests sent later than ConfigApplyS + MaxStretchS after the third version: %d, of which an older version's service ran %d", after, late)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return early+late > 0, nil
}

// moveStore serves the store at a second address, writes it into the settings file of each VM, and ends the first address later.
func moveStore(d *site.Deployment, r *record) error {
	began := time.Now()
	address, err := d.ServeStoreAgain()
	if err != nil {
		return err
	}
	r.note("the store is also served at %s", address)
	signalled := int(hupShare * float64(len(d.VMs)))
	for i, v := range d.VMs {
		if err := d.ChangeStore(v, address); err != nil {
			return err
		}
		r.note("the settings file of %s names the new address", v.Name)
		if i < signalled {
			v.Signal(syscall.SIGHUP)
			r.note("%s gets SIGHUP", v.Name)
			time.Sleep(hupGap)
		}
	}
	time.Sleep(moveTime - time.Since(began))
	d.EndFirstStoreAddress()
	r.note("the store is served at the new address only")
	return nil
}

//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

const (
	// heartbeat is the HeartbeatS of the site.
	heartbeat = 870 * time.Millisecond
	// copyAge is how old the copy is from which the store comes back, and downTime how long it is away.
	copyAge  = 5 * time.Second
	downTime = time.Second
)

// eraWriter lowers the number of the store's era in a response, so that it begins at 0.
type eraWriter struct {
	http.ResponseWriter
	first uint64
	done  bool
}

func (w *eraWriter) adjust() {
	if w.done {
		return
	}
	w.done = true
	if n, err := strconv.ParseUint(w.Header().Get("Store-Era"), 10, 64); err == nil {
		w.Header().Set("Store-Era", strconv.FormatUint(n-1+w.first, 10))
	}
}

// WriteHeader writes the head.
func (w *eraWriter) WriteHeader(status int) {
	w.adjust()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *eraWriter) Write(p []byte) (int, error) {
	w.adjust()
	return w.ResponseWriter.Write(p)
}

// withFirstEra returns a store whose first era has a number.
func withFirstEra(store http.Handler, first uint64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e := &eraWriter{ResponseWriter: w, first: first}
		store.ServeHTTP(e, r)
		e.adjust()
	})
}

// playEra restores the store from a copy some seconds old, between two changes of the configuration. The number of the store's first era is 0,
// or that of FIRST_ERA.
func playEra(r *record, trouble bool) (isBroken bool, err error) {
	first := uint64(0)
	if text := os.Getenv("FIRST_ERA"); text != "" {
		if first, err = strconv.ParseUint(text, 10, 64); err != nil {
			return false, err
		}
	}
	r.note("the store's first era has the number %d", first)
	d, err := site.New("target/hickorylug", site.WithStore(func(store http.Handler) http.Handler { return withFirstEra(store, first) }))
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
	configure := func(service string) {
		var all []site.Service
		for _, s := range services {
			all = append(all, site.Service{Name: s})
		}
		d.Configure(all, []site.Route{{Prefix: "/leny950/", Service: service, Idempotent: true, Timeout: time.Second}}, site.DefaultMaxBody)
		r.note("the store has confirmed the version that sends the route to %q", service)
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	defer func() { close(stop); tasks.Wait() }()
	tasks.Go(func() { d.Heartbeat(heartbeat, stop) })
	configure("first")
	for i := range 3 {
		if err := d.AddVM(fmt.Sprintf("edge-%s-%d", zones[i], i), zones[i]); err != nil {
			return false, err
		}
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	copied := d.Store.Copy()
	time.Sleep(copyAge - time.Second)
	configure("second")
	time.Sleep(time.Second)
	if trouble {
		d.SetStoreDown(true)
		r.note("the store is away")
		time.Sleep(downTime)
		d.Store.Restore(copied)
		d.SetStoreDown(false)
		r.note("the store is back, from a copy %s old; what the operator and the servers wrote since is written again", copyAge)
	} else {
		time.Sleep(downTime)
	}
	time.Sleep(time.Second)
	configure("third")
	confirmedAt := r.now()
	time.Sleep(configApply + maxStretch)
	until := time.Now().Add(30 * time.Second)
	after, late, served := 0, 0, 0
	for n := 0; time.Now().Before(until); n++ {
		v := d.VMs[n%len(d.VMs)]
		a := send(r, v, request{method: "GET", path: "/leny950/2f", deadline: 2 * time.Second})
		after++
		if a.service != "" {
			served++
		}
		if a.service == "first" || a.service == "second" {
			late++
		}
		time.Sleep(50 * time.Millisecond)
	}
	r.note("requests sent later than %.0f s after the confirmation of the third version, for 30 s: %d, of which an older version's service ran %d", (configApply + maxStretch).Seconds(), after, late)
	r.note("confirmed at %.3f s", confirmedAt.Seconds())
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return late > 0, nil
}

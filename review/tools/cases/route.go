//go:build review

package main

import (
	"fmt"
	"time"

	"github.com/hickorylug/hickorylug/review/tools/site"
)

// playRoute sends requests whose path has an encoded slash behind a route's prefix. It isn't a case of its own; the report names it.
func playRoute(r *record, trouble bool) (isBroken bool, err error) {
	d, err := site.New("target/hickorylug")
	if err != nil {
		return false, err
	}
	defer d.Close()
	for _, s := range []string{"plans", "billing"} {
		if _, err := addServers(d, r, s, 3, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	d.Configure([]site.Service{{Name: "plans"}, {Name: "billing"}}, []site.Route{
		{Prefix: "/plans/", Service: "plans", Idempotent: true, Timeout: time.Second},
		{Prefix: "/plans/renewals/", Service: "billing", Timeout: time.Second},
	}, site.DefaultMaxBody)
	if err := d.AddVM("edge-"+zones[0], zones[0]); err != nil {
		return false, err
	}
	if err := d.WaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	path := "/plans/renewals-2026"
	if trouble {
		path = "/plans/renewals%2F2026"
	}
	wrong, served := 0, 0
	for range 50 {
		switch a := send(r, d.VMs[0], request{method: "GET", path: path, deadline: time.Second}); a.service {
		case "plans":
			served++
		case "billing":
			wrong++
		}
	}
	r.note("%s: run by plans %d, by billing %d of 50", path, served, wrong)
	if served+wrong == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return wrong > 0, nil
}

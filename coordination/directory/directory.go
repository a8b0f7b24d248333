// Package directory holds the state of a site as an entry VM knows it: configuration, leases and slice tables.
//
// Each of them has a monotonic number (revision, term or version). The
// directory never replaces a newer state by an older one, whatever its source.
// Readers get an immutable view.
//
// # Usage
//
//	d := directory.New("noor")
//	d.SetConfiguration(revision, document)
//	view := d.View()
//	record, ok := view.Leases["plans.east"]
package directory

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/route"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// View is an immutable snapshot of the directory.
type View struct {
	// Revision is the revision of the configuration, or 0 while there is none.
	Revision id.Revision
	// Accepted is the accepted configuration as encoded in the store.
	Accepted []byte
	Site     config.Site
	Routes   *route.Matcher
	// Groups holds the groups that the configuration names, with their servers.
	Groups map[id.Group]Group
	// ByService lists the names of each service's groups in ascending order.
	ByService map[id.Service][]id.Group
	// LeaseDomains holds the failure domain of each group that has a lease; it is empty for the planner's lease.
	LeaseDomains map[id.Group]id.Domain
	Leases       map[id.Group]lease.Record
	Tables       map[id.Service]*table.Table

	// TableRevisions holds the store revisions of the tables, which the planner's compare-and-swap writes expect.
	TableRevisions map[id.Service]id.Revision
	// Retired holds the VMs that operators have declared permanently stopped.
	Retired map[id.VM]bool
}

// Directory holds the newest known state of a site; it is safe for concurrent use.
type Directory struct {
	site    id.Site
	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// New returns an empty directory of a site.
func New(site id.Site) *Directory {
	d := &Directory{site: site}
	d.view.Store(&View{
		Routes:         route.NewMatcher(nil),
		Groups:         map[id.Group]Group{},
		ByService:      map[id.Service][]id.Group{},
		Leases:         map[id.Group]lease.Record{},
		Tables:         map[id.Service]*table.Table{},
		TableRevisions: map[id.Service]id.Revision{},
	})
	c := make(chan struct{})
	d.changed.Store(&c)
	return d
}

// View returns the newest snapshot.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed at the next change.
//
// A reader that calls Changed before View misses no change.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

func (d *Directory) publish(v *View) {
	d.view.Store(v)
	next := make(chan struct{})
	old := d.changed.Swap(&next)
	close(*old)
}

// SetConfiguration sets the configuration if its revision is higher than the current one; otherwise updated is false.
//
// It returns an error if the document can't be decoded or is invalid for the site.
func (d *Directory) SetConfiguration(revision id.Revision, document []byte) (updated bool, err error) {
	defer func() { err = errors.Wrapf(err, "set configuration of revision %d", revision) }()
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.View()
	if revision <= old.Revision {
		return false, nil
	}
	accepted, err := config.DecodeAccepted(document)
	if err != nil {
		return false, err
	}
	doc, problems := config.Decode(accepted.Document)
	if err := problems.Err(); err != nil {
		return false, err
	}
	site, problems := doc.Site(d.site)
	if err := problems.Err(); err != nil {
		return false, err
	}
	v := *old
	v.Revision, v.Accepted, v.Site = revision, document, site
	v.Routes = route.NewMatcher(site.Routes)
	v.Groups, v.ByService = groupsOf(site)
	v.LeaseDomains = leaseDomains(v.Groups)
	d.publish(&v)
	return true, nil
}

// SetLease sets the record of a lease if its term is higher than the known one; otherwise updated is false.
func (d *Directory) SetLease(r lease.Record) (updated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.View()
	if known, ok := old.Leases[r.Group]; ok && r.Term <= known.Term {
		return false
	}
	v := *old
	v.Leases = maps.Clone(old.Leases)
	v.Leases[r.Group] = r
	d.publish(&v)
	return true
}

// SetTable sets the table of a service if its version is higher than the known one; otherwise updated is false.
func (d *Directory) SetTable(revision id.Revision, t *table.Table) (updated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.View()
	if known, ok := old.Tables[t.Service]; ok && t.Version <= known.Version {
		return false
	}
	v := *old
	v.Tables = maps.Clone(old.Tables)
	v.Tables[t.Service] = t
	v.TableRevisions = maps.Clone(old.TableRevisions)
	v.TableRevisions[t.Service] = revision
	d.publish(&v)
	return true
}

func (d *Directory) setRetired(vm id.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.View()
	if old.Retired[vm] {
		return
	}
	v := *old
	v.Retired = maps.Clone(old.Retired)
	if v.Retired == nil {
		v.Retired = map[id.VM]bool{}
	}
	v.Retired[vm] = true
	d.publish(&v)
}

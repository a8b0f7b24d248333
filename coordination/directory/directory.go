// Package directory is what an entry VM knows of its site: configuration, leases and slice tables.
//
// Each part has a number that never falls, and the directory never goes back
// to an older one, wherever it comes from. Readers get an immutable view.
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

// View is the state of the directory at one moment; nothing in it changes.
type View struct {
	// Revision is the revision of the configuration, or 0 while there is none.
	Revision id.Revision
	// Accepted is the configuration as it is kept in the store.
	Accepted []byte
	Site     config.Site
	Routes   *route.Matcher
	// Groups holds the servers of each group that the configuration names.
	Groups map[id.Group]Group
	// ByService lists the groups of a service in order.
	ByService map[id.Service][]id.Group
	// LeaseDomains holds the failure domain of each group that has a lease; the planner's is empty.
	LeaseDomains map[id.Group]id.Domain
	Leases       map[id.Group]lease.Record
	Tables       map[id.Service]*table.Table

	// TableRevisions are the store's revisions of the tables, for the planner's writes.
	TableRevisions map[id.Service]id.Revision
	// Retired holds the VMs that operators say have stopped for good.
	Retired map[id.VM]bool
}

// Directory takes only what is newer than what it has.
type Directory struct {
	site    id.Site
	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
}

// New returns a directory that knows nothing yet.
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

// View returns the newest state.
func (d *Directory) View() *View { return d.view.Load() }

// Changed returns a channel that is closed at the next change.
//
// A reader that takes the channel before the view misses no change.
func (d *Directory) Changed() <-chan struct{} { return *d.changed.Load() }

func (d *Directory) publish(v *View) {
	d.view.Store(v)
	next := make(chan struct{})
	old := d.changed.Swap(&next)
	close(*old)
}

// SetConfiguration takes a configuration of a later revision; taken is false for an older one.
func (d *Directory) SetConfiguration(revision id.Revision, document []byte) (taken bool, err error) {
	defer func() { err = errors.Wrapf(err, "configuration of revision %d", revision) }()
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
	v.LeaseDomains = homesOf(v.Groups)
	d.publish(&v)
	return true, nil
}

// SetLease takes a record of a later term.
func (d *Directory) SetLease(r lease.Record) (taken bool) {
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

// SetTable takes a table of a later version.
func (d *Directory) SetTable(revision id.Revision, t *table.Table) (taken bool) {
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

func (d *Directory) retire(vm id.VM) {
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

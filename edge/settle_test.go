package edge

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/coordination/ownership"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
)

// storeTable stores a table in which one backend server owns all keys under a fence.
func storeTable(t *testing.T, e *Edge, owner id.Server, fence fleet.Fence) {
	t.Helper()
	data, err := fleet.EncodeTable(&fleet.Table{Service: "plans", Fence: fence, Ranges: []fleet.Range{
		{From: 0, To: fleet.KeyCount - 1, Owner: fleet.Incarnation{Server: owner, Born: 1}, Fence: fence},
	}})
	if err == nil {
		_, err = e.store.Write(t.Context(), nil, platform.Put{Key: platform.KeyTable("plans"), Value: data})
	}
	if err != nil {
		t.Fatal(err)
	}
}

// newSettlingSite returns the only VM of a site, which isn't run, with its store and its clock. The service "plans" is keyed.
func newSettlingSite(t *testing.T) (e *Edge, store *kv.Store, c *fixedClock) {
	t.Helper()
	store, c = kv.NewStore(rand.Float64), &fixedClock{now: clock.Instant(time.Hour)}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	e, err := New(settings.Edge{
		VM: "a", FailureDomain: "east", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3", MetricsAddress: "127.0.0.1:4",
		Store: strings.TrimPrefix(server.URL, "http://"), LogLevel: "info", GraceTime: unit.Duration(time.Second), ServerHeartbeat: unit.Duration(time.Second),
		RetryShare: 0.2, RetrySlack: 60, RetryWindow: unit.Duration(10 * time.Second), WarmOverage: 1.5, WarmSlack: 5,
		MaxHold: unit.Duration(10 * time.Second), Processor: 1, Link: 1000, Memory: 1 << 28,
	}, WithClock(c))
	if err != nil {
		t.Fatal(err)
	}
	store.Put("op/config", []byte(`{"Version":"00000001","Clusters":[{"Name":"plans","Sharded":true}]}`))
	return e, store, c
}

// An older copy of the store lacks the latest table. Keys must not be granted by the one that it has while they may be held under another.
func TestTablesAreSettledAfterARestoration(t *testing.T) {
	const copied, lost fleet.Fence = 5, 9
	tests := map[string]struct {
		// knows says that this VM has the lost table, and continues that it led when the store came back.
		knows, continues bool
		owner            id.Server
		minFence         fleet.Fence
	}{
		"the leader leads on":                  {knows: true, continues: true, owner: "s2", minFence: lost},
		"another VM that knows the lost table": {knows: true, owner: "s2", minFence: 1000 * lost},
		"another VM that doesn't know it":      {owner: "s1", minFence: 1000 * lost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, c := newSettlingSite(t)
			ctx := context.Background()
			store.Put(platform.KeyVoters(), encodedVoters("a"))
			storeTable(t, e, "s1", copied)
			before := store.Copy()
			if test.knows {
				storeTable(t, e, "s2", lost)
				is.NoErr(e.readAll(ctx))
			}
			store.Restore(before)
			if test.continues {
				e.continuesIn = 1
			}
			e.campaign(ctx)
			is.True(e.leads())
			settle := func() bool {
				ready := e.keys.settle(ctx, c.now, e.snapshot.Load())
				e.tasks.Wait()
				c.now = c.now.Add(settleRetryPeriod)
				return ready
			}
			is.Equal(settle(), test.continues)
			if !test.continues {
				is.True(e.snapshot.Load().Tables["plans"].Fence < test.minFence)
				c.now = c.now.Add(leader.ReportTTL + ownership.MaxHoldTime + 1)
				is.True(!settle())
			}
			for range 3 {
				settle()
			}
			is.NoErr(e.readAll(ctx))
			is.True(settle())
			table := e.snapshot.Load().Tables["plans"]
			is.True(!table.Unsaved)
			is.True(table.Fence >= test.minFence)
			r, _ := table.Find(0)
			is.Equal(r.Owner.Server, test.owner)
			is.True(r.Fence >= test.minFence)
		})
	}
}

// Guards against grants by an older table while the latest one, which this VM hasn't read, can't be read any more.
func TestOlderTableIsNotUsedInPlaceOfUnreadableOne(t *testing.T) {
	is := is.New(t)
	const known, lost fleet.Fence = 5, 9
	e, store, c := newSettlingSite(t)
	ctx := context.Background()
	address, commands := serveCommands(t)
	store.Put("servers/s1", fmt.Appendf(nil, `{"Service":"plans","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`, address))
	storeTable(t, e, "s1", known)
	is.NoErr(e.readAll(ctx))
	storeTable(t, e, "s2", lost)
	store.Put(platform.KeyTable("plans"), []byte("?"))
	e.campaign(ctx)
	is.True(e.leads())
	tick := func() {
		e.keys.tick(ctx, c.now)
		e.tasks.Wait()
		e.recordStoreSuccess()
	}
	tick()
	is.Equal(e.snapshot.Load().Tables["plans"].Fence, known)
	is.True(!e.keys.knowsLatest("plans"))
	is.True(!e.keys.knowsTables())
	is.Equal(len(commands), 0) // s2 may hold the keys
	c.now = c.now.Add(leader.ReportTTL + ownership.MaxHoldTime + 1)
	e.recordStoreSuccess()
	tick()
	tick()
	table := e.snapshot.Load().Tables["plans"]
	is.True(table.Fence > lost)
	is.True(!table.Unsaved)
	is.True(e.keys.knowsLatest("plans"))
	is.True(len(commands) > 0)
}

// Guards against grants by an older table where another VM has led since the store came back, and its table can't be read.
func TestLeaderDoesNotLeadOnAfterAnotherOneInTheEra(t *testing.T) {
	tests := map[string]struct {
		// other says that another VM has led in the new era, and settled that the tables were settled in it.
		other, settled bool
		want           bool
	}{
		"no other leader":                   {want: true},
		"another leader was heard":          {other: true},
		"the tables of the era are settled": {settled: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, c := newSettlingSite(t)
			ctx := context.Background()
			storeTable(t, e, "s1", 5)
			is.NoErr(e.readAll(ctx))
			e.keys.latest["plans"], e.continuesIn = true, 1
			store.Restore(store.Copy())
			store.Put(platform.KeyTable("plans"), []byte("?"))
			if test.other {
				e.elector.LearnTerm(c.now, id.Era(1).Revision(1))
			}
			if test.settled {
				store.Put(platform.KeySettledEra(), platform.EncodeEra(1))
			}
			e.campaign(ctx)
			is.True(e.leads())
			is.Equal(e.keys.knowsLatest("plans"), test.want)
		})
	}
}

// Guards against a panic where the leader's record goes between the start of a tick and its calls.
func TestCallsAreMadeWhenTheLeadersRecordGoes(t *testing.T) {
	is := is.New(t)
	e, _, c := newSettlingSite(t)
	storeTable(t, e, "s1", 5)
	e.campaign(t.Context())
	s := *e.snapshot.Load()
	s.Leader = nil
	e.snapshot.Store(&s)
	e.keys.sendDueCalls(t.Context(), c.now, s.Tables["plans"])
	e.tasks.Wait()
	is.True(e.leads())
}

// Guards against a leader that takes a former one for gone by its own VM alone, since an older copy of the store lacks the VMs that follow the former one.
func TestLeaderWaitsForVMsThatAnOlderCopyLacks(t *testing.T) {
	is := is.New(t)
	e, store, c := newSettlingSite(t)
	ctx := context.Background()
	register := func(vms ...id.VM) {
		for _, vm := range vms {
			store.Put(platform.KeyPeer(vm), fmt.Appendf(nil, `{"VM":%q,"Domain":"east","Address":"127.0.0.1:9"}`, vm))
		}
		is.NoErr(e.readAll(ctx))
	}
	register("a", "b")
	before := store.Copy()
	register("c", "d", "e")
	is.Equal(len(e.members()), 5)
	store.Restore(before)
	is.NoErr(e.readAll(ctx))
	c.now = c.now.Add(reappearanceTime + 1)
	e.recordStoreSuccess()
	e.publishSnapshot()
	is.Equal(len(e.members()), 2)

	is.True(e.recordCampaign(e.acquireLeadership(ctx)))
	for _, test := range []struct {
		follower id.VM
		known    bool
	}{{"b", false}, {"c", true}} {
		e.elector.RecordHeartbeat(c.now, test.follower, leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
		_, known := e.formerLeaderUntil()
		is.Equal(known, test.known)
	}
}

// The store's new address wasn't used until the next start, so that the VM followed no change once the old one had ended.
func TestStoreIsFollowedAtItsNewAddress(t *testing.T) {
	is := is.New(t)
	e, store, _ := newSettlingSite(t)
	is.NoErr(e.readAll(t.Context()))
	e.SetStore("127.0.0.1:1")
	is.True(e.readAll(t.Context()) != nil)
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.Put("op/config", []byte(`{"Version":"00000002"}`))
	e.SetStore(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(e.readAll(t.Context()))
	is.Equal(e.snapshot.Load().Configuration.Version, uint64(2))
}

package edge

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/standin/kv"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// registerIn registers VMs of a failure domain in the store.
func registerIn(store *kv.Store, domain id.Domain, vms ...id.VM) {
	for _, vm := range vms {
		value, _ := json.Marshal(fleet.Peer{VM: vm, Domain: domain, Address: "127.0.0.1:9"})
		store.Put(platform.KeyPeer(vm), value)
	}
}

// hearFollowers makes a leader hear that VMs follow it.
func hearFollowers(e *Edge, vms ...id.VM) {
	for _, vm := range vms {
		e.elector.RecordHeartbeat(e.clock.Boot(), vm, leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
	}
}

// propose makes a leader record its voters where necessary, and returns those that the store has then.
func propose(t *testing.T, e *Edge) fleet.Voters {
	t.Helper()
	e.observeFormerLeaders(e.clock.Boot())
	e.votersTriedAt = 0
	e.proposeVoters(t.Context(), e.clock.Boot())
	e.tasks.Wait()
	if err := e.readAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if v := e.snapshot.Load().Voters; v != nil {
		return *v
	}
	return fleet.Voters{}
}

// Guards against a leader that started during a cut and takes a former one for gone, since it never had the list of VMs by which that one acts.
func TestLeaderKnowsTheVotersOfTheFormerOne(t *testing.T) {
	is := is.New(t)
	former, store, _ := newSettlingSite(t)
	registerIn(store, "east", "a", "b")
	registerIn(store, "west", "c")
	is.NoErr(former.readAll(t.Context()))
	is.True(former.recordCampaign(former.acquireLeadership(t.Context())))
	hearFollowers(former, "b", "c")
	is.Equal(len(propose(t, former).Members), 3)

	store.Remove(platform.KeyLeader())
	registerIn(store, "west", "d", "e", "f")
	s := former.settings
	s.VM, s.FailureDomain = "f", "west"
	e, err := New(s, WithClock(former.clock))
	is.NoErr(err)
	is.NoErr(e.readAll(t.Context()))
	is.True(e.recordCampaign(e.acquireLeadership(t.Context())))
	hearFollowers(e, "d", "e")
	_, known := e.formerLeaderUntil()
	is.True(!known) // c may report to the former leader
	is.Equal(propose(t, e).Term, former.ownTerm())
	hearFollowers(e, "c")
	_, known = e.formerLeaderUntil()
	is.True(known) // the former leader needs a report of west
	voters := propose(t, e)
	is.Equal(voters.Term, e.ownTerm())
	is.Equal(len(voters.Members), 6)
}

// Guards against voters of a former leader in place of those of the next one.
func TestVotersAreWrittenInTheirTermOnly(t *testing.T) {
	tests := map[string]struct {
		change func(store *kv.Store, e *Edge)
		want   int
		// isOpen says that the VM counts by the proposed list as well.
		isOpen bool
	}{
		"the VM leads":                        {change: func(*kv.Store, *Edge) {}, want: 4},
		"another VM has written its record":   {change: func(store *kv.Store, _ *Edge) { store.Put(platform.KeyLeader(), []byte(`{"VM":"b"}`)) }, want: 3, isOpen: true},
		"the voters have changed since":       {change: func(store *kv.Store, _ *Edge) { store.Put(platform.KeyVoters(), encodedVoters("b")) }, want: 1, isOpen: true},
		"the store came back from this state": {change: func(store *kv.Store, _ *Edge) { store.Restore(store.Copy()) }, want: 4},
		"few VMs follow the VM":               {change: func(_ *kv.Store, e *Edge) { e.elector.Won(e.clock.Boot(), e.ownTerm()+1) }, want: 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, _, _ := newMovingSite(t, "a", "b", "c")
			hearFollowers(e, "b")
			first := propose(t, e)
			is.Equal(first.VotersID, fleet.VotersID{Term: e.ownTerm(), Number: 1})
			is.Equal(propose(t, e).Revision, first.Revision) // nothing has changed
			registerIn(store, "east", "d")
			is.NoErr(e.readAll(t.Context()))
			test.change(store, e)
			is.Equal(len(propose(t, e).Members), test.want)
			is.Equal(len(e.elector.Counted()) > 1, test.isOpen)
		})
	}
}

package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
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
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// closedAddress returns an address at which connections are refused.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		err = l.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	return l.Addr().String()
}

// A grant that a backend server may have taken holds back the next owner, whatever came back for it.
func TestOutcomesOfGrants(t *testing.T) {
	const (
		release = "release s1 under the fence of the move"
		doubt   = "release s1 under its own fence"
		grant   = "grant s2"
		plans   = id.Service("plans")
		first   = fleet.Fence(1)
	)
	hangUp := func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
	}
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	tests := map[string]struct {
		serve http.HandlerFunc
		// born is the start time in the entry, and rejected says that the process may have ended.
		born     fleet.StartTime
		want     string
		rejected bool
	}{
		"done":                               {serve: status(http.StatusOK), born: 1, want: release},
		"no answer":                          {serve: hangUp, born: 1, want: doubt},
		"another status":                     {serve: status(http.StatusServiceUnavailable), born: 1, want: doubt},
		"taken by another server":            {serve: status(http.StatusMisdirectedRequest), born: 1, want: grant, rejected: true},
		"refused connection":                 {born: 1, want: grant},
		"the entry is of another start time": {serve: status(http.StatusOK), born: 2, want: grant},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			address, expected := closedAddress(t), make(chan string, 1)
			if test.serve != nil {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					expected <- r.Header.Get(platform.HeaderExpect)
					test.serve(w, r)
				}))
				t.Cleanup(server.Close)
				address = strings.TrimPrefix(server.URL, "http://")
			}
			v.register("s1", address, test.born)
			s1, s2 := fleet.Incarnation{Server: "s1", Born: 1}, fleet.Incarnation{Server: "s2", Born: 1}
			never := func(fleet.Incarnation) bool { return false }
			healthy := ownership.Liveness{IsDead: never, IsSuspended: never, IsLost: never}
			v.lead(7, "a")
			g := ownership.NewGranter(v.clock.now.Add(-time.Minute))
			v.keys.granter = g
			table := &fleet.Table{Service: plans, Fence: first, Ranges: []fleet.Range{{To: fleet.KeyCount - 1, Owner: s1, Fence: first}}}
			for _, c := range g.Due(v.clock.now, table, healthy) {
				v.keys.execute(t.Context(), &call{term: 7, Command: c})
			}
			if test.serve != nil && test.born == s1.Born {
				is.Equal(<-expected, "s1") // the process under another id turns the call down
			}
			is.Equal(len(expected), 0)
			is.Equal(v.keys.failureStates[s1] != nil && v.keys.failureStates[s1].rejected, test.rejected)

			moved, _, _ := g.Revise(v.clock.now, table, []ownership.Candidate{{Incarnation: s1}, {Incarnation: s2, Eligible: true, Warm: true, Capacity: 40}}, nil)
			got := g.Due(v.clock.now, moved, healthy)
			is.Equal(len(got), 1)
			switch {
			case !got[0].Release:
				is.Equal(got[0].Incarnation, s2)
				is.Equal(test.want, grant)
			case got[0].Fence == first:
				is.Equal(test.want, doubt)
			default:
				is.Equal(test.want, release)
			}
		})
	}
}

// Guards against an entry of a former process that hides the later one, which may have taken grants that were meant for the former.
func TestStaleEntryDoesNotHideSuccessor(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	var s *fleet.Snapshot
	for _, born := range []fleet.StartTime{5, 9, 5} {
		s = &fleet.Snapshot{Servers: map[id.Server]fleet.Server{"a": {Incarnation: fleet.Incarnation{Server: "a", Born: born}}}}
		v.keys.recordIncarnations(s)
	}
	next, ok := v.keys.successor(s, fleet.Incarnation{Server: "a", Born: 5})
	is.True(ok)
	is.Equal(next.Born, fleet.StartTime(9))
}

// newMovingSite returns the only VM of a site, which leads, with a backend server s2 to which all keys move from s1, which isn't listed.
func newMovingSite(t *testing.T, vms ...id.VM) (e *Edge, store *kv.Store, c *fixedClock, commands <-chan string) {
	t.Helper()
	e, store, c = newSettlingSite(t)
	address, commands := serveCommands(t)
	store.Put("servers/s2", fmt.Appendf(nil, `{"Service":"plans","Address":%q,"Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`, address))
	data, err := fleet.EncodeTable(&fleet.Table{Service: "plans", Fence: 5, Ranges: []fleet.Range{{
		To: fleet.KeyCount - 1, Owner: fleet.Incarnation{Server: "s2", Born: 1}, Fence: 5, PreviousOwner: &fleet.Incarnation{Server: "s1", Born: 1}, PreviousFence: 1,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.KeyTable("plans"), data)
	for _, vm := range vms {
		store.Put(platform.KeyPeer(vm), fmt.Appendf(nil, `{"VM":%q,"Domain":"east","Address":"127.0.0.1:9"}`, vm))
	}
	store.Put(platform.KeyVoters(), encodedVoters(append([]id.VM{"a"}, vms...)...))
	won, leaseStart, term, lease := e.acquireLeadership(t.Context())
	e.keys.reset(c.now, false)
	if !e.recordCampaign(won, leaseStart, term, lease) {
		t.Fatal("the VM wasn't elected")
	}
	return e, store, c, commands
}

// Guards against grants to the next owner while a former leader may still renew those of the former owner.
func TestKeysWaitUntilFormerLeadersHaveGone(t *testing.T) {
	tests := map[string]struct {
		vms   []id.VM
		after time.Duration
		want  int
	}{
		"a former leader may have acted until now": {after: ownership.MaxHoldTime + time.Second},
		"its grants have run out":                  {after: ownership.MaxHoldTime + leader.ReportTTL + 1, want: 1},
		"too few VMs follow this one":              {vms: []id.VM{"a", "b", "c"}, after: time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, _, c, commands := newMovingSite(t, test.vms...)
			c.now = c.now.Add(test.after)
			e.keys.sendDueCalls(t.Context(), c.now, e.snapshot.Load().Tables["plans"])
			e.tasks.Wait()
			is.Equal(len(commands), test.want)
		})
	}
}

// Guards against commands of a VM that doesn't lead any more, or has yet to be elected in a new era of the store.
func TestOnlyTheLeaderSendsCommands(t *testing.T) {
	const expired = ownership.MaxHoldTime + leader.ReportTTL + 1
	tests := map[string]struct {
		prepare func(e *Edge, c *fixedClock)
		want    int
	}{
		"it leads":                       {prepare: func(*Edge, *fixedClock) {}, want: 1},
		"its lease has ended":            {prepare: func(_ *Edge, c *fixedClock) { c.now = c.now.Add(leader.LeaseTTL) }},
		"the record is of another term":  {prepare: func(e *Edge, _ *fixedClock) { changeRecord(e, 1) }},
		"the record is of an older term": {prepare: func(e *Edge, _ *fixedClock) { changeRecord(e, -1) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, c, commands := newMovingSite(t, "a", "b", "c")
			store.Put(platform.KeySettledEra(), platform.EncodeEra(0))
			e.elector.RecordHeartbeat(c.now, "b", leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
			c.now = c.now.Add(expired)
			e.elector.Renewed(c.now)
			test.prepare(e, c)
			ctx, cancel := context.WithTimeout(t.Context(), 2*keyManagerTick)
			defer cancel()
			is.NoErr(e.keys.run(ctx))
			e.tasks.Wait()
			is.Equal(len(commands), test.want)
		})
	}
}

// changeRecord changes the term in the leader's record as a VM knows it.
func changeRecord(e *Edge, by int) {
	s := *e.snapshot.Load()
	record := *s.Leader
	record.Term = id.Revision(int(record.Term) + by)
	s.Leader = &record
	e.snapshot.Store(&s)
}

// Guards against a former leader that writes a table after the next one, or over a table that it hasn't read.
func TestFormerLeaderWritesNothing(t *testing.T) {
	tests := map[string]struct {
		changed string
		want    bool
	}{
		"it leads":                {want: true},
		"there is a later one":    {changed: platform.KeyLeader()},
		"the table has changed":   {changed: platform.KeyTable("plans")},
		"another key has changed": {changed: "op/other", want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, _, _ := newMovingSite(t)
			s := e.snapshot.Load()
			if test.changed != "" {
				store.Put(test.changed, []byte("?"))
			}
			old := s.Tables["plans"]
			next := old.Clone()
			next.Fence++
			is.Equal(e.keys.writeTable(t.Context(), s.Leader.Term, old, next), test.want)
		})
	}
}

// Guards against tables that a former leader declares to be up to date.
func TestFormerLeaderSettlesNoEra(t *testing.T) {
	is := is.New(t)
	e, store, _, _ := newMovingSite(t)
	term := e.snapshot.Load().Leader.Term
	store.Restore(store.Copy())
	e.keys.writeSettledEra(t.Context(), id.Era(1).Revision(term.Number()-1))
	is.NoErr(e.readAll(t.Context()))
	is.Equal(e.snapshot.Load().SettledEra, id.Era(0))
}

// Guards against a table that begins below lost fences where the stored one can't be read and none was known before.
func TestUnreadableTableIsNotTheLatest(t *testing.T) {
	is := is.New(t)
	e, store, c := newSettlingSite(t)
	store.Put(platform.KeyTable("plans"), []byte("?"))
	e.campaign(t.Context())
	is.True(e.leads())
	e.keys.tick(t.Context(), c.now)
	e.tasks.Wait()
	is.True(!e.keys.knowsLatest("plans"))
}

// Guards against a VM that leads on in a new era though another one may have led, or written a table, before it.
func TestLeaderThatMayBeReplacedDoesNotLeadOn(t *testing.T) {
	tests := map[string]struct {
		// unheard says that no other VM is heard, away for how long it didn't act before it noticed, and unknown that it doesn't know the table.
		unheard bool
		away    time.Duration
		unknown bool
		want    bool
	}{
		"it led until now":          {want: true},
		"most VMs aren't heard":     {unheard: true},
		"it stood still":            {away: 2 * leader.LeaseTTL},
		"it doesn't know the table": {unknown: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, c, _ := newMovingSite(t, "a", "b", "c")
			e.keys.settled, e.keys.latest["plans"] = true, !test.unknown
			e.endEarlierEra(c.now)
			c.now = c.now.Add(test.away)
			if !test.unheard {
				e.elector.RecordHeartbeat(c.now, "b", leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
			}
			store.Restore(store.Copy())
			is.NoErr(e.readAll(t.Context()))
			e.endEarlierEra(c.now)
			is.True(!e.leads())
			is.Equal(e.continuesIn == 1, test.want)
		})
	}
}

// A renewal's answer comes late, but the lease runs from when the store renewed it.
func TestLeaseCountsFromItsRenewal(t *testing.T) {
	is := is.New(t)
	e, _, c, _ := newMovingSite(t, "a", "b", "c")
	sent := c.now.Add(leader.LeaseTTL / 2)
	c.now = sent
	e.clock = &steppingClock{fixedClock: c, step: leader.LeaseTTL / 8}
	e.renewLease(t.Context())
	is.True(c.now > sent.Add(leader.LeaseTTL/8))
	is.True(e.elector.Leads(sent.Add(leader.LeaseTTL - 1)))
	is.True(!e.elector.Leads(sent.Add(leader.LeaseTTL)))
}

// steppingClock is a clock that goes on by a step at each reading.
type steppingClock struct {
	*fixedClock
	step time.Duration
}

func (c *steppingClock) Boot() clock.Instant {
	now := c.now
	c.now = now.Add(c.step)
	return now
}

// Guards against a leader that acts by a lease which the store may have ended already, by a call without answer.
func TestLeaderWithRevokedLeaseDoesNotAct(t *testing.T) {
	is := is.New(t)
	e, store, _, _ := newMovingSite(t, "a", "b", "c")
	is.True(e.leads())
	store.SetFault(kv.Fault{Down: true})
	is.True(!e.resign())
	is.True(!e.leads())
}

// Guards against new fences for lost tables while too few VMs follow this one to know that former leaders have gone.
func TestFormerGrantsMayBeHeldWhileFewVMsFollow(t *testing.T) {
	is := is.New(t)
	e, _, c, _ := newMovingSite(t, "a", "b", "c")
	later := c.now.Add(time.Minute)
	is.True(!e.haveFormerGrantsExpired(later))
	e.elector.RecordHeartbeat(c.now, "b", leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
	is.True(e.haveFormerGrantsExpired(later))
}

// Guards against a leader that waits for VMs of a list that the last leader didn't have any more.
func TestListsBeforeThatOfTheLastLeaderAreForgotten(t *testing.T) {
	tests := map[string]struct {
		position id.Revision
		want     bool
	}{
		"it had the earlier list": {position: 1},
		"it had the later list":   {position: 100, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e, store, _ := newSettlingSite(t)
			register := func(vms ...id.VM) {
				for _, vm := range vms {
					store.Put(platform.KeyPeer(vm), fmt.Appendf(nil, `{"VM":%q,"Domain":"east","Address":"127.0.0.1:9"}`, vm))
				}
				is.NoErr(e.readAll(t.Context()))
			}
			register("b", "c", "d")
			register("a", "e", "f", "g")
			e.recordHeartbeat(gossip.Message{From: "b", Heartbeat: &gossip.Heartbeat{Leading: true, Term: 1, Position: test.position, KnownTerm: 1, Stamp: &leader.Stamp{}}})
			is.True(e.recordCampaign(e.acquireLeadership(t.Context())))
			for _, vm := range []id.VM{"e", "f", "g"} {
				e.elector.RecordHeartbeat(e.clock.Boot(), vm, leader.Heartbeat{KnownTerm: e.ownTerm(), Stamp: &leader.Stamp{}})
			}
			_, known := e.formerLeaderUntil()
			is.Equal(known, test.want)
		})
	}
}

// Guards against a grant that counts as never made, as another VM couldn't make it once more.
func TestGrantsThatWereSentAreNotMadeAgain(t *testing.T) {
	is := is.New(t)
	v, other := newLeavingVM(t), newLeavingVM(t)
	made := 0
	hangUp := func(w http.ResponseWriter, _ *http.Request) {
		made++
		for _, server := range []id.Server{"x", "y", "z"} {
			v.reach.RecordDial(server, false)
		}
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
	}
	server, relays := httptest.NewServer(http.HandlerFunc(hangUp)), httptest.NewServer(other.relayHandler)
	t.Cleanup(server.Close)
	t.Cleanup(relays.Close)
	v.backends = http1.NewClient()
	v.put("hickorylug/vm/b", fmt.Sprintf(`{"VM":"b","Domain":"east","Address":%q,"Incarnation":"i"}`, strings.TrimPrefix(relays.URL, "http://")))
	a := attemptAt(strings.TrimPrefix(server.URL, "http://"))
	a.Method, a.Command, a.NotAfter = http.MethodPost, true, v.clock.now.Add(ownership.WriteTimeout)
	r := v.attempt(t.Context(), a)
	is.True(v.reach.IsSuspected())
	is.True(r.Failure.Sent)
	is.Equal(made, 1)
}

// Guards against a grant that counts as never made, as the VM that was asked to make it doesn't answer.
func TestGrantsThroughAVMThatDoesNotAnswerMayBeTaken(t *testing.T) {
	is := is.New(t)
	v, other := newLeavingVM(t), newLeavingVM(t)
	relays := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			other.relayHandler.ServeHTTP(w, r)
			return
		}
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = c.Close()
		}
	}))
	t.Cleanup(relays.Close)
	v.put("hickorylug/vm/b", fmt.Sprintf(`{"VM":"b","Domain":"east","Address":%q,"Incarnation":"i"}`, strings.TrimPrefix(relays.URL, "http://")))
	a := attemptAt("127.0.0.1:9")
	a.Method, a.Command, a.NotAfter = http.MethodPost, true, v.clock.now.Add(ownership.WriteTimeout)
	r, ok := v.attemptThroughOthers(t.Context(), a)
	is.True(ok)
	is.True(r.Failure.Sent)
}

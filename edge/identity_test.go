package edge

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/state/unit"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// A VM that hears of the leader's contact with the store, but misses its items, must not count as up to date: it would call a new key
// unknown, and accept a withdrawn one although it is strict.
func TestNewsAge(t *testing.T) {
	tests := map[string]struct {
		strict bool
		// position is that of the leader's heartbeats after the first one; the VM's items reach up to 5.
		position     id.Revision
		age          time.Duration
		wait         time.Duration
		wantCurrent  bool
		wantStrictly bool
	}{
		"all items, fresh":              {strict: true, position: 5, wait: 10 * time.Second, wantCurrent: true},
		"all items, of an old contact":  {strict: true, position: 5, age: 6 * time.Second, wait: 10 * time.Second, wantStrictly: true},
		"items are missing":             {strict: true, position: 6, wait: 10 * time.Second, wantStrictly: true},
		"items are missing for a while": {strict: true, position: 6, wait: 3 * time.Second},
		"items are missing, lenient":    {position: 6, wait: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &Edge{
					clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}, mirror: fleet.NewMirror(platform.Decode),
					settings: settings.Edge{StrictRevocation: test.strict, RevocationTime: unit.Duration(5 * time.Second)},
				}
				e.mirror.Apply(fleet.Update{Whole: true, To: 5})
				e.recordNews(5, 0)
				const period = 200 * time.Millisecond
				for waited := time.Duration(0); waited < test.wait; waited += period {
					time.Sleep(period)
					e.recordNews(test.position, test.age)
				}
				_, current := e.view()
				is.Equal(current, test.wantCurrent)
				is.Equal(e.mayHoldRevokedKeys(), test.wantStrictly)
			})
		})
	}
}

// A VM that starts right after a restoration of the store may read a configuration whose keys were withdrawn later. VMs that ran before, and
// those at a store that was never restored, must serve at once.
func TestStartAfterRestoration(t *testing.T) {
	tests := map[string]struct {
		first, now id.Era
		wait       time.Duration
		want       bool
	}{
		"a store never restored":         {wait: time.Millisecond},
		"started after the restoration":  {first: 1, now: 1, wait: 2 * time.Second, want: true},
		"started after it, some time":    {first: 1, now: 1, wait: 3 * time.Second},
		"started before the restoration": {first: 0, now: 1, wait: time.Millisecond},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				e := &Edge{clock: clock.Runtime{Origin: time.Now().Add(-time.Hour)}, mirror: fleet.NewMirror(platform.Decode)}
				for _, era := range []id.Era{test.first, test.now} {
					e.mirror.Apply(fleet.Update{Whole: true, To: era.Revision(5)})
					e.recordNews(0, 0)
				}
				time.Sleep(test.wait)
				is.Equal(e.mayHoldRevokedKeys(), test.want)
			})
		})
	}
}

// A VM of an earlier build hands out plain keys. A VM that copies the items from it must not keep or pass on any.
func TestCopyFromEarlierBuild(t *testing.T) {
	is := is.New(t)
	source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, err := cbor.Marshal(fleet.Update{To: 9, Whole: true, Items: []fleet.Item{
			{Key: "op/config", Value: []byte(`{"Version":"01","Tenants":[{"Name":"a","ApiKeys":["secret"]}]}`), Revision: 5},
		}})
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(data)
	}))
	defer source.Close()
	socket, err := gossip.Listen("127.0.0.1:0", nil)
	is.NoErr(err)
	e := &Edge{
		clock: clock.System{}, log: slog.New(slog.DiscardHandler), socket: socket, mirror: fleet.NewMirror(platform.Decode),
		settings: settings.Edge{VM: "weak", FailureDomain: "a", Processor: 0.1, Link: 20},
	}
	address := strings.TrimPrefix(source.URL, "http://")
	first := fleet.Update{Whole: true, To: 7, Items: []fleet.Item{
		{Key: platform.KeyPeer("strong"), Value: []byte(`{"VM":"strong","Domain":"a","Strength":1,"Address":"` + address + `"}`), Revision: 3},
	}}
	u, ok := e.copyFromPeer(context.Background(), first)
	is.True(ok)
	is.True(!bytes.Contains(u.Items[0].Value, []byte("secret")))
	e.mirror.Apply(u)
	_, found := e.mirror.Snapshot().Configuration.Customers.ByKey(fleet.DigestKey("secret"))
	is.True(found)
}

// Messages from VMs of earlier builds may hold plain keys, too.
func TestMessageFromEarlierBuild(t *testing.T) {
	is := is.New(t)
	s := settings.Edge{
		VM: "vm1", FailureDomain: "a", CallerAddress: "127.0.0.1:1", ReadyAddress: "127.0.0.1:2", PeerAddress: "127.0.0.1:3", MetricsAddress: "127.0.0.1:4",
		Store: "127.0.0.1:5", LogLevel: "info", GraceTime: 1, RetryWindow: 1, MaxHold: 1, WarmOverage: 1,
	}
	e, err := New(s, WithLog(slog.New(slog.DiscardHandler)))
	is.NoErr(err)
	e.receive(gossip.Message{From: "vm2", Incarnation: "i", Domain: "a", Heartbeat: &gossip.Heartbeat{Position: 9, Leading: true, Term: 2}, Update: &fleet.Update{
		To: 9, Items: []fleet.Item{{Key: "op/config", Value: []byte(`{"Version":"01","Tenants":[{"Name":"a","ApiKeys":["secret"]}]}`), Revision: 5}},
	}})
	item, found := e.mirror.Item("op/config")
	is.True(found)
	is.True(!bytes.Contains(item.Value, []byte("secret")))
	is.True(e.newsAge() < time.Minute)
}

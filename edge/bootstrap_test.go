package edge

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/platform"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/settings"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// After a restart of all VMs some must read the store, and the others must not wait for VMs that aren't stronger than they are.
func TestCopySources(t *testing.T) {
	peers := map[id.VM]fleet.Peer{}
	for _, p := range []fleet.Peer{
		{VM: "a1", Domain: "a", Strength: 0.8},
		{VM: "a2", Domain: "a", Strength: 0.1},
		{VM: "a3", Domain: "a", Strength: 0.7},
		{VM: "b1", Domain: "b", Strength: 0.8},
		{VM: "b2", Domain: "b", Strength: 0.1},
	} {
		peers[p.VM] = p
	}
	equal := map[id.VM]fleet.Peer{"a1": {VM: "a1", Domain: "a", Strength: 0.3}, "b1": {VM: "b1", Domain: "b", Strength: 0.3}}
	tests := map[string]struct {
		peers    map[id.VM]fleet.Peer
		self     id.VM
		domain   id.Domain
		strength float64
		want     []id.VM
	}{
		"a weak VM asks the strongest ones near it":   {peers: peers, self: "a2", domain: "a", strength: 0.1, want: []id.VM{"a1", "a3"}},
		"a strong VM asks none":                       {peers: peers, self: "a3", domain: "a", strength: 0.7},
		"a weak VM of another domain asks the others": {peers: peers, self: "c1", domain: "c", strength: 0.1, want: []id.VM{"a1", "b1", "a3"}},
		"equal VMs ask none":                          {peers: equal, self: "a1", domain: "a", strength: 0.3},
		"the first VM asks none":                      {peers: map[id.VM]fleet.Peer{}, self: "a1", domain: "a", strength: 0.3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []id.VM
			for _, p := range copySources(test.peers, test.self, test.domain, test.strength) {
				if p.VM != test.self {
					got = append(got, p.VM)
				}
			}
			is.True(slices.Equal(got[:min(len(got), len(test.want))], test.want))
			is.Equal(len(got) > 0, len(test.want) > 0)
		})
	}
}

// A copy from another VM must be as recent as the store's first page. An older one could hold a backend server or an owner
// of keys that the store no longer has.
func TestReadWhole(t *testing.T) {
	tests := map[string]struct {
		// position is that of the other VM's copy; the first page's is 7.
		position id.Revision
		calls    int
		wantTo   id.Revision
		want     []string
	}{
		"a copy as recent as the first page": {position: 7, calls: 1, wantTo: 7, want: []string{"copied"}},
		"a newer copy":                       {position: 9, calls: 1, wantTo: 9, want: []string{"copied"}},
		"an older copy":                      {position: 6, calls: 2, wantTo: 7, want: []string{"hickorylug/vm/strong", "servers/s"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			source := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				data, err := cbor.Marshal(fleet.Update{To: test.position, Whole: true, Items: []fleet.Item{{Key: "copied", Revision: 5}}})
				if err != nil {
					t.Error(err)
				}
				_, _ = w.Write(data)
			}))
			defer source.Close()
			peer, err := json.Marshal(fleet.Peer{VM: "strong", Domain: "a", Strength: 1, Address: strings.TrimPrefix(source.URL, "http://")})
			is.NoErr(err)
			calls := 0
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				item := map[string]any{"Key": "hickorylug/vm/strong", "Value": peer, "Revision": 3}
				if r.URL.Query().Get("after") != "" {
					item = map[string]any{"Key": "servers/s", "Value": []byte("{}"), "Revision": 4}
				}
				if err := json.NewEncoder(w).Encode(map[string]any{"items": []any{item}, "HasMore": r.URL.Query().Get("after") == "", "CurrentRev": 7}); err != nil {
					t.Error(err)
				}
			}))
			defer store.Close()
			socket, err := gossip.Listen("127.0.0.1:0", nil)
			is.NoErr(err)
			e := &Edge{
				clock: clock.System{}, log: slog.New(slog.DiscardHandler), store: platform.NewClient(strings.TrimPrefix(store.URL, "http://")), socket: socket,
				settings: settings.Edge{VM: "weak", FailureDomain: "a", Processor: 0.1, Link: 20},
			}
			u, err := e.readWhole(context.Background())
			is.NoErr(err)
			is.Equal(calls, test.calls)
			is.Equal(u.To, test.wantTo)
			is.True(u.Whole)
			var got []string
			for _, i := range u.Items {
				got = append(got, i.Key)
			}
			is.Equal(got, test.want)
		})
	}
}

package gossip

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// message returns a message whose update has an item of the given length.
func message(length int) Message {
	value := make([]byte, length)
	random := rand.New(rand.NewPCG(1, 2))
	for i := range value {
		value[i] = byte(random.Uint32()) // It can't be compressed.
	}
	return Message{From: "vm1", Incarnation: "a", Domain: "east", Update: &fleet.Update{From: 1, To: 2, Items: []fleet.Item{{Key: "k", Value: value, Revision: 2}}}}
}

// A change of many key ranges makes a table that is longer than a datagram. It must reach the other VMs without a fetch,
// since hundreds of fetches at once overload the VM that answers them.
func TestLongMessages(t *testing.T) {
	tests := map[string]struct {
		length    int
		datagrams int
		tooLarge  bool
	}{
		"short":     {length: 100, datagrams: 1},
		"long":      {length: 20 << 10, datagrams: 3},
		"longest":   {length: MaxCompressedBytes - 300, datagrams: maxFragments},
		"too large": {length: MaxCompressedBytes + 1, tooLarge: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &Socket{}
			m := message(test.length)
			datagrams, err := s.encode(m)
			is.Equal(errors.Is(err, ErrTooLarge), test.tooLarge)
			is.Equal(len(datagrams), test.datagrams)
			if test.tooLarge {
				return
			}
			rand.Shuffle(len(datagrams), func(i, j int) { datagrams[i], datagrams[j] = datagrams[j], datagrams[i] })
			fragments := newAssembler(time.Now)
			complete := 0
			for _, data := range datagrams {
				is.True(len(data) <= MaxDatagramBytes)
				// A datagram may be delivered twice.
				for range 2 {
					if got, ok := decode(data, fragments); ok {
						complete++
						is.True(bytes.Equal(got.Update.Items[0].Value, m.Update.Items[0].Value))
					}
				}
			}
			is.True(complete >= 1)
		})
	}
}

// A configuration of a thousand routes must reach hundreds of VMs in time, so it must not be sent in its full length.
func TestConfigurationsAreCompressed(t *testing.T) {
	is := is.New(t)
	var value []byte
	for n := range 1400 {
		value = fmt.Appendf(value, `{"Name":"r-%x","RouteType":"idempotent","TargetLatencyS":0.4,"Priority":2,"Match":{"PathPrefix":"/%x/"},"Action":{"Service":"plans","TimeoutS":1,"MaxAttempts":3}},`, 7919*n, 104729*n)
	}
	s := &Socket{since: func(id.Revision) fleet.Update {
		return fleet.Update{To: 2, Items: []fleet.Item{{Key: "k", Value: value, Revision: 2}}}
	}, client: http.DefaultClient}
	datagrams, err := s.encode(Message{From: "vm1", Update: &fleet.Update{Items: []fleet.Item{{Key: "k", Value: value}}}})
	is.NoErr(err)
	is.True(len(datagrams) <= maxFragments)
	server := httptest.NewServer(http.HandlerFunc(s.serveChanges))
	defer server.Close()
	u, err := s.Fetch(context.Background(), strings.TrimPrefix(server.URL, "http://"), 1)
	is.NoErr(err)
	is.True(bytes.Equal(u.Items[0].Value, value))
}

// Fragments that are lost, invalid or without end must not use up memory.
func TestIncompleteMessagesAreDropped(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	fragments := newAssembler(func() time.Time { return now })
	for n := range uint64(1000) {
		is.Equal(fragments.add("vm1", "a", Fragment{Message: n, Index: 0, Count: 2, Data: []byte("x")}), nil)
	}
	is.True(len(fragments.partials) <= maxPartialMessages)
	now = now.Add(2 * partialMessageTTL)
	is.Equal(fragments.add("vm1", "a", Fragment{Message: 1000, Index: 0, Count: 2, Data: []byte("x")}), nil)
	is.Equal(len(fragments.partials), 1)
	is.Equal(string(fragments.add("vm1", "a", Fragment{Message: 1000, Index: 1, Count: 2, Data: []byte("y")})), "xy")
	tests := map[string]Fragment{
		"no parts":         {Message: 1, Data: []byte("x")},
		"too many parts":   {Message: 1, Count: maxFragments + 1, Data: []byte("x")},
		"negative index":   {Message: 1, Index: -1, Count: 2, Data: []byte("x")},
		"index too large":  {Message: 1, Index: 2, Count: 2, Data: []byte("x")},
		"empty":            {Message: 1, Count: 1},
		"longer than sent": {Message: 1, Count: 1, Data: make([]byte, fragmentBytes+1)},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(fragments.add("vm1", "a", f), nil)
			is.Equal(len(fragments.partials), 0)
		})
	}
}

// Any datagram may come from outside; none may end the process.
func FuzzDecode(f *testing.F) {
	s := &Socket{}
	for _, length := range []int{1, 20 << 10} {
		datagrams, err := s.encode(message(length))
		if err != nil {
			f.Fatal(err)
		}
		for _, data := range datagrams {
			f.Add(data)
		}
	}
	load, err := cbor.Marshal(Message{From: "vm1", Load: &Load{Servers: []ServerLoad{{Server: "s", InFlight: 3}}}, Heartbeat: &Heartbeat{Granted: []Grant{{Service: "a", Fence: 1}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(load)
	fragments := newAssembler(time.Now)
	f.Fuzz(func(_ *testing.T, data []byte) { decode(data, fragments) })
}

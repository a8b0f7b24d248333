package gossip_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/leader"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// formerMessage is a message as the build before number 16 knows it, as far as this test reads it.
type formerMessage struct {
	From          id.VM                 `cbor:"1,keyasint"`
	Incarnation   id.Incarnation        `cbor:"2,keyasint"`
	Domain        id.Domain             `cbor:"3,keyasint"`
	Heartbeat     *gossip.Heartbeat     `cbor:"4,keyasint,omitempty"`
	RequestLimits []gossip.RequestLimit `cbor:"12,keyasint,omitempty"`
}

// VMs of two builds run side by side during a rollout: each must read what the other one sends, without what it doesn't know.
func TestMessagesOfOtherBuilds(t *testing.T) {
	heartbeat := &gossip.Heartbeat{Position: 7, Leading: true}
	limits := []gossip.RequestLimit{{Server: "s", Born: 2, Rate: 5}}
	t.Run("an earlier build reads the present form", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(gossip.Message{
			From: "a", Incarnation: "i", Domain: "east", Heartbeat: heartbeat, RequestLimits: limits, Leaving: []gossip.Leaving{{Server: "s", Born: 2, Age: 30}},
			Warmups: []gossip.Warmup{{Server: "s", Born: 2, Left: 30}}, LateEntries: &gossip.LateEntries{Age: 30},
		})
		is.NoErr(err)
		var got formerMessage
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, formerMessage{From: "a", Incarnation: "i", Domain: "east", Heartbeat: heartbeat, RequestLimits: limits})
	})
	t.Run("the present build reads the earlier form", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(formerMessage{From: "a", Incarnation: "i", Domain: "east", Heartbeat: heartbeat, RequestLimits: limits})
		is.NoErr(err)
		var got gossip.Message
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, gossip.Message{From: "a", Incarnation: "i", Domain: "east", Heartbeat: heartbeat, RequestLimits: limits})
	})
	t.Run("the fields of a crash, and the version that earlier builds don't send", func(t *testing.T) {
		is := is.New(t)
		// {1: "a", 2: "", 3: "", 13: [{1: "s", 2: 2, 3: 30, 4: [7], 6: "v1"}]}
		data := []byte{0xa4, 0x01, 0x61, 'a', 0x02, 0x60, 0x03, 0x60, 0x0d, 0x81, 0xa5, 0x01, 0x61, 's', 0x02, 0x02, 0x03, 0x18, 30, 0x04, 0x81, 0x07, 0x06, 0x62, 'v', '1'}
		crash := gossip.Crash{Server: "s", Born: 2, Age: 30, Suspects: []id.Fingerprint{7}, Version: "v1"}
		var got gossip.Message
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, gossip.Message{From: "a", Crashes: []gossip.Crash{crash}})
		encoded, err := cbor.Marshal(got)
		is.NoErr(err)
		is.Equal(encoded, data)
		earlier := append([]byte{}, data[:len(data)-4]...)
		earlier[10] = 0xa4
		var gotEarlier gossip.Message
		is.NoErr(cbor.Unmarshal(earlier, &gotEarlier))
		crash.Version = ""
		is.Equal(gotEarlier.Crashes[0].ToReport(), crash.ToReport())
	})
	t.Run("the number and the fields of a leaving backend server", func(t *testing.T) {
		is := is.New(t)
		// {1: "a", 2: "", 3: "", 16: [{1: "s", 2: 2, 3: 30}]}
		data := []byte{0xa4, 0x01, 0x61, 'a', 0x02, 0x60, 0x03, 0x60, 0x10, 0x81, 0xa3, 0x01, 0x61, 's', 0x02, 0x02, 0x03, 0x18, 30}
		var got gossip.Message
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, gossip.Message{From: "a", Leaving: []gossip.Leaving{{Server: "s", Born: fleet.StartTime(2), Age: 30}}})
		encoded, err := cbor.Marshal(got)
		is.NoErr(err)
		is.Equal(encoded, data)
	})
	t.Run("the number and the fields of a sign of late entries", func(t *testing.T) {
		is := is.New(t)
		// {1: "a", 2: "", 3: "", 18: {1: 30}}
		data := []byte{0xa4, 0x01, 0x61, 'a', 0x02, 0x60, 0x03, 0x60, 0x12, 0xa1, 0x01, 0x18, 30}
		var got gossip.Message
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, gossip.Message{From: "a", LateEntries: &gossip.LateEntries{Age: 30}})
		encoded, err := cbor.Marshal(got)
		is.NoErr(err)
		is.Equal(encoded, data)
	})
	t.Run("the known term and the stamp of a heartbeat, which earlier builds don't send", func(t *testing.T) {
		is := is.New(t)
		// {1: "a", 2: "", 3: "", 4: {1: 7, 2: 0, 8: true, 12: 9, 13: {1: 9, 2: 30}}}
		data := []byte{0xa4, 0x01, 0x61, 'a', 0x02, 0x60, 0x03, 0x60, 0x04, 0xa5, 0x01, 0x07, 0x02, 0x00, 0x08, 0xf5, 0x0c, 0x09, 0x0d, 0xa2, 0x01, 0x09, 0x02, 0x18, 30}
		heartbeat := gossip.Heartbeat{Position: 7, StoreUnreachable: true, KnownTerm: 9, Stamp: &leader.Stamp{Term: 9, SentAt: 30}}
		var got gossip.Message
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(got, gossip.Message{From: "a", Heartbeat: &heartbeat})
		encoded, err := cbor.Marshal(got)
		is.NoErr(err)
		is.Equal(encoded, data)
		earlier := append([]byte{}, data[:16]...)
		earlier[9] = 0xa3
		var gotEarlier gossip.Message
		is.NoErr(cbor.Unmarshal(earlier, &gotEarlier))
		is.Equal(*gotEarlier.Heartbeat, gossip.Heartbeat{Position: 7, StoreUnreachable: true})
	})
	t.Run("a VM that knows of no leader sends a stamp, unlike earlier builds", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(gossip.Heartbeat{Stamp: &leader.Stamp{}})
		is.NoErr(err)
		is.Equal(data, []byte{0xa3, 0x01, 0x00, 0x02, 0x00, 0x0d, 0xa0})
		var got gossip.Heartbeat
		is.NoErr(cbor.Unmarshal(data, &got))
		is.True(got.Stamp != nil)
	})
	t.Run("an earlier build reads a heartbeat with a known term and a stamp", func(t *testing.T) {
		is := is.New(t)
		data, err := cbor.Marshal(gossip.Message{From: "a", Heartbeat: &gossip.Heartbeat{Position: 7, StoreStaleness: 5, Leading: true, Term: 9, KnownTerm: 9, Stamp: &leader.Stamp{Term: 9, SentAt: 30}}})
		is.NoErr(err)
		var got olderMessage
		is.NoErr(cbor.Unmarshal(data, &got))
		is.Equal(*got.Heartbeat, olderHeartbeat{Position: 7, StoreStaleness: 5, Leading: true, Term: 9})
	})
}

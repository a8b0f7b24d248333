package gossip_test

import (
	"encoding/hex"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/allotment"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
)

// recordedHeartbeat is a leader's heartbeat as builds without allotments send it.
const recordedHeartbeat = "a40163766d3102643161326203646561737404a401050219032003f50407"

// olderMessage is the part of gossip.Message that builds without allotments know.
type olderMessage struct {
	From        id.VM           `cbor:"1,keyasint"`
	Incarnation id.Incarnation  `cbor:"2,keyasint"`
	Domain      id.Domain       `cbor:"3,keyasint"`
	Heartbeat   *olderHeartbeat `cbor:"4,keyasint,omitempty"`
	Relay       bool            `cbor:"9,keyasint,omitempty"`
}

// olderHeartbeat is the part of gossip.Heartbeat that builds without allotments know.
type olderHeartbeat struct {
	Position       id.Revision `cbor:"1,keyasint"`
	StoreStaleness int64       `cbor:"2,keyasint"`
	Leading        bool        `cbor:"3,keyasint,omitempty"`
	Term           id.Revision `cbor:"4,keyasint,omitempty"`
}

// VMs of both builds run together during an upgrade. A message without asks and answers must be read as before, without them.
func TestMessageOfABuildWithoutAllotments(t *testing.T) {
	is := is.New(t)
	data, err := hex.DecodeString(recordedHeartbeat)
	is.NoErr(err)
	var m gossip.Message
	is.NoErr(cbor.Unmarshal(data, &m))
	is.Equal(m.From, id.VM("vm1"))
	is.Equal(m.Incarnation, id.Incarnation("1a2b"))
	is.Equal(m.Domain, id.Domain("east"))
	is.True(m.Ask == nil)
	is.True(m.Answer == nil)
	is.Equal(*m.Heartbeat, gossip.Heartbeat{Position: 5, StoreStaleness: 800, Leading: true, Term: 7})
	is.True(!m.Heartbeat.GivesTokens)
	encoded, err := cbor.Marshal(m)
	is.NoErr(err)
	is.Equal(hex.EncodeToString(encoded), recordedHeartbeat)
}

// A build that doesn't know asks and answers must read the rest of a message that has them.
func TestBuildWithoutAllotmentsReadsMessage(t *testing.T) {
	is := is.New(t)
	data, err := cbor.Marshal(gossip.Message{
		From: "vm1", Incarnation: "1a2b", Domain: "east", Relay: true,
		Heartbeat: &gossip.Heartbeat{Position: 5, StoreStaleness: 800, Leading: true, Term: 7, GivesTokens: true},
		Ask:       &allotment.Ask{Term: 7, Number: 3, Entries: []allotment.AskEntry{{Customer: "acme", Waiting: 1, Share: 20}}},
		Answer:    &allotment.Answer{Term: 7, Number: 2, Entries: []allotment.AnswerEntry{{Customer: "acme", Tokens: 1}}},
	})
	is.NoErr(err)
	var m olderMessage
	is.NoErr(cbor.Unmarshal(data, &m))
	is.Equal(m.From, id.VM("vm1"))
	is.True(m.Relay)
	is.Equal(*m.Heartbeat, olderHeartbeat{Position: 5, StoreStaleness: 800, Leading: true, Term: 7})
	var same gossip.Message
	is.NoErr(cbor.Unmarshal(data, &same))
	is.Equal(same.Ask.Entries[0].Share, allotment.Share(20))
	is.Equal(same.Answer.Entries[0].Tokens, 1)
}

// The longest ask and answer must fit in one datagram: fragments are lost more often, and a lost answer loses tokens.
func TestLongestAskFitsInADatagram(t *testing.T) {
	is := is.New(t)
	ask, answer := allotment.Ask{Term: 1 << 50, Number: 1 << 30, Answered: 1 << 30}, allotment.Answer{Term: 1 << 50, Number: 1 << 30}
	for range allotment.MaxEntries {
		name := id.Customer("a-customer-with-a-long-name-of-40-letters")
		ask.Entries = append(ask.Entries, allotment.AskEntry{
			Customer: name, Waiting: 300, Held: 30, Ahead: 30, Returned: 30, Demand: 1_000_000, Share: 1000, Offer: 70_000, Spent: 70_000, Denied: 300,
		})
		answer.Entries = append(answer.Entries, allotment.AnswerEntry{Customer: name, Tokens: 300, Denied: 300, Wait: 4000, Share: 1000, Offer: 70_000})
	}
	for _, m := range []gossip.Message{{From: "vm1", Incarnation: "12345678", Domain: "east", Ask: &ask}, {From: "vm1", Incarnation: "12345678", Domain: "east", Answer: &answer}} {
		data, err := cbor.Marshal(m)
		is.NoErr(err)
		t.Log(len(data))
		is.True(len(data) <= gossip.MaxDatagramBytes)
	}
}

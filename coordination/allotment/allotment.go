// Package allotment limits the requests of each customer over all VMs together, as a distributed token bucket.
//
// The leader runs a Granter with a bucket for each customer. Every VM runs a
// Holder that asks the granter for tokens, one for each request. A VM with demand
// holds some tokens ahead of need, so that most requests don't wait, and has a
// share of the allotment at which it sends while it has no contact to the granter.
// The package uses no sockets, goroutines or clocks; callers pass the time.
//
// # Usage
//
//	h := allotment.NewHolder(settings, lookup, now)
//	h.SetGranter(now, term, true)
//	verdict := h.Take(now, "customer", &allotment.Waiter{Settle: settle})
//	if ask, ok := h.NextAsk(now); ok {
//		answer, ok := granter.Answer(now, "vm1", incarnation, ask)
//		h.Receive(now, answer)
//	}
package allotment

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Share is a part of a customer's allotment, in thousandths. The shares of all VMs add up to at most WholeShare. A part, rather than a
// rate, follows a changed configuration at once at each VM.
type Share int

// WholeShare is the whole allotment.
const WholeShare Share = 1000

// of returns the share's part of a quantity.
func (s Share) of(x float64) float64 { return x * float64(s) / float64(WholeShare) }

// Settings bound the number of requests in a window: (rate x Window + burst) x (1 + Overage) + Slack.
type Settings struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// The overage of a window is divided so that its parts add up to the whole for any rate: tokens ahead of need 0.4, floors 0.2, and the
// rest for tokens that are used up to MaxWait after they were granted (0.3 with a window of 5 s and an overage of 0.1) and for
// minCapacityTime (0.1). Answers that are up to maxAnswerAge late need the floors' part too; floors are used only without answers.
const (
	aheadOverage = 0.4
	floorOverage = 0.2
	// aheadSlack is the part of the slack for tokens ahead of need.
	aheadSlack = 0.75
	// slotPart is the part of the tokens ahead of need that is divided evenly, one for each VM that may hold some. The rest is divided by share.
	slotPart = 0.5
)

// Times of the protocol between granter and holders.
const (
	// MaxWait is the longest wait of a request for an answer.
	MaxWait = 150 * time.Millisecond
	// maxAnswerAge is the age of a question from which its answer is dropped. A VM with 0.16 of a core may be off its processor for 85 ms
	// of 100 ms at both ends of an exchange.
	maxAnswerAge = 250 * time.Millisecond
	// minBatchTime, batchTimePerVM and maxBatchTime give how long a request waits for others that share its ask: 5 ms for up to 100 VMs.
	minBatchTime   = 5 * time.Millisecond
	batchTimePerVM = 50 * time.Microsecond
	maxBatchTime   = 20 * time.Millisecond
	// askPeriod is the time between two asks of a VM that has a share or demand, and before a lost ask is repeated.
	askPeriod = 100 * time.Millisecond
	// contactTimeout is the age of the latest answered question from which a VM sends at the rate of its share.
	contactTimeout = 300 * time.Millisecond
	// silenceTimeout is the age of the latest question known to be answered from which the granter reserves the VM's share. It is shorter
	// than contactTimeout by more than the usual delay of a question.
	silenceTimeout = 250 * time.Millisecond
	// shareTTL is how long a VM uses its share without contact. It is longer than the cut-offs that are expected (12 s).
	shareTTL = 15 * time.Second
	// shareExpiry is when the granter takes a silent VM's share back; the difference to shareTTL covers the drift of clocks.
	shareExpiry = shareTTL + 500*time.Millisecond
	// minCapacityTime is the time for which the bucket of a customer with a small burst collects tokens, since asks come in intervals.
	minCapacityTime = 50 * time.Millisecond
)

// ahead returns the number of tokens that all VMs together may hold ahead of need.
func (s Settings) ahead(a fleet.Allotment) float64 {
	return aheadOverage*s.Overage*(a.Rate*s.Window.Seconds()+a.Burst) + aheadSlack*s.Slack
}

// slots returns the number of VMs that may hold tokens ahead of need, at least one each.
func (s Settings) slots(a fleet.Allotment) int { return int(slotPart * s.ahead(a)) }

// room returns the number of tokens that a VM with a share may hold ahead of need. The sum over all VMs is at most ahead.
func (s Settings) room(a fleet.Allotment, share Share) int {
	if share <= 0 {
		return 0
	}
	return 1 + int(share.of(max(0, s.ahead(a)-float64(s.slots(a)))))
}

// floor returns the rate, in requests per second, that each VM has without a share.
func (s Settings) floor(a fleet.Allotment, vms int) float64 {
	return floorOverage * s.Overage * a.Rate / float64(max(1, vms))
}

// capacity returns the capacity of a customer's bucket, in tokens.
func capacity(a fleet.Allotment) float64 { return max(1, a.Burst, a.Rate*minCapacityTime.Seconds()) }

// Lookup returns the allotment of a customer in the present configuration; ok is false if it has no limit.
type Lookup func(c id.Customer) (a fleet.Allotment, ok bool)

// Ask is a message of a VM to the granter.
type Ask struct {
	// Term is the term of the leader that is asked.
	Term id.Revision `cbor:"1,keyasint"`
	// Number counts the asks of a VM's incarnation, from 1.
	Number uint64 `cbor:"2,keyasint"`
	// Answered is the highest number that the granter of this term has answered, as far as the VM knows.
	Answered uint64 `cbor:"3,keyasint,omitempty"`
	// Complete says that the granter has been told all shares of the VM.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Partial says that entries were left out for lack of room.
	Partial bool       `cbor:"5,keyasint,omitempty"`
	Entries []AskEntry `cbor:"6,keyasint,omitempty"`
}

// MaxEntries limits the entries of an ask and so of its answer, so that both fit in a datagram.
const MaxEntries = 80

// AskEntry is the part of an ask for one customer. A customer is left out if nothing has changed.
type AskEntry struct {
	Customer id.Customer `cbor:"1,keyasint"`
	// Waiting is the number of requests that wait for a token.
	Waiting int `cbor:"2,keyasint,omitempty"`
	// Held is the number of tokens held ahead of need, and Ahead the number wanted in addition.
	Held  int `cbor:"3,keyasint,omitempty"`
	Ahead int `cbor:"4,keyasint,omitempty"`
	// Returned is the number of tokens that are given back.
	Returned int `cbor:"5,keyasint,omitempty"`
	// Demand is the usual number of requests per second, in thousandths.
	Demand int `cbor:"6,keyasint,omitempty"`
	// Share is the VM's share, and Offer the number of the granter's offer that it comes from, or 0 if from an earlier granter.
	Share Share  `cbor:"7,keyasint,omitempty"`
	Offer uint64 `cbor:"8,keyasint,omitempty"`
	// Spent counts the requests that the VM has sent without tokens since its start.
	Spent uint64 `cbor:"9,keyasint,omitempty"`
	// Denied is the number of requests that the VM has refused by itself since the preceding ask.
	Denied int `cbor:"10,keyasint,omitempty"`
}

// Answer is the granter's answer to an Ask.
type Answer struct {
	Term    id.Revision   `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint"`
	Entries []AnswerEntry `cbor:"3,keyasint,omitempty"`
}

// AnswerEntry is the part of an answer for one customer.
type AnswerEntry struct {
	Customer id.Customer `cbor:"1,keyasint"`
	// Tokens is the number of tokens granted, for waiting requests first.
	Tokens int `cbor:"2,keyasint,omitempty"`
	// Denied is the number of waiting requests to refuse. The VM asks again for the others after Wait.
	Denied int `cbor:"3,keyasint,omitempty"`
	// Wait is the time, in milliseconds, until there is a token for the first request that got none.
	Wait int `cbor:"4,keyasint,omitempty"`
	// Share is offered to the VM under the number Offer.
	Share Share  `cbor:"5,keyasint,omitempty"`
	Offer uint64 `cbor:"6,keyasint,omitempty"`
	// Level is the number of tokens that the granter has left. The VM begins with its share of them when it loses contact.
	Level int `cbor:"7,keyasint,omitempty"`
}

// elapsed returns the seconds between two instants, or 0 if to is earlier.
func elapsed(from, to clock.Instant) float64 { return max(0, to.Sub(from).Seconds()) }

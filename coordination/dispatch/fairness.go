package dispatch

import (
	"math"
	"time"

	"github.com/hickorylug/hickorylug/coordination/fairshare"
	"github.com/hickorylug/hickorylug/state/clock"
)

const (
	// minEntitledPart is the least weight at this VM as a part of an even part of the customer's rate.
	minEntitledPart = 0.5
	// fullExcess is the excess from which a customer gets the fewest places. It is a range and not a limit, since the use of a customer with
	// two requests a second deviates by a fifth or more from its mean.
	fullExcess = 0.6
	// exceedingObjectiveShare is the part of the time left to the objective within which the owner of a key must answer requests of a
	// customer beyond its share, so that one more request of others is still in time.
	exceedingObjectiveShare = 0.75
	// sharedWaitShare is the part of the time to its objective for which a request of a customer within its share may be queued during an
	// overload. With the wait of the others, a quarter, twice as many of them were refused.
	sharedWaitShare = 0.5
	// maxTolerance and minTolerance bound the tolerance. With a lower bound below 1, most customers exceed it in an overload, and those with
	// many times their rate are not told from the others.
	maxTolerance = 3
	minTolerance = 1.1
	// toleranceFall and toleranceRise are the parts by which the tolerance changes with each arrival of a customer within its share that finds
	// no place, or one. It is steady while one in twenty finds none.
	toleranceFall = 0.02
	toleranceRise = toleranceFall / 19
)

// entitlement returns the bounds of a customer's weight at this VM.
//
// A VM knows the customer's rate over all VMs, but not the part of it that
// comes through itself. The customer may have a part at each VM or everything at
// this one. The least weight is below an even part, since customers usually
// send less than they are entitled to: it must not make those with callers at
// all VMs equal to one with all callers here.
func (d *Dispatcher) entitlement(demand Demand) fairshare.Entitlement {
	return fairshare.Entitlement{Min: minEntitledPart * demand.Weight / float64(max(1, d.options.Peers())), Max: demand.Weight}
}

// rank returns the place of a request among those of other customers.
func (d *Dispatcher) rank(now clock.Instant, s *service, demand Demand) fairshare.Rank {
	return s.order.Rank(now, demand.Customer, d.entitlement(demand))
}

// excess returns by which part the use of a request's customer exceeds the tolerance; 0 or less means that the customer is within its share.
// Requests without a customer always are, and all are at maxTolerance, so that capacity that nobody else wants isn't left free.
func (d *Dispatcher) excess(now clock.Instant, s *service, demand Demand) float64 {
	if demand.Customer == "" {
		return 0
	}
	if s.tolerance >= maxTolerance {
		return 0
	}
	return s.order.Level(now, demand.Customer, d.entitlement(demand))/float64(s.tolerance) - 1
}

// exceedsShare reports whether the customer of a request uses more than its share.
func (d *Dispatcher) exceedsShare(now clock.Instant, s *service, demand Demand) bool {
	return d.excess(now, s, demand) > 0
}

// mayOvertake reports whether a request may get a slot at once although others are queued.
func (d *Dispatcher) mayOvertake(now clock.Instant, s *service, w *waiter) bool {
	switch {
	case len(s.waiting) == 0 || w.demand.Retry:
		return true
	case w.demand.Customer == "":
		return w.demand.Keyed
	}
	owner := d.owner(s.name, w.demand.Key)
	for _, other := range s.waiting {
		if other.demand.Keyed == w.demand.Keyed && (!w.demand.Keyed || d.owner(s.name, other.demand.Key) == owner) && !w.precedes(now, other) {
			return false
		}
	}
	return true
}

// queuePlaces returns how many requests beyond the slots of a backend server there may be with this one; a negative number leaves slots free.
//
// A customer beyond its share gets fewer places, down to one less than half of
// the most. The places that it leaves free serve the other customers of all
// VMs, of which this VM knows nothing.
func (d *Dispatcher) queuePlaces(now clock.Instant, s *service, demand Demand, most int) int {
	if demand.isLate(now) {
		return -lateReservedSlots
	}
	excess := d.excess(now, s, demand)
	if excess <= 0 {
		return most
	}
	steps := most - most/2 + 1
	return most - int(math.Ceil(min(1, excess/fullExcess)*float64(steps)))
}

// tolerance is the level of use, as a multiple of a customer's weight, above which the customer exceeds its share.
//
// It falls while other customers find no place, until those with the highest
// level leave enough places to them. Without such a shortage a customer may
// use what is free.
type tolerance float64

// observe adds an arrival of a customer within its share; found says that it got a place at once.
func (t *tolerance) observe(found bool) {
	if found {
		*t = min(*t*(1+toleranceRise), maxTolerance)
	} else {
		*t = max(*t*(1-toleranceFall), minTolerance)
	}
}

// observeTolerance adapts the tolerance to an arrival.
func (d *Dispatcher) observeTolerance(now clock.Instant, s *service, demand Demand, found bool) {
	if demand.Customer != "" && !demand.Retry && !demand.isLate(now) && !d.exceedsShare(now, s, demand) {
		s.tolerance.observe(found)
	}
}

// leavesOwner reports whether a request has to leave the rest of the time of a key's owner to other customers.
func (d *Dispatcher) leavesOwner(now clock.Instant, s *service, demand Demand, owner *server, finish clock.Instant) bool {
	return owner.load(now) >= owner.Slots && d.exceedsShare(now, s, demand) &&
		finish > now.Add(time.Duration(exceedingObjectiveShare*float64(demand.Objective.Sub(now))))
}

// waitShare returns the part of the time to its objective for which a request may be queued during an overload. Customers within their
// share may wait longer than others, as they are served first.
func (d *Dispatcher) waitShare(now clock.Instant, s *service, demand Demand, share float64) float64 {
	if demand.Customer == "" || d.exceedsShare(now, s, demand) {
		return share
	}
	return sharedWaitShare
}

package ownership

import (
	"cmp"
	"slices"

	"github.com/hickorylug/hickorylug/state/fleet"
)

// Admission limits the requests for some keys to a share, because their owner can't serve all of them.
//
// It answers the load of a key that is hotter than its owner's capacity, in a
// fleet whose VMs each get a small part of the requests. Only the leader knows
// all of them. Without a limit the owner's queue is always full, and all
// answers for its keys are late.
type Admission struct {
	From, To fleet.Key
	// Fence is that of the range. The limit ends when the keys move.
	Fence fleet.Fence
	// Share is the share of the requests that the owner can serve, from 0 to 1.
	Share float64
}

const (
	// admissionUtilization is the utilization of a backend server from which the requests for its keys are limited. The rates and
	// capacities are estimates.
	admissionUtilization = 1.15
	// targetUtilization is the utilization that a limit aims at. At the full capacity, the queue would grow by chance until all answers
	// are late.
	targetUtilization = 0.9
	// hotKeyShare is the load of a key, as a share of its owner's capacity, from which the key is limited rather than all keys of the
	// owner.
	hotKeyShare = 0.1
	// minAdmission is the least share, so that a limit that is out of date doesn't keep all requests away.
	minAdmission = 0.01
	// maxAdmissions limits the number of limits, which are part of the leader's heartbeats.
	maxAdmissions = 60
)

// Admissions returns the limits of the requests for keys of overloaded backend servers.
func Admissions(t *fleet.Table, candidates []Candidate, load Load) (out []Admission) {
	owned := map[fleet.Incarnation][]fleet.Range{}
	for _, r := range t.Ranges {
		owned[r.Owner] = append(owned[r.Owner], r)
	}
	hot := hotKeys(t, candidates, load)
	weights := map[fleet.Incarnation]float64{}
	for key, rate := range load {
		if r, ok := t.Find(key); ok {
			weights[r.Owner] += rate
		}
	}
	for _, c := range candidates {
		if c.Capacity > 0 && weights[c.Incarnation] > admissionUtilization*c.Capacity {
			out = append(out, limit(c, owned[c.Incarnation], hot[c.Incarnation], weights[c.Incarnation], load)...)
		}
	}
	if len(out) > maxAdmissions {
		slices.SortFunc(out, func(a, b Admission) int { return cmp.Compare(a.Share, b.Share) })
		out = out[:maxAdmissions]
	}
	return out
}

// hotKeys returns the hot keys of each owner, in ascending order.
func hotKeys(t *fleet.Table, candidates []Candidate, load Load) map[fleet.Incarnation][]fleet.Key {
	capacities := map[fleet.Incarnation]float64{}
	for _, c := range candidates {
		capacities[c.Incarnation] = c.Capacity
	}
	hot := map[fleet.Incarnation][]fleet.Key{}
	for key, rate := range load {
		r, ok := t.Find(key)
		if ok && rate >= hotKeyShare*capacities[r.Owner] {
			hot[r.Owner] = append(hot[r.Owner], key)
		}
	}
	for _, keys := range hot {
		slices.Sort(keys)
	}
	return hot
}

// limit returns the limits for an overloaded backend server: of its hot keys, if the others leave room for some of their requests, or
// else of all its keys.
func limit(c Candidate, ranges []fleet.Range, hot []fleet.Key, weight float64, load Load) (out []Admission) {
	hotWeight := 0.0
	for _, key := range hot {
		hotWeight += load[key]
	}
	others := weight - hotWeight
	if hotWeight == 0 || others >= targetUtilization*c.Capacity {
		for _, r := range ranges {
			out = append(out, Admission{From: r.From, To: r.To, Fence: r.Fence, Share: max(minAdmission, targetUtilization*c.Capacity/weight)})
		}
		return out
	}
	share := max(minAdmission, (targetUtilization*c.Capacity-others)/hotWeight)
	for _, key := range hot {
		at := slices.IndexFunc(ranges, func(r fleet.Range) bool { return r.From <= key && key <= r.To })
		if n := len(out) - 1; n >= 0 && out[n].To+1 == key && out[n].Fence == ranges[at].Fence {
			out[n].To = key
			continue
		}
		out = append(out, Admission{From: key, To: key, Fence: ranges[at].Fence, Share: share})
	}
	return out
}

package quorum_test

import (
	"math/bits"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/quorum"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

// membersOf returns members whose names are digits, with the failure domains that a text names for them in this order.
func membersOf(domains string) map[id.VM]id.Domain {
	members := map[id.VM]id.Domain{}
	for i, d := range domains {
		members[vm(i)] = id.Domain(d)
	}
	return members
}

func vm(i int) id.VM { return id.VM('0' + rune(i)) }

func TestQuorums(t *testing.T) {
	tests := map[string]struct {
		domains, vms     string
		majority, blocks bool
	}{
		"the larger of two failure domains":       {domains: "aab", vms: "01", blocks: true},
		"the smaller of two failure domains":      {domains: "aab", vms: "2", blocks: true},
		"most VMs in both failure domains":        {domains: "aab", vms: "12", majority: true, blocks: true},
		"one of two VMs":                          {domains: "aa", vms: "0", blocks: true},
		"most VMs of one failure domain":          {domains: "aaa", vms: "01", majority: true, blocks: true},
		"one of three VMs":                        {domains: "aaa", vms: "0"},
		"all but one of three failure domains":    {domains: "aaaabbbbccc", vms: "0123456:", majority: true, blocks: true},
		"without the largest failure domain":      {domains: "aaaaabbbccc", vms: "56789:", majority: true, blocks: true},
		"the largest failure domain":              {domains: "aaaaabbbccc", vms: "01234"},
		"two whole failure domains of four":       {domains: "aaabbbccdd", vms: "6789", blocks: true},
		"most VMs in two failure domains of four": {domains: "aaabbbccdd", vms: "012345", blocks: true},
		"no members": {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			members, selected := membersOf(test.domains), membersOf("")
			for _, r := range test.vms {
				selected[id.VM(r)] = ""
			}
			has := func(vm id.VM) bool { _, ok := selected[vm]; return ok }
			is.Equal(quorum.HasMajority(members, has), test.majority)
			is.Equal(quorum.Blocks(members, has), test.blocks)
		})
	}
}

// Two leaders act at once if one has a majority of which no VM follows the other.
func TestEachMajorityHasABlockingVM(t *testing.T) {
	for _, domains := range []string{"a", "ab", "aab", "abc", "aabb", "aaab", "aabbc", "aaabc", "abcd", "aabcd", "aaabbc"} {
		members := membersOf(domains)
		isIn := func(set uint) func(vm id.VM) bool {
			return func(vm id.VM) bool { return set>>(vm[0]-'0')&1 == 1 }
		}
		all := uint(1)<<len(domains) - 1
		for majority := range all + 1 {
			if !quorum.HasMajority(members, isIn(majority)) {
				continue
			}
			if 2*bits.OnesCount(majority) <= len(domains) {
				t.Fatalf("%s: %b is a majority", domains, majority)
			}
			for blocking := range all + 1 {
				if quorum.Blocks(members, isIn(blocking)) && majority&blocking == 0 {
					t.Fatalf("%s: majority %b has none of %b", domains, majority, blocking)
				}
			}
		}
	}
}

func TestTimesOfQuorums(t *testing.T) {
	is := is.New(t)
	members := membersOf("aab")
	times := map[id.VM]clock.Instant{"0": 10, "1": 20}
	timeOf := func(vm id.VM) (clock.Instant, bool) { at, ok := times[vm]; return at, ok }
	_, ok := quorum.MajorityAt(members, timeOf)
	is.True(!ok) // none of the failure domain b
	since, ok := quorum.BlockedSince(members, timeOf)
	is.True(ok)
	is.Equal(since, clock.Instant(20)) // both of the failure domain a
	times["2"] = 15
	at, ok := quorum.MajorityAt(members, timeOf)
	is.True(ok)
	is.Equal(at, clock.Instant(15))
	since, ok = quorum.BlockedSince(members, timeOf)
	is.True(ok)
	is.Equal(since, clock.Instant(15))
}

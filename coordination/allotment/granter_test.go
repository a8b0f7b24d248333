package allotment

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// What the granter has reserved for VMs without contact comes back when they have spent none of it. Together it must not be more than the
// bucket holds, also if the VMs come back one after another: customers would get a burst for each.
func TestReservationsComeBackWithinTheBurst(t *testing.T) {
	is := is.New(t)
	const customer, vms = id.Customer("acme"), 4
	limit := fleet.Allotment{Rate: 60, Burst: 40}
	settings := Settings{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	now := playStart
	g := NewGranter(settings, func(id.Customer) (fleet.Allotment, bool) { return limit, true }, 1, now)
	g.SetMembers(now, nil)
	last := make([]Answer, vms)
	ask := func(vm, waiting int, answered uint64) int {
		e := AskEntry{Customer: customer, Waiting: waiting, Demand: 15_000}
		if len(last[vm].Entries) > 0 {
			e.Share, e.Offer = last[vm].Entries[0].Share, last[vm].Entries[0].Offer
		}
		answer, ok := g.Answer(now, id.VM(fmt.Sprint("vm", vm)), "1", Ask{Term: 1, Number: last[vm].Number + 1, Answered: answered, Complete: true, Entries: []AskEntry{e}})
		is.True(ok)
		last[vm] = answer
		return answer.Entries[0].Tokens
	}
	for range 20 {
		now = now.Add(askPeriod)
		for vm := range vms {
			ask(vm, 10, last[vm].Number)
		}
	}
	for vm := range vms {
		is.Equal(last[vm].Entries[0].Share, WholeShare/vms)
	}
	now = now.Add(6 * time.Second)
	tokens := 0
	for vm := range vms {
		ask(vm, 0, last[vm].Number)
		tokens += ask(vm, 100, last[vm].Number)
	}
	is.True(tokens > 0)
	is.True(tokens <= int(limit.Burst))
}

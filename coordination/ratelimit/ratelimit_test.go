package ratelimit_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/ratelimit"
	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/id"
)

func vms(n int) (out []id.VM) {
	for i := range n {
		out = append(out, id.VM(fmt.Sprint("vm", i)))
	}
	return out
}

// Two VMs that know of one VM more or less agree on all senders but one.
func TestSendersChangeByOne(t *testing.T) {
	for n := 1; n < 60; n++ {
		is := is.New(t)
		before, after := ratelimit.Senders("s", vms(n), 5), ratelimit.Senders("s", vms(n+1), 5)
		is.Equal(len(before), min(n, 5))
		replaced := slices.DeleteFunc(slices.Clone(after), func(vm id.VM) bool { return slices.Contains(before, vm) })
		is.True(len(replaced) <= 1) // a VM that is added replaces at most one sender
	}
	is.New(t).Equal(len(ratelimit.Senders("s", nil, 5)), 0)
}

func TestBucket(t *testing.T) {
	start := clock.Instant(time.Hour)
	tests := map[string]struct {
		rates []ratelimit.Rate
		takes int
		after time.Duration
		want  time.Duration
	}{
		"without a rate":                  {after: time.Minute, want: ratelimit.Never},
		"just begun":                      {rates: []ratelimit.Rate{4}, want: 1250 * time.Millisecond},
		"a token after the pause":         {rates: []ratelimit.Rate{4}, after: 1250 * time.Millisecond},
		"one token at most":               {rates: []ratelimit.Rate{4}, after: time.Minute, takes: 1, want: 250 * time.Millisecond},
		"another rate keeps what is left": {rates: []ratelimit.Rate{4, 2}, after: time.Minute},
		"a lower rate":                    {rates: []ratelimit.Rate{4, 2}, after: time.Minute, takes: 1, want: 500 * time.Millisecond},
		"a rate of 0 gives nothing more":  {rates: []ratelimit.Rate{2, 0}, after: time.Minute, want: ratelimit.Never},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := ratelimit.NewBucket(start)
			for i, rate := range test.rates {
				at := start
				if i > 0 {
					at = start.Add(test.after)
				}
				b.SetRate(at, rate)
			}
			now := start.Add(test.after)
			for range test.takes {
				b.Take(now)
			}
			is.Equal(b.Wait(now, 1), test.want)
		})
	}
}

// Other VMs hear of a limit when it begins, changes or ends, and now and then while it stays the same.
func TestNews(t *testing.T) {
	type step struct {
		rate  ratelimit.Rate
		after time.Duration
		news  bool
	}
	tests := map[string][]step{
		"begins and ends":            {{rate: 8, news: true}, {rate: 8, after: time.Second}, {rate: 0, after: time.Second, news: true}, {rate: 0, after: time.Minute}},
		"changes a little":           {{rate: 8, news: true}, {rate: 7.5, after: 100 * time.Millisecond}},
		"changes much":               {{rate: 8, news: true}, {rate: 4, after: 100 * time.Millisecond, news: true}},
		"stays for seconds":          {{rate: 8, news: true}, {rate: 8, after: 2 * time.Second}, {rate: 8, after: time.Second, news: true}},
		"there never was one":        {{rate: 0}, {rate: 0, after: time.Minute}},
		"begins again after a while": {{rate: 8, news: true}, {rate: 0, after: time.Second, news: true}, {rate: 8, after: time.Second, news: true}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l ratelimit.Limit
			now := clock.Instant(time.Hour)
			for _, s := range steps {
				now = now.Add(s.after)
				l.Observe(now, ratelimit.Observation{Rate: s.rate, At: now})
				_, ok := l.TakeNews()
				is.Equal(ok, s.news)
				is.Equal(l.Rate(now), s.rate)
			}
		})
	}
}

package edge

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

func TestTrafficSplitIsExact(t *testing.T) {
	tests := map[string]struct {
		targets []fleet.Target
		want    map[id.Service]int
	}{
		"one target":        {targets: []fleet.Target{{Service: "a", Weight: 1}}, want: map[id.Service]int{"a": 100}},
		"weights 90 and 10": {targets: []fleet.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, want: map[id.Service]int{"a": 90, "b": 10}},
		"a weight of zero":  {targets: []fleet.Target{{Service: "a", Weight: 0}, {Service: "b", Weight: 5}}, want: map[id.Service]int{"b": 100}},
		"three targets":     {targets: []fleet.Target{{Service: "a", Weight: 5}, {Service: "b", Weight: 3}, {Service: "c", Weight: 2}}, want: map[id.Service]int{"a": 50, "b": 30, "c": 20}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newTrafficSplitter()
			got := map[id.Service]int{}
			for range 100 {
				got[s.pick(&fleet.Route{Name: "r", Targets: test.targets})]++
			}
			is.Equal(got, test.want)
		})
	}
}

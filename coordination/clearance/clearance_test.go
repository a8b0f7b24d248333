package clearance_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/clearance"
)

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		facts clearance.Facts
		want  clearance.Verdict
	}{
		"nothing has changed": {want: clearance.Granted},
		"the caller has left": {facts: clearance.Facts{HasCallerLeft: true}, want: clearance.CallerLeft},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(clearance.Decide(test.facts), test.want)
		})
	}
}

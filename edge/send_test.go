package edge

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/coordination/dispatch"
	"github.com/hickorylug/hickorylug/coordination/forward"
	"github.com/hickorylug/hickorylug/platform"
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

// A success without the signature of the backend server's application reached callers.
func TestSuccessWithoutSignatureIsNotPassedOn(t *testing.T) {
	const signature = "Response-Signature"
	tests := map[string]struct {
		status   int
		field    string
		unsigned bool
	}{
		"signed":                      {status: http.StatusOK, field: signature},
		"no signature":                {status: http.StatusOK, unsigned: true},
		"a wrong byte in its name":    {status: http.StatusOK, field: "Response-Signatur!", unsigned: true},
		"no content":                  {status: http.StatusNoContent, unsigned: true},
		"another success":             {status: 299, unsigned: true},
		"a failure without signature": {status: http.StatusInternalServerError},
		"not found without signature": {status: http.StatusNotFound},
		"a rejection":                 {status: http.StatusMisdirectedRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
				if test.field != "" {
					w.Header().Set(test.field, "3e1b")
				}
				w.WriteHeader(test.status)
			}))
			t.Cleanup(server.Close)
			address := strings.TrimPrefix(server.URL, "http://")
			v.register("s1", address, 1)
			request := &forward.Request{ID: "r1", Method: http.MethodGet, Target: "/", Host: address, Header: http.Header{}, Service: "plans", Route: &fleet.Route{}}
			reply, failure := v.sendAttempt(t.Context(), forward.Attempt{Request: request, Slot: &dispatch.Slot{Server: v.snapshot.Load().Servers["s1"], MaxConnections: 1}, Timeout: time.Second})
			is.True(failure == nil)
			is.Equal(reply.Unsigned, test.unsigned)
		})
	}
}

package edge

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/relay"
)

// A refusal that the links of this VM may have caused counted as a crash of the backend server if the caller had left by then.
func TestRefusalsOnSuspectedLinksAreNotCrashesAfterCallersLeft(t *testing.T) {
	for name, leaves := range map[string]bool{"the caller waits": false, "the caller has left": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newLeavingVM(t)
			wanted, leave := context.WithCancel(t.Context())
			defer leave()
			v.backends = http1.NewClient(http1.WithDial(func(context.Context, string) (net.Conn, error) {
				if leaves {
					leave()
				}
				return nil, syscall.ECONNREFUSED
			}))
			for _, server := range []id.Server{"x1", "x2", "x3", "x4", "x5"} {
				v.reach.RecordDial(server, false)
			}
			is.True(v.reach.IsSuspected())
			a := attemptAt("127.0.0.1:9")
			a.Detached, a.Wanted = true, wanted
			r := v.attempt(t.Context(), a)
			is.True(!r.Failure.Sent)
			is.True(!r.Failure.Refused)
		})
	}
}

// A VM dialed a backend server for a caller that had left while another VM was asked, and held the slot that much longer.
func TestBackendServersAreNotDialedAfterCallersLeftDuringOtherWaits(t *testing.T) {
	is := is.New(t)
	v := newLeavingVM(t)
	wanted, leave := context.WithCancel(t.Context())
	defer leave()
	dials := 0
	v.backends = http1.NewClient(http1.WithDial(func(context.Context, string) (net.Conn, error) {
		dials++
		return nil, syscall.ECONNREFUSED
	}))
	mux := http.NewServeMux()
	mux.Handle(relay.Path, relay.NewHandler(v.bodies, func(context.Context, relay.Attempt) (relay.Result, bool) {
		leave()
		return relay.Result{}, false
	}))
	relays := httptest.NewServer(mux)
	defer relays.Close()
	v.put("hickorylug/vm/b", `{"VM":"b","Domain":"east","Address":"`+strings.TrimPrefix(relays.URL, "http://")+`","Incarnation":"i"}`)
	for _, server := range []id.Server{"x1", "x2", "x3", "x4", "x5"} {
		v.reach.RecordDial(server, false)
	}
	a := attemptAt("127.0.0.1:9")
	a.Detached, a.Wanted = true, wanted
	r := v.attempt(t.Context(), a)
	is.True(wanted.Err() != nil)
	is.True(!r.Failure.Sent)
	is.Equal(dials, 0)
}

package gossip_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/loopback"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

// A message whose handling panics, or a malformed one, must not end the process or the messages after it.
func TestBadMessagesAreSurvived(t *testing.T) {
	is := is.New(t)
	since := func(id.Revision) fleet.Update { return fleet.Update{} }
	panics := make(chan any, 1)
	receiver, err := gossip.Listen("127.0.0.1:0", since, gossip.WithOnPanic(func(value any, _ []byte) { panics <- value }))
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	received := make(chan id.VM, 16)
	done := receiver.Serve(ctx, func(m gossip.Message) {
		if m.From == "bad" {
			panic("unexpected")
		}
		received <- m.From
	})
	sender, err := gossip.Listen("127.0.0.1:0", since)
	is.NoErr(err)
	malformed, err := net.Dial("udp", receiver.Address())
	is.NoErr(err)
	defer malformed.Close()
	for _, data := range [][]byte{{0xff}, {0xbb, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, []byte("GET / HTTP/1.1"), {0xa1, 0x01, 0x9b, 0x7f}} {
		_, err := malformed.Write(data)
		is.NoErr(err)
	}
	is.NoErr(sender.Send(gossip.Message{From: "bad"}, receiver.Address()))
	is.Equal(<-panics, "unexpected")
	is.NoErr(sender.Send(gossip.Message{From: "good"}, receiver.Address()))
	is.Equal(<-received, id.VM("good"))
	cancel()
	is.NoErr(<-done)
}

// A request of another VM whose handling panics or is aborted must be reported, and others served.
func TestLostRequestsOfVMsAreReported(t *testing.T) {
	tests := map[string]struct {
		value  any
		panics int
	}{
		"a fault":            {value: "unexpected", panics: 1},
		"an aborted request": {value: http.ErrAbortHandler},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			panics, lost := make(chan any, 8), make(chan http1server.Lost, 8)
			address, err := loopback.FreeAddress()
			is.NoErr(err)
			socket, err := gossip.Listen(address, func(id.Revision) fleet.Update { panic(test.value) },
				gossip.WithOnPanic(func(value any, _ []byte) { panics <- value }), gossip.WithOnLost(func(l http1server.Lost) { lost <- l }),
				gossip.WithHandler("/good", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			done := socket.Serve(ctx, func(gossip.Message) {})
			_, err = socket.Fetch(ctx, address, 0)
			is.True(err != nil)
			got := <-lost
			is.Equal(got.Request, "GET /v1/changes")
			is.True(errors.Is(got.Cause, http1server.ErrAborted))
			is.Equal(len(panics), test.panics)
			resp, err := http.Get("http://" + address + "/good")
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
			cancel()
			is.NoErr(<-done)
		})
	}
}

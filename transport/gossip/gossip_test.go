package gossip_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/gossip"
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

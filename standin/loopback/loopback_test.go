package loopback

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

// A VM failed to start if its port was assigned to another process before it listened there, so ports must not be
// ephemeral ones and must not be returned twice.
func TestFreeAddress(t *testing.T) {
	const ephemeralStart = 32768 // the default of Linux
	is := is.New(t)
	seen := map[string]bool{}
	for range 100 {
		address, err := FreeAddress()
		is.NoErr(err)
		is.True(!seen[address]) // no address is returned twice
		seen[address] = true
		is.True(netip.MustParseAddrPort(address).Port() < ephemeralStart)
	}
}

// A VM listens for TCP and UDP on the same port, so a port that is in use for either is not free.
func TestIsFree(t *testing.T) {
	tests := map[string]struct {
		listen func(address string) (io.Closer, error)
		want   bool
	}{
		"unused": {listen: func(string) (io.Closer, error) { return io.NopCloser(nil), nil }, want: true},
		"TCP":    {listen: func(address string) (io.Closer, error) { return net.Listen("tcp", address) }},
		"UDP":    {listen: func(address string) (io.Closer, error) { return net.ListenPacket("udp", address) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, err := FreeAddress()
			is.NoErr(err)
			used, err := test.listen(address)
			is.NoErr(err) // the address can be listened on
			defer used.Close()
			is.Equal(isFree(address), test.want)
		})
	}
}

package faultproxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
)

// site is a network of the programs a and b, of which only b serves connections: it sends each byte back.
type site struct {
	network *faultproxy.Network
	sockets map[string]*net.UDPConn
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{sockets: map[string]*net.UDPConn{}}
	s.network = faultproxy.NewNetwork(func(_, _ netip.AddrPort) string { return "a" })
	t.Cleanup(s.network.Close)
	for _, name := range []string{"a", "b"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		if s.sockets[name], err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address)); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close(); _ = s.sockets[name].Close() })
		go echo(listener)
		if err := s.network.Attach(name, address.String()); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func echo(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

// send sends a datagram from one program to the other.
func (s *site) send(t *testing.T, from, to, text string) {
	t.Helper()
	if _, err := s.sockets[from].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(s.network.Address(to))); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next datagram that a program gets.
func (s *site) receive(t *testing.T, name string) string {
	t.Helper()
	buffer := make([]byte, 100)
	n, _, err := s.sockets[name].ReadFromUDPAddrPort(buffer)
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:n])
}

func TestDatagramsOfACutDirectionAreLost(t *testing.T) {
	for name, mode := range map[string]faultproxy.Mode{"silent": faultproxy.Stall, "reset": faultproxy.Reset} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			s.network.Cut("a", "b", mode)
			s.send(t, "b", "a", "first")
			is.Equal(s.receive(t, "a"), "first")
			// The proxy of b reads the datagrams in order, so the lost one has passed it once the other one arrives.
			s.send(t, "a", "b", "lost")
			s.send(t, "b", "b", "own")
			is.Equal(s.receive(t, "b"), "own")
			s.network.Heal()
			s.send(t, "a", "b", "second")
			is.Equal(s.receive(t, "b"), "second")
		})
	}
}

func TestConnectionsOfACutDirection(t *testing.T) {
	tests := map[string]struct {
		from, to string
		mode     faultproxy.Mode
		isReset  bool
	}{
		"silent, requests": {from: "a", to: "b", mode: faultproxy.Stall},
		"silent, answers":  {from: "b", to: "a", mode: faultproxy.Stall},
		"reset, requests":  {from: "a", to: "b", mode: faultproxy.Reset, isReset: true},
		"reset, answers":   {from: "b", to: "a", mode: faultproxy.Reset, isReset: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t)
			c, err := net.Dial("tcp", s.network.Address("b"))
			is.NoErr(err)
			defer c.Close()
			byteBack := func() error {
				if _, err := c.Write([]byte("x")); err != nil {
					return err
				}
				_, err := io.ReadFull(c, make([]byte, 1))
				return err
			}
			is.NoErr(byteBack())
			s.network.Cut(test.from, test.to, test.mode)
			passed := make(chan error, 1)
			go func() { passed <- byteBack() }()
			if !test.isReset {
				select {
				case err := <-passed:
					t.Fatal("a byte passed a cut link, or the link was reset: ", err)
				default:
				}
				s.network.Heal()
			}
			is.Equal(<-passed != nil, test.isReset)
		})
	}
}

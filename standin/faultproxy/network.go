package faultproxy

import (
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDatagramBytes is the size of the largest datagram.
const maxDatagramBytes = 64 << 10

// Network connects programs that listen at one address for both TCP and UDP, and cuts them from each other. Each program must be reached
// at the address that Address returns, and must send datagrams from the address at which it listens. It is safe for concurrent use.
type Network struct {
	// owner returns the name of the program that a TCP connection to a proxy comes from, or "".
	owner func(client, proxy netip.AddrPort) string

	mu      sync.Mutex
	members map[string]*member
	cuts    map[link]Mode
	conns   map[*peerConn]bool
	closed  bool
}

// member is a program of a network with its proxy.
type member struct {
	name     string
	target   netip.AddrPort
	listener net.Listener
	socket   *net.UDPConn
}

// link is one direction between two programs.
type link struct{ from, to string }

// peerConn is a TCP connection between two programs.
type peerConn struct {
	link
	client, upstream net.Conn
}

// NewNetwork returns a network without programs. owner returns the name of the program that a TCP connection to a proxy comes from, or "".
func NewNetwork(owner func(client, proxy netip.AddrPort) string) *Network {
	return &Network{owner: owner, members: map[string]*member{}, cuts: map[link]Mode{}, conns: map[*peerConn]bool{}}
}

// Attach adds a program that listens at an address.
func (n *Network) Attach(name, target string) (err error) {
	defer func() { err = errors.Wrapf(err, "attach %s to the network", name) }()
	m := &member{name: name}
	if m.target, err = netip.ParseAddrPort(target); err != nil {
		return err
	}
	if m.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	if m.socket, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(m.address())); err != nil {
		_ = m.listener.Close()
		return err
	}
	n.mu.Lock()
	n.members[name] = m
	n.mu.Unlock()
	go n.forwardDatagrams(m)
	go n.accept(m)
	return nil
}

// Address returns the address at which others reach a program, or "" if it isn't attached.
func (n *Network) Address(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.members[name]; m != nil {
		return m.address().String()
	}
	return ""
}

// Cut cuts one direction between two programs. With Stall, datagrams are lost and the bytes of connections are held back; with Reset,
// connections are reset, too. Pass ends the cut.
func (n *Network) Cut(from, to string, mode Mode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := link{from, to}
	if mode == Pass {
		delete(n.cuts, l)
		return
	}
	n.cuts[l] = mode
	for c := range n.conns {
		if mode == Reset && (c.link == l || c.reverse() == l) {
			abort(c.client)
			abort(c.upstream)
		}
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
}

// Close stops all proxies and resets their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	clear(n.cuts)
	for m := range maps.Values(n.members) {
		_ = m.listener.Close()
		_ = m.socket.Close()
	}
	for c := range n.conns {
		abort(c.client)
		abort(c.upstream)
	}
}

func (l link) reverse() link { return link{l.to, l.from} }

func (m *member) address() netip.AddrPort {
	return m.listener.Addr().(*net.TCPAddr).AddrPort()
}

// mode returns the fault of one direction.
func (n *Network) mode(l link) Mode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[l]
}

// memberAt returns the name of the program that listens at an address, or "".
func (n *Network) memberAt(address netip.AddrPort) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.target == address {
			return m.name
		}
	}
	return ""
}

// forwardDatagrams forwards the datagrams to a program, except those of cut links.
func (n *Network) forwardDatagrams(m *member) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := m.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err == nil && n.mode(link{n.memberAt(from), m.name}) == Pass {
			// A datagram to a program that doesn't run is lost.
			_, _ = m.socket.WriteToUDPAddrPort(buffer[:size], m.target)
		}
	}
}

// accept forwards the connections to a program until the network is closed.
func (n *Network) accept(m *member) {
	for {
		client, err := m.listener.Accept()
		if err != nil {
			return
		}
		go n.forwardConn(m, client)
	}
}

// forwardConn forwards a connection to a program until either side closes it.
func (n *Network) forwardConn(m *member, client net.Conn) {
	from := n.owner(client.RemoteAddr().(*net.TCPAddr).AddrPort(), m.address())
	l := link{from, m.name}
	if from == "" || n.mode(l) == Reset || n.mode(l.reverse()) == Reset {
		abort(client)
		return
	}
	upstream, err := net.Dial("tcp", m.target.String())
	if err != nil {
		abort(client)
		return
	}
	c := &peerConn{link: l, client: client, upstream: upstream}
	defer n.remove(c)
	if n.add(c) {
		join(client, upstream, func() { n.wait(l) }, func() { n.wait(l.reverse()) })
	}
}

// add adds a connection, and reports false if the network is closed.
func (n *Network) add(c *peerConn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = true
	return !n.closed
}

// remove ends a connection.
func (n *Network) remove(c *peerConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	abort(c.client)
	abort(c.upstream)
	delete(n.conns, c)
}

// wait holds bytes back while a direction is cut.
func (n *Network) wait(l link) {
	for n.mode(l) != Pass {
		time.Sleep(stallPollPeriod)
	}
}

// Package faultproxy implements a loopback TCP proxy that injects network faults between two programs.
//
// # Usage
//
//	p, err := faultproxy.Listen("127.0.0.1:7400")
//	p.SetMode(faultproxy.Stall)
//	fmt.Println(p.Address())
package faultproxy

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Mode selects the fault that a proxy injects into its connections.
type Mode int

// Modes of a proxy.
const (
	// Pass forwards all bytes without delay.
	Pass Mode = iota
	// Delay forwards all bytes with added latency.
	Delay
	// Stall holds back the bytes of both directions; new connections are accepted and hang.
	Stall
	// StallResponses holds back the bytes to the client only.
	StallResponses
	// Reset resets all existing and new connections.
	Reset
	// Silent holds back the bytes of both directions, and new connections are not established, as by a machine without power. When it ends,
	// existing connections are reset and the bytes held back are lost.
	Silent
)

// delay is the latency that Delay adds to each chunk read.
const delay = 80 * time.Millisecond

// stallPollPeriod is the interval at which the mode is checked while bytes are held back.
const stallPollPeriod = 10 * time.Millisecond

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	address string
	target  string

	// changing is held while the mode changes.
	changing sync.Mutex
	mu       sync.Mutex
	listener net.Listener
	mode     Mode
	conns    map[net.Conn]bool
	closed   bool
	// fillers are the proxy's own connections that fill its queue of new connections while it is silent.
	fillers []net.Conn
	// holding says that the proxy is silent and has accepted its last connection.
	holding bool
}

// Listen starts a proxy to target on a free loopback port.
func Listen(target string) (p *Proxy, err error) { return ListenAt("127.0.0.1:0", target) }

// ListenAt starts a proxy to target at an address. Each process that listens at the address in turn needs a proxy of its own, since a
// connection that was opened to one of them must end with it.
func ListenAt(address, target string) (p *Proxy, err error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p = &Proxy{address: listener.Addr().String(), listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.serve(listener)
	return p, nil
}

// Address returns the address at which clients reach the target through the proxy.
func (p *Proxy) Address() string { return p.address }

// SetMode changes the mode of all existing and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.changing.Lock()
	defer p.changing.Unlock()
	wasSilent := p.change(m)
	switch {
	case m == Silent && !wasSilent:
		p.fillQueue()
	case m != Silent && wasSilent:
		p.listenAgain()
	}
}

// change sets the mode and reports whether the proxy was silent. Connections that must end are aborted before the bytes held back can pass.
func (p *Proxy) change(m Mode) (wasSilent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wasSilent = p.mode == Silent
	if m == Reset || wasSilent && m != Silent {
		for c := range p.conns {
			abort(c)
		}
	}
	p.mode, p.holding = m, p.holding && m == Silent
	return wasSilent
}

// fillerTimeout limits the time to open a connection that fills the queue; a caller may have taken its place.
const fillerTimeout = 50 * time.Millisecond

// fillQueue makes the kernel drop the packets that open connections, once serve accepts no further one: the queue has room for one.
func (p *Proxy) fillQueue() {
	p.mu.Lock()
	listener := p.listener
	p.mu.Unlock()
	setBacklog(listener, 0)
	for !p.isHolding() {
		p.addFiller()
	}
	for isFull := false; !isFull; {
		isFull = !p.addFiller()
	}
}

// addFiller opens a connection of the proxy's own, and reports false if it could not be opened.
func (p *Proxy) addFiller() bool {
	c, err := net.DialTimeout("tcp", p.address, fillerTimeout)
	if err != nil {
		return false
	}
	p.fillers = append(p.fillers, c)
	return true
}

// isHolding reports whether serve holds a connection and accepts no further one, or has ended.
func (p *Proxy) isHolding() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holding || p.closed
}

// hold records that a connection of a listener is held for the rest of a silence, and reports false if it is over.
func (p *Proxy) hold(l net.Listener) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode != Silent || p.listener != l {
		return false
	}
	p.holding = true
	return true
}

// setBacklog changes the number of connections that wait to be accepted.
func setBacklog(l net.Listener, n int) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		// Fails if the listener was closed, after which no connection is established either.
		_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), n) })
	}
}

// listenAgain replaces the listener after a silence, so that connections in its queue are reset.
func (p *Proxy) listenAgain() {
	for _, c := range p.fillers {
		abort(c)
	}
	p.fillers = nil
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	if p.closed {
		return
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		panic(err)
	}
	p.listener = listener
	go p.serve(listener)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	_ = p.listener.Close()
	p.closed = true
	p.mu.Unlock()
	p.SetMode(Reset)
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// abort closes a connection with a TCP reset instead of a FIN.
func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		switch p.currentMode() {
		case Reset:
			abort(c)
		case Silent:
			for p.hold(l) {
				time.Sleep(stallPollPeriod)
			}
			abort(c)
		default:
			go p.proxyConn(c)
		}
	}
}

// track records the connections of a client, and reports false if the proxy is closed.
func (p *Proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	return !p.closed
}

// end ends connections.
func (p *Proxy) end(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		abort(c)
		delete(p.conns, c)
	}
}

// proxyConn forwards both directions of a connection until either side closes it.
func (p *Proxy) proxyConn(client net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		abort(client)
		return
	}
	defer p.end(client, upstream)
	if !p.track(client, upstream) {
		return
	}
	join(client, upstream, func() { p.wait(false) }, func() { p.wait(true) })
}

// join forwards both directions of a connection until either side closes it. A gate is called before each chunk of its direction.
func join(client, upstream net.Conn, toUpstream, toClient func()) {
	done := make(chan struct{}, 2)
	go func() { forward(upstream, client, toUpstream); done <- struct{}{} }()
	go func() { forward(client, upstream, toClient); done <- struct{}{} }()
	<-done
	abort(client)
	abort(upstream)
	<-done
}

// wait holds a chunk up as the current mode says.
func (p *Proxy) wait(toClient bool) {
	for m := p.currentMode(); m == Stall || m == Silent || m == StallResponses && toClient; m = p.currentMode() {
		time.Sleep(stallPollPeriod)
	}
	if p.currentMode() == Delay {
		time.Sleep(delay)
	}
}

// forward copies bytes in one direction until either connection ends.
func forward(to, from net.Conn, gate func()) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			gate()
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

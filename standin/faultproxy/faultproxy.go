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
)

// delay is the latency that Delay adds to each chunk read.
const delay = 80 * time.Millisecond

// stallPollPeriod is the interval at which the mode is checked while bytes are held back.
const stallPollPeriod = 10 * time.Millisecond

// Proxy forwards connections to one target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	mode   Mode
	conns  map[net.Conn]bool
	closed bool
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
	p = &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the address at which clients reach the target through the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode of all existing and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Reset {
		for c := range p.conns {
			abort(c)
		}
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
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

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == Reset {
			abort(c)
			continue
		}
		go p.proxyConn(c)
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
	for m := p.currentMode(); m == Stall || m == StallResponses && toClient; m = p.currentMode() {
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

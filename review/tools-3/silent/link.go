//go:build review

package main

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// link is a VM's way to the store: a proxy with an open connection that can go silent for good, while the others and new ones work.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	conns map[*linkConn]struct{}
}

// linkConn is one connection of a link.
type linkConn struct {
	client, server net.Conn
	// isSilent makes all further bytes of both directions vanish.
	isSilent atomic.Bool
	// isWatching says that a watch on it waits for its answer.
	isWatching atomic.Bool
}

// watchCall begins the request line of a watch.
var watchCall = []byte("GET /hickorylug/kv-watch")

// listenLink starts a link to an address.
func listenLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target, conns: map[*linkConn]struct{}{}}
	go p.serve()
	return p, nil
}

// Address returns the address at which the VM reaches the store.
func (p *link) Address() string { return p.listener.Addr().String() }

func (p *link) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &linkConn{client: client, server: server}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.forward(c, client, server, true)
		go p.forward(c, server, client, false)
	}
}

// forward passes the bytes of one direction on. A silent connection stays open at both ends.
func (p *link) forward(c *linkConn, from, to net.Conn, isRequest bool) {
	data := make([]byte, 32<<10)
	for {
		n, err := from.Read(data)
		if n > 0 {
			c.isWatching.Store(isRequest && bytes.HasPrefix(data[:n], watchCall))
		}
		if c.isSilent.Load() {
			if err != nil && isRequest {
				// The VM has given the connection up.
				p.end(c)
				return
			}
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, err := to.Write(data[:n]); err != nil {
				p.end(c)
				return
			}
		}
		if err != nil {
			p.end(c)
			return
		}
	}
}

func (p *link) end(c *linkConn) {
	_ = c.client.Close()
	_ = c.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// silenceWatch makes an open connection on which a watch waits silent, and reports whether there is one.
func (p *link) silenceWatch() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.isWatching.Load() {
			c.isSilent.Store(true)
			return true
		}
	}
	return false
}

// Close ends the link and its connections.
func (p *link) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.client.Close()
		_ = c.server.Close()
	}
}

// Package faultproxy is a loopback proxy that spoils a connection between two programs.
//
// # Usage
//
//	l, err := faultproxy.Listen("127.0.0.1:7400")
//	l.Set(faultproxy.Stall)
//	fmt.Println(l.Address())
package faultproxy

import (
	"net"
	"sync"
	"time"
)

// Mode is what a link does to the bytes of its connections.
type Mode int

// The modes of links.
const (
	// Pass lets everything through.
	Pass Mode = iota
	// Delay lets bytes through late.
	Delay
	// Stall holds bytes of both ways back; new connections are taken and hang.
	Stall
	// StallResponses holds the bytes to the caller back.
	StallResponses
	// Reset breaks all connections, old and new.
	Reset
)

// delay is what Delay adds to each piece of bytes.
const delay = 80 * time.Millisecond

// holdPoll is the time between two looks at the mode while bytes are held back.
const holdPoll = 10 * time.Millisecond

// Proxy is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// Listen opens a link to a target on a free port.
func Listen(target string) (l *Proxy, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l = &Proxy{listener: listener, target: target, conns: map[net.Conn]bool{}}
	go l.serve()
	return l, nil
}

// Address is where callers reach the target through the link.
func (l *Proxy) Address() string { return l.listener.Addr().String() }

// SetMode changes the mode.
func (l *Proxy) SetMode(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	if m == Reset {
		for c := range l.conns {
			abort(c)
		}
	}
}

// Close ends the link and its connections.
func (l *Proxy) Close() {
	_ = l.listener.Close()
	l.SetMode(Reset)
}

func (l *Proxy) current() Mode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode
}

func abort(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (l *Proxy) serve() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.current() == Reset {
			abort(c)
			continue
		}
		go l.join(c)
	}
}

func (l *Proxy) track(c net.Conn, open bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if open {
		l.conns[c] = true
	} else {
		delete(l.conns, c)
	}
}

func (l *Proxy) join(near net.Conn) {
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		abort(near)
		return
	}
	l.track(near, true)
	l.track(far, true)
	defer l.track(near, false)
	defer l.track(far, false)
	ended := make(chan struct{}, 2)
	go func() { l.copy(far, near, false); ended <- struct{}{} }()
	go func() { l.copy(near, far, true); ended <- struct{}{} }()
	<-ended
	abort(near)
	abort(far)
	<-ended
}

// copy passes bytes on as the mode says; back is the way to the caller.
func (l *Proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			for m := l.current(); m == Stall || m == StallResponses && back; m = l.current() {
				time.Sleep(holdPoll)
			}
			if l.current() == Delay {
				time.Sleep(delay)
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

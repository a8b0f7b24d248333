package faultproxy_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
)

// serveEcho serves connections that return all bytes, and reports the bytes that it reads.
func serveEcho(t *testing.T) (address string, read chan string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	read = make(chan string, 16)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buffer := make([]byte, 64)
				for {
					n, err := c.Read(buffer)
					if n > 0 {
						read <- string(buffer[:n])
						_, _ = c.Write(buffer[:n])
					}
					if err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), read
}

// Bytes that pass once a silence ends look like a VM that sent them late.
func TestBytesOfASilenceAreLost(t *testing.T) {
	is := is.New(t)
	target, read := serveEcho(t)
	p, err := faultproxy.Listen(target)
	is.NoErr(err)
	defer p.Close()
	exchange := func(c net.Conn, text string) error {
		if _, err := io.WriteString(c, text); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, len(text)))
		return err
	}
	kept, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	defer kept.Close()
	is.NoErr(exchange(kept, "before"))
	is.Equal(<-read, "before")
	p.SetMode(faultproxy.Silent)
	_, err = net.DialTimeout("tcp", p.Address(), 100*time.Millisecond)
	is.True(err != nil) // No connection is established.
	_, err = io.WriteString(kept, "held back")
	is.NoErr(err)
	p.SetMode(faultproxy.Pass)
	_, err = kept.Read(make([]byte, 1))
	is.True(err != nil)
	next, err := net.Dial("tcp", p.Address())
	is.NoErr(err)
	defer next.Close()
	is.NoErr(exchange(next, "after"))
	is.Equal(<-read, "after")
}

// Package loopback allocates loopback addresses to processes of stand-ins and tests.
//
// # Usage
//
//	address, err := loopback.FreeAddress()
//	if err != nil {
//		return err
//	}
//	listener, err := net.Listen("tcp", address)
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

// Range of allocated ports, below the ephemeral ports that the system assigns to connections and to listeners on port 0.
//
// The caller listens only later. An ephemeral port could be assigned to another process in the meantime.
const (
	firstPort = 10000
	lastPort  = 30000
)

var (
	mu sync.Mutex
	// nextPort is the port at which the search continues. It starts at random, so that processes that run at the same
	// time try different ports.
	nextPort = firstPort + rand.IntN(lastPort-firstPort+1)
)

// FreeAddress returns a loopback address whose port is free for both TCP and UDP.
//
// It returns no address twice before all ports have been tried. It is safe for
// concurrent use.
func FreeAddress() (address string, err error) {
	mu.Lock()
	defer mu.Unlock()
	for range lastPort - firstPort + 1 {
		address = fmt.Sprintf("127.0.0.1:%d", nextPort)
		if nextPort++; nextPort > lastPort {
			nextPort = firstPort
		}
		if isFree(address) {
			return address, nil
		}
	}
	return "", errors.New("no port is free for both TCP and UDP")
}

func isFree(address string) bool {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	udp.Close()
	return true
}

// Package gossip carries what entry VMs tell each other: heartbeats, changes of the store and load.
//
// Short messages go by datagram and may be lost; what was missed is fetched
// over TCP from the same port. Both are written in CBOR.
//
// # Usage
//
//	s, err := gossip.Listen("10.1.0.15:7620", mirror.Since)
//	done := s.Serve(ctx, func(m gossip.Message) { handle(m) })
//	s.Send("10.1.0.16:7620", gossip.Message{From: "vm1", Heartbeat: &beat})
package gossip

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
)

// Message is one datagram; parts that are nil aren't there.
type Message struct {
	From        id.VM          `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`
	Domain      id.Domain      `cbor:"3,keyasint"`
	Heartbeat   *Heartbeat     `cbor:"4,keyasint,omitempty"`
	Update      *fleet.Update  `cbor:"5,keyasint,omitempty"`
	Load        *Load          `cbor:"6,keyasint,omitempty"`
	Keys        []KeyCount     `cbor:"7,keyasint,omitempty"`
	// CrashReports are requests during which backend servers died.
	CrashReports []CrashReport `cbor:"8,keyasint,omitempty"`
	// Relay asks the receiver to pass the message on within its failure domain.
	Relay bool `cbor:"9,keyasint,omitempty"`
}

// Heartbeat says what a VM knows of the store and of the leadership.
type Heartbeat struct {
	Position id.Revision `cbor:"1,keyasint"`
	// StoreAge is the time since the store last answered this VM.
	StoreAge time.Duration `cbor:"2,keyasint"`
	// Leading says that the VM holds the leader's record of Term.
	Leading bool        `cbor:"3,keyasint,omitempty"`
	Term    id.Revision `cbor:"4,keyasint,omitempty"`
	// Leaving says that the VM is shutting down.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Granted are the fences of moving ranges that their new owners have taken.
	Granted []Grant `cbor:"6,keyasint,omitempty"`
	// SettlingTime is how much longer removed entries of backend servers may come back after an outage of the store.
	SettlingTime time.Duration `cbor:"7,keyasint,omitempty"`
	// StoreUnreachable says that the VM has tried to reach the store in vain.
	StoreUnreachable bool `cbor:"8,keyasint,omitempty"`
}

// Grant names a range that its new owner has taken, by service and fence.
type Grant struct {
	Service id.Service  `cbor:"1,keyasint"`
	Fence   fleet.Fence `cbor:"2,keyasint"`
}

// Load is what a VM has in flight at backend servers and what it has seen of them.
type Load struct {
	Servers []ServerLoad `cbor:"1,keyasint"`
}

// ServerLoad is the load of one backend server as one VM sees it.
type ServerLoad struct {
	Server   id.Server `cbor:"1,keyasint"`
	InFlight int       `cbor:"2,keyasint"`
	// ServiceTime is the usual time for one request, in milliseconds; 0 means unknown.
	ServiceTime int `cbor:"3,keyasint,omitempty"`
	// Reported is the number of requests that the backend server last said it had, and ReportAge how long ago, in milliseconds.
	Reported  int `cbor:"4,keyasint,omitempty"`
	ReportAge int `cbor:"5,keyasint,omitempty"`
	// Slowdown is how long work takes on the backend server's machine, in percent of the usual; 0 means unknown.
	Slowdown int `cbor:"7,keyasint,omitempty"`
	// HasReport says that Reported is known.
	HasReport bool `cbor:"6,keyasint,omitempty"`
	// EjectedFor is how much longer it is left alone for its failures, in milliseconds.
	EjectedFor int `cbor:"8,keyasint,omitempty"`
}

// KeyCount is the number of requests for a key since the last message.
type KeyCount struct {
	Service id.Service `cbor:"1,keyasint"`
	Key     fleet.Key  `cbor:"2,keyasint"`
	Count   int        `cbor:"3,keyasint"`
}

// CrashReport is a request that was in flight when a backend server died.
type CrashReport struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	Crashes     int    `cbor:"2,keyasint"`
}

const (
	// MaxDatagramBytes is the largest message that is sent by datagram, in bytes; it stays below a fragment of Ethernet times 5.
	MaxDatagramBytes = 7 << 10
	maxWhole         = 32 << 20
	pathChanges      = "/v1/changes"
	queryAfter       = "after"
	fetchTime        = 2 * time.Second
)

// ErrTooLarge means that a message doesn't fit into a datagram.
var ErrTooLarge = errors.New("the message is larger than a datagram")

// Socket sends and receives messages; it is safe for concurrent use.
type Socket struct {
	datagrams *net.UDPConn
	listener  net.Listener
	since     func(after id.Revision) fleet.Update
	fetcher   *http.Client
	sent      atomic.Int64
}

// Listen opens the address for datagrams and for those who missed some.
func Listen(address string, since func(after id.Revision) fleet.Update) (s *Socket, err error) {
	defer func() { err = errors.Wrapf(err, "listen for other VMs at %s", address) }()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s = &Socket{since: since, fetcher: &http.Client{
		Timeout:   fetchTime,
		Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
	if s.datagrams, err = net.ListenUDP("udp", udp); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", address); err != nil {
		_ = s.datagrams.Close()
		return nil, err
	}
	return s, nil
}

// Serve passes messages on until the context ends, and reports its end on the channel.
func (s *Socket) Serve(ctx context.Context, receive func(Message)) <-chan error {
	done := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(s.serveChanges), ReadHeaderTimeout: fetchTime}
	go func() {
		<-ctx.Done()
		_ = server.Close()
		_ = s.datagrams.Close()
	}()
	served := make(chan error, 1)
	go func() { served <- server.Serve(s.listener) }()
	go func() {
		err := s.receive(receive)
		if ctx.Err() == nil {
			_ = server.Close()
		}
		if second := <-served; ctx.Err() != nil {
			err = nil
		} else {
			err = errors.CombineErrors(err, second)
		}
		done <- err
	}()
	return done
}

func (s *Socket) receive(receive func(Message)) error {
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := s.datagrams.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// A datagram that could not be delivered is reported here; the socket goes on.
			continue
		}
		var m Message
		if cbor.Unmarshal(buffer[:n], &m) == nil && m.From != "" {
			receive(m)
		}
	}
}

// Send sends a message to VMs; lost messages aren't noticed.
func (s *Socket) Send(m Message, addresses ...string) (err error) {
	defer func() { err = errors.Wrap(err, "send a message to other VMs") }()
	data, err := cbor.Marshal(m)
	if err != nil {
		return err
	}
	if len(data) > MaxDatagramBytes {
		return ErrTooLarge
	}
	for _, address := range addresses {
		to, resolveErr := netip.ParseAddrPort(address)
		if resolveErr != nil {
			err = resolveErr
			continue
		}
		if _, sendErr := s.datagrams.WriteToUDPAddrPort(data, to); sendErr != nil {
			err = sendErr
		}
		s.sent.Add(int64(len(data)))
	}
	return err
}

// SentBytes returns the number of bytes sent by datagram.
func (s *Socket) SentBytes() int64 { return s.sent.Load() }

// Fetch reads from another VM what has changed in the store after a revision.
func (s *Socket) Fetch(ctx context.Context, address string, after id.Revision) (u fleet.Update, err error) {
	defer func() { err = errors.Wrapf(err, "fetch the items of the store from %s", address) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathChanges+"?"+queryAfter+"="+strconv.FormatUint(uint64(after), 10), nil)
	if err != nil {
		return u, err
	}
	got, err := s.fetcher.Do(r)
	if err != nil {
		return u, err
	}
	defer got.Body.Close()
	if got.StatusCode != http.StatusOK {
		return u, errors.Newf("status %d", got.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(got.Body, maxWhole))
	if err != nil {
		return u, err
	}
	return u, cbor.Unmarshal(data, &u)
}

func (s *Socket) serveChanges(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != pathChanges {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get(queryAfter), 10, 64)
	if err != nil {
		http.Error(w, queryAfter+": a revision is wanted", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(s.since(id.Revision(after)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

// Package gossip exchanges messages between entry VMs: heartbeats, store updates and load.
//
// Messages are sent as UDP datagrams and may be lost. A message that is longer
// than a datagram is sent in fragments. Missed store updates are fetched over TCP
// from the same port. Both are encoded in CBOR.
//
// # Usage
//
//	s, err := gossip.Listen("10.1.0.15:7620", mirror.Since)
//	done := s.Serve(ctx, func(m gossip.Message) { handle(m) })
//	err = s.Send(gossip.Message{From: "vm1", Heartbeat: &heartbeat}, "10.1.0.16:7620")
package gossip

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
	"github.com/hickorylug/hickorylug/transport/http1server"
)

const (
	// MaxDatagramBytes limits the encoded size of a message, so that a datagram needs at most 5 Ethernet frames.
	MaxDatagramBytes = 7 << 10
	maxFetchBytes    = 32 << 20
	maxHeaderBytes   = 16 << 10
	pathChanges      = "/v1/changes"
	queryAfter       = "after"
	// queryCompress asks for a compressed response; a VM of an earlier version ignores it.
	queryCompress    = "compress"
	headerCompressed = "X-Compressed"
	fetchTimeout     = 2 * time.Second
	// idleTimeout is longer than that of the VMs that keep connections, so that it is they who close them.
	idleTimeout = 15 * time.Second
)

// ErrTooLarge means that an encoded message is too long even when it is compressed.
var ErrTooLarge = errors.New("the message is too large")

// Socket sends and receives messages. It is safe for concurrent use.
type Socket struct {
	datagrams *net.UDPConn
	listener  net.Listener
	since     func(after id.Revision) fleet.Update
	client    *http.Client
	sent      atomic.Int64
	// fragmented is the number of messages that were sent in fragments.
	fragmented atomic.Uint64
	onPanic    func(value any, stack []byte)
	onLost     func(l http1server.Lost)
	mux        *http.ServeMux
}

// Option sets an option of a Socket.
type Option func(*Socket)

// WithOnPanic sets the function that is called with the value and the stack of a panic while a message or a request is handled. The panic
// ends only its handling; without the function one in a message ends the process.
func WithOnPanic(f func(value any, stack []byte)) Option { return func(s *Socket) { s.onPanic = f } }

// WithOnLost sets the function that is called for each request of another VM whose connection ends before its response is written.
func WithOnLost(f func(l http1server.Lost)) Option { return func(s *Socket) { s.onLost = f } }

// WithHandler makes the socket serve a path over TCP, too.
func WithHandler(path string, h http.Handler) Option {
	return func(s *Socket) { s.mux.Handle(path, h) }
}

// Listen opens the address for datagrams by UDP, and by TCP for VMs that fetch missed updates. since returns the store's
// changes after a revision.
func Listen(address string, since func(after id.Revision) fleet.Update, opts ...Option) (s *Socket, err error) {
	defer func() { err = errors.Wrapf(err, "listen for other VMs at %s", address) }()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s = &Socket{since: since, onLost: func(http1server.Lost) {}, mux: http.NewServeMux(), client: &http.Client{
		Timeout:   fetchTimeout,
		Transport: http1.NewTransport(&http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes}),
	}}
	s.mux.HandleFunc(pathChanges, s.serveChanges)
	for _, opt := range opts {
		opt(s)
	}
	if s.datagrams, err = net.ListenUDP("udp", udp); err != nil {
		return nil, err
	}
	if s.listener, err = net.Listen("tcp", address); err != nil {
		_ = s.datagrams.Close()
		return nil, err
	}
	return s, nil
}

// Serve calls receive for each message until the context is done or the socket fails, and then sends the result on the channel.
func (s *Socket) Serve(ctx context.Context, receive func(Message)) <-chan error {
	done := make(chan error, 1)
	options := []http1server.Option{
		http1server.WithTimeouts(fetchTimeout, fetchTimeout, idleTimeout), http1server.WithMaxHeaderBytes(maxHeaderBytes), http1server.WithOnLost(s.onLost),
	}
	if s.onPanic != nil {
		options = append(options, http1server.WithOnPanic(s.onPanic))
	}
	server := http1server.New(s.mux, options...)
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
		if serveErr := <-served; ctx.Err() != nil {
			err = nil
		} else {
			err = errors.CombineErrors(err, serveErr)
		}
		done <- err
	}()
	return done
}

func (s *Socket) receive(receive func(Message)) error {
	buffer := make([]byte, 64<<10)
	fragments := newAssembler(time.Now)
	for {
		n, _, err := s.datagrams.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			// The error reports an earlier datagram that could not be delivered; the socket remains usable.
			continue
		}
		s.handle(buffer[:n], fragments, receive)
	}
}

// handle decodes a datagram and calls receive if it completes a message.
func (s *Socket) handle(data []byte, fragments *assembler, receive func(Message)) {
	if s.onPanic != nil {
		defer func() {
			if value := recover(); value != nil {
				s.onPanic(value, debug.Stack())
			}
		}()
	}
	if m, ok := decode(data, fragments); ok {
		receive(m)
	}
}

// decode decodes a datagram. ok is false if it is malformed, or a fragment of a message that isn't complete yet.
func decode(data []byte, fragments *assembler) (m Message, ok bool) {
	if cbor.Unmarshal(data, &m) != nil || m.From == "" {
		return m, false
	}
	if m.Fragment == nil {
		return m, true
	}
	compressed := fragments.add(m.From, m.Incarnation, *m.Fragment)
	if compressed == nil {
		return m, false
	}
	data, err := decompress(compressed, maxMessageBytes)
	if err != nil {
		return m, false
	}
	var whole Message
	if cbor.Unmarshal(data, &whole) != nil || whole.From == "" || whole.Fragment != nil {
		return m, false
	}
	return whole, true
}

// Send sends a message to each address. It returns the last error; a lost datagram isn't detected.
func (s *Socket) Send(m Message, addresses ...string) (err error) {
	defer func() { err = errors.Wrap(err, "send a message to other VMs") }()
	datagrams, err := s.encode(m)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		to, resolveErr := netip.ParseAddrPort(address)
		if resolveErr != nil {
			err = resolveErr
			continue
		}
		for _, data := range datagrams {
			if _, sendErr := s.datagrams.WriteToUDPAddrPort(data, to); sendErr != nil {
				err = sendErr
			}
			s.sent.Add(int64(len(data)))
		}
	}
	return err
}

// encode returns the datagrams of a message: one, or its fragments if it is too long for one.
func (s *Socket) encode(m Message) (datagrams [][]byte, err error) {
	data, err := cbor.Marshal(m)
	switch {
	case err != nil:
		return nil, err
	case len(data) <= MaxDatagramBytes:
		return [][]byte{data}, nil
	case len(data) > maxMessageBytes:
		return nil, ErrTooLarge
	}
	compressed, err := compress(data)
	if err != nil {
		return nil, err
	}
	if len(compressed) > MaxCompressedBytes {
		return nil, ErrTooLarge
	}
	for _, f := range split(s.fragmented.Add(1), compressed) {
		datagram, err := cbor.Marshal(Message{From: m.From, Incarnation: m.Incarnation, Domain: m.Domain, Fragment: &f})
		if err != nil {
			return nil, err
		}
		datagrams = append(datagrams, datagram)
	}
	return datagrams, nil
}

// SentBytes returns the total number of bytes sent in datagrams.
func (s *Socket) SentBytes() int64 { return s.sent.Load() }

// Fetch returns the store's changes after a revision, as known to another VM.
func (s *Socket) Fetch(ctx context.Context, address string, after id.Revision) (u fleet.Update, err error) {
	defer func() { err = errors.Wrapf(err, "fetch the items of the store from %s", address) }()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+pathChanges+"?"+queryAfter+"="+strconv.FormatUint(uint64(after), 10)+"&"+queryCompress+"=1", nil)
	if err != nil {
		return u, err
	}
	response, err := s.client.Do(r)
	if err != nil {
		return u, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return u, errors.Newf("unexpected HTTP status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxFetchBytes))
	if err != nil {
		return u, err
	}
	if response.Header.Get(headerCompressed) != "" {
		if data, err = decompress(data, maxFetchBytes); err != nil {
			return u, err
		}
	}
	return u, cbor.Unmarshal(data, &u)
}

func (s *Socket) serveChanges(w http.ResponseWriter, r *http.Request) {
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
	if r.URL.Query().Get(queryCompress) != "" && len(data) > MaxDatagramBytes {
		if compressed, err := compress(data); err == nil {
			data = compressed
			w.Header().Set(headerCompressed, "1")
		}
	}
	_, _ = w.Write(data)
}

// Address returns the address for datagrams.
func (s *Socket) Address() string { return s.datagrams.LocalAddr().String() }

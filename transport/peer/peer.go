// Package peer is how the entry VMs of a site talk to one another.
//
// Requests, state and orders go by gRPC. Leases and heartbeats go by datagrams
// on the same port, because a late renewal is worth nothing and must not wait
// behind other traffic.
//
// # Usage
//
//	client := peer.NewClient(address)
//	answer, err := client.Relay(ctx, "vm2", request)
//
//	server := peer.NewServer(peer.Handlers{Relay: serve})
//	err := server.Serve(ctx, listener)
package peer

import (
	"context"
	"net"
	"path"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/protobuf/proto"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

// Settings of the connections between VMs.
const (
	maxMessage    = 8 << 20
	windowBytes   = 1 << 20
	keepaliveTime = 10 * time.Second
	connectTime   = 500 * time.Millisecond
	backoffBase   = 50 * time.Millisecond
	backoffMax    = time.Second
)

// Client calls other VMs over one connection each; it is safe for concurrent use.
type Client struct {
	options Options
	// address returns where a VM is reached.
	address func(id.VM) (string, bool)
	mu      sync.Mutex
	conns   map[string]*grpc.ClientConn
	// control counts the bytes of calls that requests don't cause.
	control atomic.Int64
	// claims counts the bytes of claims, one for each request that runs at most once.
	claims atomic.Int64
}

// ControlBytes returns the bytes of all calls that requests don't cause.
func (c *Client) ControlBytes() int64 { return c.control.Load() }

// ClaimBytes returns the bytes of all claims.
func (c *Client) ClaimBytes() int64 { return c.claims.Load() }

// callOverhead is the size of the frames and header fields of a call and its answer, in bytes.
const callOverhead = 120

// count adds the size of a call to the bytes of control or of claims.
func (c *Client) count(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	err := invoke(ctx, method, request, reply, conn, opts...)
	size := callOverhead
	for _, m := range []any{request, reply} {
		if message, ok := m.(proto.Message); ok {
			size += proto.Size(message)
		}
	}
	c.options.Observe(path.Base(method), size)
	if method == peerpb.Peer_Claim_FullMethodName {
		c.claims.Add(int64(size))
	} else {
		c.control.Add(int64(size))
	}
	return err
}

// NewClient returns a client that looks up VMs with address.
func NewClient(address func(id.VM) (string, bool), opts ...Option) *Client {
	return &Client{options: newOptions(opts), address: address, conns: map[string]*grpc.ClientConn{}}
}

// Peer returns the calls of a VM.
func (c *Client) Peer(vm id.VM) (p peerpb.PeerClient, err error) {
	defer func() { err = errors.Wrapf(err, "connect to VM %s", vm) }()
	address, ok := c.address(vm)
	if !ok {
		return nil, errors.New("its address isn't known")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn, ok := c.conns[address]
	if !ok {
		conn, err = grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
			grpc.WithUnaryInterceptor(c.count),
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes*8),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: 2, Jitter: 0.2, MaxDelay: backoffMax},
				MinConnectTimeout: connectTime,
			}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: time.Second}),
		)
		if err != nil {
			return nil, err
		}
		c.conns[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// Close ends all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// Handlers answer the calls of other VMs; Relay must be set, others may be nil.
type Handlers struct {
	Relay     exchange.Handler
	Offer     func(ctx context.Context, s *peerpb.State)
	Fetch     func(ctx context.Context, h *peerpb.Have) (*peerpb.State, error)
	Release   func(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseAnswer, error)
	Report    func(ctx context.Context, r *peerpb.Reports)
	Handover  func(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverAnswer, error)
	Recall    func(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallAnswer, error)
	Claim     func(ctx context.Context, r *peerpb.ClaimRequest) *peerpb.ClaimAnswer
	Inventory func(ctx context.Context) *peerpb.InventoryAnswer
	Warn      func(ctx context.Context, w *peerpb.Warning)
}

// Server answers the calls of other VMs.
type Server struct {
	peerpb.UnimplementedPeerServer
	options  Options
	handlers Handlers
	grpc     *grpc.Server
}

// NewServer returns a server with the given handlers.
func NewServer(h Handlers, opts ...Option) *Server {
	s := &Server{options: newOptions(opts), handlers: h}
	s.grpc = grpc.NewServer(
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes*8),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime / 2, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts calls until the context ends, then lets those in flight finish.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve other VMs") }()
	done := make(chan error, 1)
	go func() { done <- s.grpc.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		s.grpc.GracefulStop()
		return <-done
	}
}

// Stop cuts all calls, for when the time of a graceful stop is over.
func (s *Server) Stop() { s.grpc.Stop() }

// Offer takes state from another VM.
func (s *Server) Offer(ctx context.Context, state *peerpb.State) (*peerpb.OfferAnswer, error) {
	s.handlers.Offer(ctx, state)
	return &peerpb.OfferAnswer{}, nil
}

// Fetch gives state to another VM.
func (s *Server) Fetch(ctx context.Context, h *peerpb.Have) (*peerpb.State, error) {
	return s.handlers.Fetch(ctx, h)
}

// Release stops serving what the planner moves away.
func (s *Server) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseAnswer, error) {
	return s.handlers.Release(ctx, r)
}

// Report takes the condition of groups.
func (s *Server) Report(ctx context.Context, r *peerpb.Reports) (*peerpb.ReportAnswer, error) {
	s.handlers.Report(ctx, r)
	return &peerpb.ReportAnswer{}, nil
}

// Handover takes a lease from a holder that stops.
func (s *Server) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverAnswer, error) {
	return s.handlers.Handover(ctx, r)
}

// Recall tells whether a request that runs at most once has been seen.
func (s *Server) Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallAnswer, error) {
	return s.handlers.Recall(ctx, r)
}

// Claim takes note of a request that runs at most once at another VM.
func (s *Server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimAnswer, error) {
	return s.handlers.Claim(ctx, r), nil
}

// Inventory tells which configuration this VM runs.
func (s *Server) Inventory(ctx context.Context, _ *peerpb.InventoryRequest) (*peerpb.InventoryAnswer, error) {
	return s.handlers.Inventory(ctx), nil
}

// Warn takes the fingerprint of a request that backend servers died of.
func (s *Server) Warn(ctx context.Context, w *peerpb.Warning) (*peerpb.WarnAnswer, error) {
	s.handlers.Warn(ctx, w)
	return &peerpb.WarnAnswer{}, nil
}

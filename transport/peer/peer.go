// Package peer is the transport between the entry VMs of a site.
//
// Relayed requests, state and control calls use gRPC. Leases and heartbeats
// use UDP datagrams on the same port, because a late renewal is useless and
// must not queue behind other traffic.
//
// # Usage
//
//	client := peer.NewClient(address)
//	response, err := client.Relay(ctx, "vm2", request)
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
	maxMessageBytes   = 8 << 20
	windowBytes       = 1 << 20
	keepalivePeriod   = 10 * time.Second
	minConnectTimeout = 500 * time.Millisecond
	backoffBase       = 50 * time.Millisecond
	backoffMax        = time.Second
)

// Client calls other VMs over one connection each; it is safe for concurrent use.
type Client struct {
	options Options
	// address returns the peer address of a VM, and false where it isn't known.
	address func(id.VM) (string, bool)
	mu      sync.Mutex
	// conns has one connection for each address.
	conns map[string]*grpc.ClientConn
	// controlBytes counts the bytes of control calls, which don't depend on the rate of requests.
	controlBytes atomic.Int64
	// claimBytes counts the bytes of claims; there is one for each request that runs at most once.
	claimBytes atomic.Int64
}

// ControlBytes returns the total bytes of control calls, which are all unary calls but claims.
func (c *Client) ControlBytes() int64 { return c.controlBytes.Load() }

// ClaimBytes returns the total bytes of claims.
func (c *Client) ClaimBytes() int64 { return c.claimBytes.Load() }

// callOverheadBytes is the size that is counted for the frames and header fields of a call and its reply.
const callOverheadBytes = 120

// countBytes is a unary interceptor that adds the size of a call to the counter of control calls or of claims.
func (c *Client) countBytes(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	err := invoke(ctx, method, request, reply, conn, opts...)
	size := callOverheadBytes
	for _, m := range []any{request, reply} {
		if message, ok := m.(proto.Message); ok {
			size += proto.Size(message)
		}
	}
	c.options.Observe(path.Base(method), size)
	if method == peerpb.Peer_Claim_FullMethodName {
		c.claimBytes.Add(int64(size))
	} else {
		c.controlBytes.Add(int64(size))
	}
	return err
}

// NewClient returns a client; address returns the peer address of a VM, and false where it isn't known.
func NewClient(address func(id.VM) (string, bool), opts ...Option) *Client {
	return &Client{options: newOptions(opts), address: address, conns: map[string]*grpc.ClientConn{}}
}

// Peer returns a gRPC client of a VM, over the connection that all calls to its address share.
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
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
			grpc.WithUnaryInterceptor(c.countBytes),
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes*8),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: backoffBase, Multiplier: 2, Jitter: 0.2, MaxDelay: backoffMax},
				MinConnectTimeout: minConnectTimeout,
			}),
			grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepalivePeriod, Timeout: time.Second}),
		)
		if err != nil {
			return nil, err
		}
		c.conns[address] = conn
	}
	return peerpb.NewPeerClient(conn), nil
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		conn.Close()
		delete(c.conns, address)
	}
}

// Handlers handle the calls of other VMs. Relay must be set; others may be nil where no VM makes these calls.
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

// Server is the gRPC server for the calls of other VMs.
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
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes*8),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepalivePeriod / 2, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, s)
	return s
}

// Serve accepts calls until the context ends, then waits for the calls in flight; Stop ends this wait.
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

// Stop cancels all calls in flight; it is called if the graceful stop takes too long.
func (s *Server) Stop() { s.grpc.Stop() }

// Offer receives a configuration, leases and slice tables that another VM offers.
func (s *Server) Offer(ctx context.Context, state *peerpb.State) (*peerpb.OfferAnswer, error) {
	s.handlers.Offer(ctx, state)
	return &peerpb.OfferAnswer{}, nil
}

// Fetch returns the configuration, leases and slice tables that are newer than those of the calling VM.
func (s *Server) Fetch(ctx context.Context, h *peerpb.Have) (*peerpb.State, error) {
	return s.handlers.Fetch(ctx, h)
}

// Release makes this VM stop serving the slices that the planner moves to other owners.
func (s *Server) Release(ctx context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseAnswer, error) {
	return s.handlers.Release(ctx, r)
}

// Report receives lease holders' reports of their groups.
func (s *Server) Report(ctx context.Context, r *peerpb.Reports) (*peerpb.ReportAnswer, error) {
	s.handlers.Report(ctx, r)
	return &peerpb.ReportAnswer{}, nil
}

// Handover receives a lease and its deduplication state from a holder that shuts down.
func (s *Server) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverAnswer, error) {
	return s.handlers.Handover(ctx, r)
}

// Recall returns the finished deduplication entry of a request that runs at most once, if there is one, and whether this
// VM's deduplication state is complete for the request.
func (s *Server) Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallAnswer, error) {
	return s.handlers.Recall(ctx, r)
}

// Claim records a request that another VM is about to run and that must run at most once.
func (s *Server) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimAnswer, error) {
	return s.handlers.Claim(ctx, r), nil
}

// Inventory returns this VM's incarnation, the revision of its configuration and whether it is shutting down.
func (s *Server) Inventory(ctx context.Context, _ *peerpb.InventoryRequest) (*peerpb.InventoryAnswer, error) {
	return s.handlers.Inventory(ctx), nil
}

// Warn receives the fingerprint of a request that crashed backend servers.
func (s *Server) Warn(ctx context.Context, w *peerpb.Warning) (*peerpb.WarnAnswer, error) {
	s.handlers.Warn(ctx, w)
	return &peerpb.WarnAnswer{}, nil
}

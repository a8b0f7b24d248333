package peer

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/pool"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// chunkBytes is the maximum size of the chunks in which bodies are sent.
const chunkBytes = 32 << 10

// chunkBuffers is the pool of chunk buffers.
var chunkBuffers = pool.NewPool(func() *[]byte {
	b := make([]byte, chunkBytes)
	return &b
})

// Relay sends a request to the VM that holds its group's lease and returns the response once its head has arrived.
//
// Where the VM may have received the head, a failure is an unknown outcome.
func (c *Client) Relay(ctx context.Context, vm id.VM, r *exchange.Request) (resp *exchange.Response, err error) {
	p, err := c.Peer(vm)
	if err != nil {
		return nil, outcome.NotRun(outcome.PeerFailed, "%v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := p.Relay(ctx)
	if err != nil {
		cancel()
		return nil, outcome.NotRun(outcome.PeerFailed, "VM %s can't be reached: %v", vm, err)
	}
	// The handler doesn't run before it has the head, so an error up to here means that the request was not run.
	err = stream.Send(&peerpb.RelayRequest{Head: encodeRequestHead(r, c.options.Clock.Now())})
	if err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, outcome.Unknown(outcome.PeerFailed, "the request to VM %s broke: %v", vm, err)
	}
	if r.Length == 0 || r.Body == nil {
		err = stream.CloseSend()
	} else {
		// The goroutine ends with the caller's request, which ends the read of its body, so there is no need to wait for it.
		go func() { _ = sendRequestBody(ctx, stream, r, cancel) }()
	}
	if err != nil {
		cancel()
		return nil, outcome.Unknown(outcome.PeerFailed, "the request to VM %s broke: %v", vm, err)
	}
	first, err := receiveHead(stream, vm)
	if err != nil {
		cancel()
		return nil, err
	}
	resp = decodeResponse(first.GetHead())
	if err := http1.CheckHead(resp.Status, resp.Header); err != nil {
		// A VM of an older build passes on what its backend server has sent.
		cancel()
		return nil, outcome.Unknown(outcome.ServerFailed, "the answer through VM %s: %v", vm, err)
	}
	resp.Body = &responseBody{stream: stream, cancel: cancel, unread: first.GetChunk(), complete: first.GetWhole()}
	return resp, nil
}

// sendRequestBody sends the request body in chunks. Where a read of the body fails, it cancels the call.
func sendRequestBody(ctx context.Context, stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse], r *exchange.Request, cancel context.CancelFunc) error {
	pooled := chunkBuffers.Get()
	defer chunkBuffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			// gRPC keeps no reference to a message after Send, so the buffer can be reused.
			if sendErr := stream.Send(&peerpb.RelayRequest{Chunk: buffer[:n]}); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return stream.CloseSend()
		}
		if err != nil {
			cancel()
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// receiveHead receives the first message of a response, or the error of a refusal.
func receiveHead(stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse], vm id.VM) (m *peerpb.RelayResponse, err error) {
	m, err = stream.Recv()
	if err != nil {
		if ctxErr := stream.Context().Err(); ctxErr != nil {
			return nil, outcome.Unknown(outcome.DeadlineExceeded, "VM %s did not answer in time", vm)
		}
		return nil, outcome.Unknown(outcome.PeerFailed, "VM %s, which holds the lease, failed: %v", vm, err)
	}
	if m.GetRefusal() != nil {
		return nil, decodeRefusal(m.GetRefusal())
	}
	if m.GetHead() == nil {
		return nil, outcome.Unknown(outcome.PeerFailed, "VM %s sent an answer without a head", vm)
	}
	return m, nil
}

// responseBody is the body of a relayed response.
type responseBody struct {
	stream   grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse]
	cancel   context.CancelFunc
	unread   []byte
	complete bool
}

// Read returns io.EOF only after the holder has marked the response as complete; a stream that ends before returns
// io.ErrUnexpectedEOF.
func (b *responseBody) Read(out []byte) (n int, err error) {
	for len(b.unread) == 0 {
		if b.complete {
			return 0, io.EOF
		}
		m, err := b.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, errors.Wrap(err, "read the relayed response")
		}
		b.unread, b.complete = m.GetChunk(), m.GetWhole()
	}
	n = copy(out, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close cancels the call.
func (b *responseBody) Close() error {
	b.cancel()
	return nil
}

// Relay handles a request that another VM relays to this one.
func (s *Server) Relay(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayResponse]) (err error) {
	defer func() { err = errors.Wrap(err, "relay") }()
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	if m.GetHead() == nil {
		return errors.New("the first message has no head")
	}
	r := decodeRequest(m.GetHead(), s.options.Clock.Now())
	if m.GetHead().GetHasBody() {
		r.Body = &requestBody{stream: stream}
	}
	resp, err := s.handlers.Relay(stream.Context(), r)
	if err != nil {
		return stream.Send(&peerpb.RelayResponse{Refusal: encodeRefusal(outcome.FromError(err))})
	}
	defer resp.Body.Close()
	return sendResponse(stream, resp)
}

// sendResponse sends a response in chunks and marks the last one as complete.
func sendResponse(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayResponse], resp *exchange.Response) error {
	message := &peerpb.RelayResponse{Head: encodeResponseHead(resp)}
	pooled := chunkBuffers.Get()
	defer chunkBuffers.Put(pooled)
	buffer := *pooled
	if resp.Length < 0 || resp.Length > chunkBytes {
		if err := stream.Send(message); err != nil {
			return err
		}
		message = &peerpb.RelayResponse{}
	}
	// A short response is sent in one message with its head.
	for filled := 0; ; {
		n, err := resp.Body.Read(buffer[filled:])
		filled += n
		complete := errors.Is(err, io.EOF)
		if message.Head == nil && filled > 0 || complete || filled == len(buffer) {
			message.Chunk, message.Whole = buffer[:filled], complete
			if sendErr := stream.Send(message); sendErr != nil {
				return sendErr
			}
			message, filled = &peerpb.RelayResponse{}, 0
		}
		if complete {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// requestBody is the body of a relayed request.
type requestBody struct {
	stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayResponse]
	unread []byte
}

// Read reads the chunks that the other VM sends.
func (b *requestBody) Read(out []byte) (n int, err error) {
	for len(b.unread) == 0 {
		m, err := b.stream.Recv()
		if err != nil {
			return 0, err
		}
		b.unread = m.GetChunk()
	}
	n = copy(out, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close does nothing, since the call ends when its handler returns.
func (b *requestBody) Close() error { return nil }

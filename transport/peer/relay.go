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
)

// chunkBytes is the size of the parts in which bodies are passed on.
const chunkBytes = 32 << 10

// buffers are the buffers of parts in use.
var buffers = pool.NewPool(func() *[]byte {
	b := make([]byte, chunkBytes)
	return &b
})

// Relay passes a request to the VM that holds its group's lease.
func (c *Client) Relay(ctx context.Context, vm id.VM, r *exchange.Request) (answer *exchange.Response, err error) {
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
	// The handler can't act before it has the head, so an error up to here means that nothing was run.
	err = stream.Send(&peerpb.RelayRequest{Head: headOf(r, c.options.Clock.Now())})
	if err != nil && !errors.Is(err, io.EOF) {
		cancel()
		return nil, outcome.Unknown(outcome.PeerFailed, "the request to VM %s broke: %v", vm, err)
	}
	if r.Length == 0 || r.Body == nil {
		err = stream.CloseSend()
	} else {
		// A read of the caller's body ends with the caller's exchange, so nobody need wait for it here.
		go func() { _ = sendBody(ctx, stream, r, cancel) }()
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
	answer = answerOf(first.GetHead())
	answer.Body = &relayBody{stream: stream, cancel: cancel, rest: first.GetChunk(), whole: first.GetWhole()}
	return answer, nil
}

// sendBody passes the caller's body on; a broken body cuts the call.
func sendBody(ctx context.Context, stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse], r *exchange.Request, cancel context.CancelFunc) error {
	pooled := buffers.Get()
	defer buffers.Put(pooled)
	buffer := *pooled
	for {
		n, err := r.Body.Read(buffer)
		if n > 0 {
			// The library keeps no reference to a message that it has sent.
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

func receiveHead(stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse], vm id.VM) (m *peerpb.RelayResponse, err error) {
	m, err = stream.Recv()
	if err != nil {
		if ctxErr := stream.Context().Err(); ctxErr != nil {
			return nil, outcome.Unknown(outcome.DeadlineExceeded, "VM %s did not answer in time", vm)
		}
		return nil, outcome.Unknown(outcome.PeerFailed, "VM %s, which holds the lease, failed: %v", vm, err)
	}
	if m.GetRefusal() != nil {
		return nil, errorOf(m.GetRefusal())
	}
	if m.GetHead() == nil {
		return nil, outcome.Unknown(outcome.PeerFailed, "VM %s sent an answer without a head", vm)
	}
	return m, nil
}

// relayBody is the body of a relayed answer.
type relayBody struct {
	stream grpc.BidiStreamingClient[peerpb.RelayRequest, peerpb.RelayResponse]
	cancel context.CancelFunc
	rest   []byte
	whole  bool
}

// Read returns io.EOF only after the holder has said that the answer is whole.
func (b *relayBody) Read(out []byte) (n int, err error) {
	for len(b.rest) == 0 {
		if b.whole {
			return 0, io.EOF
		}
		m, err := b.stream.Recv()
		if errors.Is(err, io.EOF) {
			return 0, io.ErrUnexpectedEOF
		}
		if err != nil {
			return 0, errors.Wrap(err, "relayed answer")
		}
		b.rest, b.whole = m.GetChunk(), m.GetWhole()
	}
	n = copy(out, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the call.
func (b *relayBody) Close() error {
	b.cancel()
	return nil
}

// Relay answers a request that another VM has passed on.
func (s *Server) Relay(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayResponse]) (err error) {
	defer func() { err = errors.Wrap(err, "relay") }()
	m, err := stream.Recv()
	if err != nil {
		return err
	}
	if m.GetHead() == nil {
		return errors.New("the first message has no head")
	}
	r := requestOf(m.GetHead(), s.options.Clock.Now())
	if m.GetHead().GetHasBody() {
		r.Body = &requestBody{stream: stream}
	}
	answer, err := s.handlers.Relay(stream.Context(), r)
	if err != nil {
		return stream.Send(&peerpb.RelayResponse{Refusal: refusalOf(outcome.FromError(err))})
	}
	defer answer.Body.Close()
	return sendAnswer(stream, answer)
}

func sendAnswer(stream grpc.BidiStreamingServer[peerpb.RelayRequest, peerpb.RelayResponse], answer *exchange.Response) error {
	message := &peerpb.RelayResponse{Head: answerHeadOf(answer)}
	pooled := buffers.Get()
	defer buffers.Put(pooled)
	buffer := *pooled
	if answer.Length < 0 || answer.Length > chunkBytes {
		if err := stream.Send(message); err != nil {
			return err
		}
		message = &peerpb.RelayResponse{}
	}
	// A short answer goes with its head in one message.
	for filled := 0; ; {
		n, err := answer.Body.Read(buffer[filled:])
		filled += n
		whole := errors.Is(err, io.EOF)
		if message.Head == nil && filled > 0 || whole || filled == len(buffer) {
			message.Chunk, message.Whole = buffer[:filled], whole
			if sendErr := stream.Send(message); sendErr != nil {
				return sendErr
			}
			message, filled = &peerpb.RelayResponse{}, 0
		}
		if whole {
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
	rest   []byte
}

// Read reads what the other VM passes on.
func (b *requestBody) Read(out []byte) (n int, err error) {
	for len(b.rest) == 0 {
		m, err := b.stream.Recv()
		if err != nil {
			return 0, err
		}
		b.rest = m.GetChunk()
	}
	n = copy(out, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close does nothing: the call ends with its handler.
func (b *requestBody) Close() error { return nil }

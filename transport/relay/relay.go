// Package relay makes single attempts at backend servers through another VM.
//
// A VM that reaches no backend server keeps all decisions: which backend server,
// how often, and what the caller is told. The other VM only opens the connection.
// It never asks a further VM, and it declines what it can't or shouldn't send.
// Both are spoken over HTTP with CBOR bodies.
//
// An attempt with a latest time is bounded by the clock of the VM that makes it,
// however late that VM reads it: the VM that asks first gets a token, a reading of
// that clock, and sends it with the time that is left.
//
// # Usage
//
//	h := relay.NewHandler(send) // at the other VM, served at relay.Path
//	result, err := relay.NewClient().Do(ctx, "vm2", "10.1.0.16:7620", attempt)
//	if errors.Is(err, relay.ErrDeclined) {
//		// The attempt was not made; another VM may be asked.
//	}
package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/hickorylug/hickorylug/state/clock"
	"github.com/hickorylug/hickorylug/state/fleet"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/http1"
)

// Path is the path at which a VM takes attempts of other VMs by POST, and gives out tokens for them by GET.
const Path = "/v1/attempts"

const (
	dialTimeout = 300 * time.Millisecond
	// maxAttemptBytes limits an encoded attempt, and maxResultBytes an encoded result.
	maxAttemptBytes = 16 << 20
	maxResultBytes  = 48 << 20
	maxTokenBytes   = 100
)

// ErrDeclined marks errors after which the attempt was certainly not made.
var ErrDeclined = errors.New("the attempt was not made")

// decode decodes an attempt or a result. Header fields and targets may hold bytes that are no UTF-8.
func decode(data []byte, v any) error {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		return err
	}
	return mode.Unmarshal(data, v)
}

// Attempt is one attempt to send a request to a backend server.
type Attempt struct {
	Server  id.Server       `cbor:"1,keyasint"`
	Born    fleet.StartTime `cbor:"2,keyasint"`
	Address string          `cbor:"3,keyasint"`
	Method  string          `cbor:"4,keyasint"`
	Target  string          `cbor:"5,keyasint"`
	Host    string          `cbor:"6,keyasint"`
	Header  http.Header     `cbor:"7,keyasint"`
	Body    []byte          `cbor:"8,keyasint"`
	// RequestID identifies the response to a caller's request.
	RequestID string `cbor:"9,keyasint"`
	// Command says that this is a grant, release or health check, whose header is complete and which any response without a request's id answers.
	Command bool `cbor:"14,keyasint,omitempty"`
	// Timeout is the time left for the attempt.
	Timeout        time.Duration `cbor:"10,keyasint"`
	MaxConnections int           `cbor:"11,keyasint"`
	NewConnection  bool          `cbor:"12,keyasint"`
	// Detached says that the attempt goes on once it was sent, if the VM that asked for it disconnects or closes its sending side. Before that it ends.
	Detached bool `cbor:"13,keyasint"`
	// Wanted ends when the attempt is no longer wanted unless it was sent; one that isn't Detached ends with it then, too. Nil means that only the
	// context counts.
	Wanted context.Context `cbor:"-"`
	// Clear returns why the request must not be sent any more, or nil, right before it is written or passed on to the other VM; nil means that it
	// may always be sent.
	Clear func() error `cbor:"-"`
	// NotAfter is the latest time at which this VM may begin to write the request; 0 means no limit.
	NotAfter clock.Instant `cbor:"-"`
	// OpenedBy returns the latest time at which the connection may have been opened. It may try to move the time up to that at which the connection
	// was opened, given as wanted, and returns soon if that is 0. Nil means no limit.
	OpenedBy func(ctx context.Context, wanted clock.Instant) clock.Instant `cbor:"-"`
	// OpenTime is the time for which the connection must have been open when the token was given out; nil means that there is no limit.
	OpenTime *time.Duration `cbor:"17,keyasint,omitempty"`
	// Token says that the VM may begin to write the request until WriteTime has passed since it gave the token out; nil means no limit.
	Token     *Token        `cbor:"15,keyasint,omitempty"`
	WriteTime time.Duration `cbor:"16,keyasint,omitempty"`
}

// Token is a reading of the clock of the VM that gave it out. It means nothing to other VMs.
type Token struct {
	// Process is a random number of the process, since the clock starts anew with the machine.
	Process uint64        `cbor:"1,keyasint"`
	At      clock.Instant `cbor:"2,keyasint"`
}

// IsWanted reports whether an attempt that isn't sent yet is still wanted; ctx is that of the attempt.
func (a Attempt) IsWanted(ctx context.Context) bool {
	return ctx.Err() == nil && (a.Wanted == nil || a.Wanted.Err() == nil)
}

// IsLate reports whether the latest time to write the request has passed.
func (a Attempt) IsLate(now clock.Instant) bool { return a.NotAfter > 0 && now.After(a.NotAfter) }

// Result is the result of an attempt: the whole response of the backend server, or a failure.
type Result struct {
	Status  int         `cbor:"1,keyasint"`
	Header  http.Header `cbor:"2,keyasint"`
	Body    []byte      `cbor:"3,keyasint"`
	Failure *Failure    `cbor:"4,keyasint"`
	// WriteDelay is the time from the beginning of the attempt at another VM to the beginning of its write; 0 if there was none.
	WriteDelay time.Duration `cbor:"5,keyasint,omitempty"`
	// Relayed says that the attempt was made through another VM. The VM that asked for it sets it.
	Relayed bool `cbor:"-"`
	// AskedAt is when this VM asked another one to make the attempt; 0 if it didn't.
	AskedAt clock.Instant `cbor:"-"`
	// WrittenAt is when this VM began to write the request; 0 if it didn't.
	WrittenAt clock.Instant `cbor:"-"`
	// WriteReturnedAt is a time at which the write had returned, at this VM or at the other one; 0 if none is known.
	WriteReturnedAt clock.Instant `cbor:"-"`
}

// Failure is why an attempt has no response.
type Failure struct {
	// Sent says that the backend server may have received the request.
	Sent bool `cbor:"1,keyasint"`
	// Refused says that no process listens at the address.
	Refused bool `cbor:"2,keyasint"`
	// AtConnectionLimit says that no connection was free and no further one was allowed.
	AtConnectionLimit bool `cbor:"3,keyasint"`
	// Abandoned says that the VM gave the attempt up as its own links hang, so that it says nothing of the backend server.
	Abandoned bool `cbor:"5,keyasint,omitempty"`
	// Withheld says that the VM didn't write the request: its latest time had passed, the connection was opened too late, or the request was no
	// longer wanted or allowed. It says nothing of the backend server.
	Withheld bool   `cbor:"6,keyasint,omitempty"`
	Cause    string `cbor:"4,keyasint"`
}

// Client asks other VMs to make attempts. It is safe for concurrent use.
type Client struct {
	options Options
	client  *http1.Client
	quota   *http1.Quota
}

// NewClient returns a client without connections. Long heads and results are read within the quota.
func NewClient(quota *http1.Quota, opts ...Option) *Client {
	o := newOptions(opts)
	return &Client{options: o, client: http1.NewClient(http1.WithDialTimeout(dialTimeout), http1.WithDial(o.Dial), http1.WithQuota(quota)), quota: quota}
}

// Do asks the VM at an address to make an attempt. The error is marked with ErrDeclined unless the attempt may have been made. A result
// that is neither a failure nor a valid response is an error; a VM of an older build may send one.
func (c *Client) Do(ctx context.Context, vm id.VM, address string, a Attempt) (r Result, err error) {
	defer func() { err = errors.Wrapf(err, "send through VM %s", vm) }()
	deadline := c.options.Clock.Boot().Add(a.Timeout)
	if a.NotAfter > 0 {
		if err := c.limit(ctx, vm, address, &a); err != nil {
			return r, errors.Mark(err, ErrDeclined)
		}
	}
	ifUnwanted := http1.EndUnwanted
	if a.Detached {
		ifUnwanted = http1.TellUnwanted
	}
	response, err := c.client.Do(ctx, http1.Request{
		Address: address, Server: string(vm), Method: http.MethodPost, Target: Path, Host: address, Header: http.Header{},
		// The other VM may stop and close an idle connection while the attempt is on its way.
		NewConnection: a.Detached, Wanted: a.Wanted, IfUnwanted: ifUnwanted,
		BeforeWrite: func(r *http1.Request, _ time.Duration) (err error) {
			if a.Clear != nil {
				if err := a.Clear(); err != nil {
					return err
				}
			}
			a.Timeout = deadline.Sub(c.options.Clock.Boot())
			r.Body, err = cbor.Marshal(a)
			return err
		},
	})
	if err != nil {
		if !http1.WasSent(err) {
			err = errors.Mark(err, ErrDeclined)
		}
		return r, err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return r, errors.Mark(errors.Newf("unexpected HTTP status %d", response.Status), ErrDeclined)
	}
	data, err := http1.ReadBody(response.Body, maxResultBytes, c.quota)
	if err != nil {
		return r, err
	}
	if err := decode(data, &r); err != nil {
		return r, err
	}
	if r.Failure != nil {
		return r, nil
	}
	return r, http1.CheckHead(r.Status, r.Header)
}

// limit sets the limits of an attempt by the other VM's clock.
func (c *Client) limit(ctx context.Context, vm id.VM, address string, a *Attempt) (err error) {
	if a.Token, err = c.getToken(ctx, vm, address); err != nil {
		return err
	}
	// The token is older than this reading of the clock, so the other VM's limits are no later than this VM's.
	now := c.options.Clock.Boot()
	if a.WriteTime = a.NotAfter.Sub(now); a.WriteTime <= 0 {
		return errors.New("no time is left")
	}
	if a.OpenedBy != nil {
		openTime := now.Sub(a.OpenedBy(ctx, 0))
		a.OpenTime = &openTime
	}
	return nil
}

// getToken gets a token from the VM at an address. VMs of a build without tokens answer as to an invalid attempt.
func (c *Client) getToken(ctx context.Context, vm id.VM, address string) (t *Token, err error) {
	defer func() { err = errors.Wrap(err, "get a token") }()
	response, err := c.client.Do(ctx, http1.Request{
		Address: address, Server: string(vm), Method: http.MethodGet, Target: Path, Host: address, Header: http.Header{},
	})
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return nil, errors.Newf("unexpected HTTP status %d", response.Status)
	}
	data, err := http1.ReadBody(response.Body, maxTokenBytes, c.quota)
	if err != nil {
		return nil, err
	}
	t = &Token{}
	return t, decode(data, t)
}

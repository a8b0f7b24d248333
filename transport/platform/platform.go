// Package platform is a client of the platform's key-value store and its list of VMs.
//
// All clients of the fleet share the rates that the store allows, so every
// call waits for a rate limiter. A write whose response is lost is reported as
// ErrOutcomeUnknown; SwapAndVerify reads the key to find out whether the write
// took effect.
//
// # Usage
//
//	p := platform.NewClient("http://10.0.0.2:7000", platform.WithReadRate(3))
//	item, err := p.Get(ctx, "hickorylug/config")
//	item, err = p.Swap(ctx, "hickorylug/config", item.Revision, value)
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/id"
)

// Errors that callers of the client distinguish.
var (
	// ErrConflict means that the key's revision is not the expected one.
	ErrConflict = errors.New("the key was changed by another writer")
	// ErrOutcomeUnknown means that a write may or may not have taken effect, since its response was lost.
	ErrOutcomeUnknown = errors.New("the response to the write was lost")
	// ErrUnavailable means that the store did not answer a read, or that a write was not sent.
	ErrUnavailable = errors.New("the store is unavailable")
)

// maxResponseBytes bounds the body of the store's responses.
const maxResponseBytes = 64 << 20

// maxHeaderBytes bounds the head of the store's responses; a parsed head of short fields takes about 15 times its bytes.
const maxHeaderBytes = 32 << 10

// Client calls the store; its functions are fields so that tests can replace them.
type Client struct {
	// Get returns a key's item; an absent key has revision 0.
	Get func(ctx context.Context, key string) (store.Item, error)
	// Swap writes a value by compare-and-swap: it returns ErrConflict where the key's revision is not the expected one.
	Swap func(ctx context.Context, key string, expected id.Revision, value []byte) (store.Item, error)
	// Watch returns the items written under a prefix after a revision. Where there are none, it waits for one up to the
	// given time.
	Watch func(ctx context.Context, prefix string, after id.Revision, wait time.Duration) (store.Changes, error)
	// VMs returns the platform's list of entry VMs.
	VMs func(ctx context.Context) ([]store.VM, error)
	// SetClientCount sets the number of clients that share the store's rates.
	SetClientCount func(clients int)
}

// CallStats counts the calls to the store, and the bytes of their paths and bodies.
type CallStats struct {
	Reads  atomic.Int64
	Writes atomic.Int64
	Bytes  atomic.Int64
}

type client struct {
	options Options
	base    string
}

// NewClient returns a client of the store at a base URL.
func NewClient(base string, opts ...Option) *Client {
	c := &client{options: newOptions(opts), base: strings.TrimSuffix(base, "/")}
	return &Client{Get: c.get, Swap: c.swap, Watch: c.watch, VMs: c.vms, SetClientCount: c.setClientCount}
}

func (c *client) setClientCount(clients int) {
	c.options.readLimiter.SetLimit(rate.Limit(max(minClientRate, c.options.readRate/float64(max(clients, 1)))))
	c.options.writeLimiter.SetLimit(rate.Limit(max(minClientRate, c.options.writeRate/float64(max(clients, 1)))))
}

func (c *client) get(ctx context.Context, key string) (item store.Item, err error) {
	defer func() { err = errors.Wrapf(err, "read %s from the store", key) }()
	status, body, err := c.read(ctx, store.PathKeys+key, c.options.Timeout)
	if err != nil {
		return item, err
	}
	if status == http.StatusNotFound {
		return store.Item{Key: key}, nil
	}
	return item, decode(status, body, &item)
}

func (c *client) watch(ctx context.Context, prefix string, after id.Revision, wait time.Duration) (changes store.Changes, err error) {
	defer func() { err = errors.Wrapf(err, "watch %s in the store", prefix) }()
	query := url.Values{
		"Prefix": {prefix},
		"After":  {fmt.Sprint(after)},
		"Wait":   {wait.String()},
	}
	status, body, err := c.read(ctx, store.PathWatch+"?"+query.Encode(), wait+c.options.Timeout)
	if err != nil {
		return changes, err
	}
	return changes, decode(status, body, &changes)
}

func (c *client) vms(ctx context.Context) (vms []store.VM, err error) {
	defer func() { err = errors.Wrap(err, "read the platform's list of VMs") }()
	status, body, err := c.read(ctx, store.PathVMs, c.options.Timeout)
	if err != nil {
		return nil, err
	}
	return vms, decode(status, body, &vms)
}

// swap implements Client.Swap. A server error counts as an unknown outcome, since the store may have applied the write.
func (c *client) swap(ctx context.Context, key string, expected id.Revision, value []byte) (item store.Item, err error) {
	defer func() { err = errors.Wrapf(err, "write %s to the store", key) }()
	if err := c.options.writeLimiter.Wait(ctx); err != nil {
		return item, errors.Mark(err, ErrUnavailable)
	}
	c.options.CallStats.Writes.Add(1)
	request, err := json.Marshal(store.CompareAndSwap{Expected: expected, Value: value})
	if err != nil {
		return item, err
	}
	status, body, err := c.call(ctx, http.MethodPut, store.PathKeys+key, request, c.options.Timeout)
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		return item, errors.Mark(errors.Newf("status %d: %v", status, err), ErrOutcomeUnknown)
	case status == http.StatusConflict:
		return item, ErrConflict
	}
	return item, decode(status, body, &item)
}

func (c *client) read(ctx context.Context, path string, timeout time.Duration) (status int, body []byte, err error) {
	if err := c.options.readLimiter.Wait(ctx); err != nil {
		return 0, nil, errors.Mark(err, ErrUnavailable)
	}
	c.options.CallStats.Reads.Add(1)
	status, body, err = c.call(ctx, http.MethodGet, path, nil, timeout)
	if err != nil || status >= http.StatusInternalServerError || status == http.StatusTooManyRequests {
		return status, nil, errors.Mark(errors.Newf("status %d: %v", status, err), ErrUnavailable)
	}
	return status, body, nil
}

func (c *client) call(ctx context.Context, method, path string, request []byte, timeout time.Duration) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(request))
	if err != nil {
		return 0, nil, err
	}
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	body, err = io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	c.options.CallStats.Bytes.Add(int64(len(request) + len(body) + len(path)))
	return resp.StatusCode, body, err
}

func decode(status int, body []byte, target any) error {
	if status != http.StatusOK {
		return errors.Mark(errors.Newf("status %d: %s", status, bytes.TrimSpace(body)), ErrUnavailable)
	}
	return errors.Wrap(json.Unmarshal(body, target), "decode the store's response")
}

// SwapAndVerify writes a value and, where the response is lost, reads the key once to find out whether the write took
// effect. It returns ErrOutcomeUnknown where that is still unknown; the error is also an ErrConflict where another writer
// has changed the key.
//
// Values must differ from write to write, so that this write can be distinguished from another writer's.
func (c *Client) SwapAndVerify(ctx context.Context, key string, expected id.Revision, value []byte) (item store.Item, err error) {
	item, err = c.Swap(ctx, key, expected, value)
	if !errors.Is(err, ErrOutcomeUnknown) {
		return item, err
	}
	item, readErr := c.Get(ctx, key)
	switch {
	case readErr != nil:
		return item, errors.CombineErrors(err, readErr)
	case bytes.Equal(item.Value, value):
		return item, nil
	case item.Revision != expected:
		return item, errors.Mark(err, ErrConflict)
	default:
		// The write may still be in flight; it can take effect until another write changes the revision.
		return item, err
	}
}

// Package exchange is one request and its answer, as they pass between the layers of an entry VM.
//
// # Usage
//
//	var handler exchange.Handler = group.Serve
//	answer, err := handler(ctx, &exchange.Request{Method: "GET", Target: "/plans/7"})
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Request is a caller's request with the rules of its route.
type Request struct {
	Method string
	// Target is the path with the query, as in the request line.
	Target string
	Host   string
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 where it isn't known.
	Length int64

	Route   id.Route
	Service id.Service
	Group   id.Group
	// Keyed says that Key holds the place of the request's key.
	Keyed bool
	Key   table.Hash
	// IdempotencyKey is the caller's Idempotency-Key, or empty.
	IdempotencyKey string
	Idempotent     bool
	Retries        int
	Hedge          bool
	// Wait bounds the time in a queue.
	Wait time.Duration
	// Deadline is the end of the request by the local wall clock.
	Deadline time.Time
}

// RoutingHash returns the place that decides who runs the request: that of its key, or of its identity.
func (r *Request) RoutingHash() table.Hash {
	if r.Keyed {
		return r.Key
	}
	return table.HashKey(r.IdempotencyKey)
}

// RoutedByHash reports whether the request's place decides who runs it.
func (r *Request) RoutedByHash() bool {
	return r.Keyed || !r.Idempotent && r.IdempotencyKey != ""
}

// Response is the answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body must be read to the end or closed; reading it fails where the answer was cut short.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1 where it isn't known.
	Length int64
	// Server is the backend server that answered.
	Server id.Server
	Load   Load
}

// Load is the state of a group as its holder saw it when it answered.
type Load struct {
	// Running is the number of requests at the group's backend servers.
	Running int
	// Waiting is the number of requests in the group's queue.
	Waiting int
	// Limit is the number of requests that the group's backend servers may run at once.
	Limit int
}

// Handler answers a request or says what became of it by an error of package outcome.
type Handler func(ctx context.Context, r *Request) (*Response, error)

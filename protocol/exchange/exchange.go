// Package exchange defines a request and its response as the layers of an entry VM pass them on.
//
// # Usage
//
//	var handler exchange.Handler = group.Serve
//	response, err := handler(ctx, &exchange.Request{Method: "GET", Target: "/plans/7"})
package exchange

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Request is a caller's request with the settings of its route.
type Request struct {
	Method string
	// Target is the path with the query, as in the HTTP request line.
	Target string
	Host   string
	Header http.Header
	Body   io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64

	Route   id.Route
	Service id.Service
	Group   id.Group
	// Keyed says that Key holds the hash of the request's shard key.
	Keyed bool
	Key   table.Hash
	// IdempotencyKey is the value of the caller's Idempotency-Key header field, or empty.
	IdempotencyKey string
	// Idempotent says that the request may be run more than once.
	Idempotent bool
	// Retries is the maximum number of retries after an unknown outcome; an attempt that was not run doesn't count.
	Retries int
	// Hedge says that a second attempt may be sent while the first one is slow.
	Hedge bool
	// Wait is the maximum time in a queue.
	Wait time.Duration
	// Deadline is the time by the local wall clock at which the request times out.
	Deadline time.Time
}

// RoutingHash returns the hash that decides where the request runs: that of its shard key, or of its idempotency key.
func (r *Request) RoutingHash() table.Hash {
	if r.Keyed {
		return r.Key
	}
	return table.HashKey(r.IdempotencyKey)
}

// RoutedByHash reports whether RoutingHash decides where the request runs.
//
// That is so for a request with a shard key, and for one that must run at most
// once, so that duplicates reach the same group as the original.
func (r *Request) RoutedByHash() bool {
	return r.Keyed || !r.Idempotent && r.IdempotencyKey != ""
}

// Response is the response of a backend server.
type Response struct {
	Status int
	Header http.Header
	// Body must be read to the end or closed. Reading it fails if the response is incomplete.
	Body io.ReadCloser
	// Length is the body's length in bytes, or -1 if it is unknown.
	Length int64
	// Server is the backend server that sent the response.
	Server id.Server
	Load   Load
}

// Load is the load of a group, as its lease holder knew it at the time of the response.
type Load struct {
	// Running is the number of requests in flight at the group's backend servers.
	Running int
	// Waiting is the number of requests in the group's queue.
	Waiting int
	// Limit is the concurrency limit of the group's backend servers together.
	Limit int
}

// Handler serves a request. Its error is an outcome.Error, which says whether the request may have been run.
type Handler func(ctx context.Context, r *Request) (*Response, error)

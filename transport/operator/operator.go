// Package operator serves the health, state and metrics of a VM to operators, on a listener separate from callers' traffic.
//
//	GET /healthz     200 while the process runs
//	GET /readyz      200 while the VM accepts requests; the platform's load balancer probes it
//	GET /metrics     the metrics as JSON, by expvar
//	GET /status      the VM's view of the site and the leases that it holds
//	GET /fleet       the revision of the configuration in force at each VM
//	GET /explain     ?Method=&URL=&Header=NAME:VALUE: route, slice, group, holder and server of a request
//
// # Usage
//
//	s := operator.NewServer(operator.Views{Ready: ready, Status: status, Explain: explain, Metrics: m})
//	err := s.Serve(ctx, listener)
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/problem"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// headerTimeout bounds the time in which an operator's client must send a request's header.
const headerTimeout = 5 * time.Second

// Status is a VM's view of the site and the leases that it holds.
type Status struct {
	VM            id.VM
	Incarnation   id.Incarnation
	Site          id.Site
	FailureDomain id.Domain
	Ready         bool
	Leaving       bool
	// Revision is the revision of the configuration in force at this VM.
	Revision id.Revision
	// Change identifies the write of that configuration.
	Change string
	// Holds lists the groups whose lease this VM holds.
	Holds   []id.Group
	Groups  []GroupStatus
	Members []MemberStatus
	Tables  []TableStatus
}

// GroupStatus is the VM's view of a group.
type GroupStatus struct {
	Group         id.Group
	Service       id.Service
	FailureDomain id.Domain
	// Out says that an operator has taken the failure domain out of service.
	Out       bool
	Holder    id.VM
	Term      id.Term
	Witnesses []id.VM
	// Servers is set only at the lease holder.
	Servers []ServerStatus `json:",omitempty"`
}

// ServerStatus is the lease holder's view of a backend server.
type ServerStatus struct {
	Server id.Server
	// Lost is true where the backend server is lost or draining.
	Lost bool
	// Limit is the current concurrency limit, at most Slots.
	Limit int
	// Slots is the maximum concurrency limit that is configured.
	Slots int
}

// MemberStatus is another VM that recently sent a heartbeat to this VM or to one that reported it.
type MemberStatus struct {
	VM            id.VM
	FailureDomain id.Domain
	Leaving       bool
}

// FleetStatus is what a VM reports about itself.
type FleetStatus struct {
	VM            id.VM
	FailureDomain id.Domain
	// Revision is the revision of the configuration in force at the VM, or 0 where the VM did not answer.
	Revision id.Revision
	Leaving  bool
	Error    string `json:",omitempty"`
}

// TableStatus summarizes a service's slice table.
type TableStatus struct {
	Service id.Service
	Version id.Version
	Slices  int
	// Moving is the number of slices that are being moved to another owner.
	Moving int
	// Vacant is the number of slices without an owner.
	Vacant int
	// Owned has the number of slices of each owner.
	Owned map[id.Owner]int
	// Keys is the number of isolated keys, which have their own owner.
	Keys int
}

// Explanation says where a request would be routed, and why.
type Explanation struct {
	Route   id.Route
	Service id.Service
	Keyed   bool
	Key     string     `json:",omitempty"`
	Hash    table.Hash `json:",omitempty"`
	Slice   *id.Slice  `json:",omitempty"`
	Moving  bool
	Group   id.Group
	Holder  id.VM
	Server  id.Server `json:",omitempty"`
	Why     []string
}

// Views are the functions whose results the server shows.
type Views struct {
	Ready   func() error
	Status  func() Status
	Fleet   func(ctx context.Context) []FleetStatus
	Explain func(r *http.Request) (Explanation, error)
	Metrics *Metrics
}

// Server is the HTTP server for operators.
type Server struct {
	views Views
	http  *http.Server
}

// NewServer returns a server that shows the given views.
func NewServer(v Views) *Server {
	s := &Server{views: v}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /status", s.status)
	mux.HandleFunc("GET /fleet", s.fleet)
	mux.HandleFunc("GET /explain", s.explain)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	return s
}

// Serve accepts connections until the context ends, then closes all of them.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve operators") }()
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		err := s.http.Close()
		if serveErr := <-done; !errors.Is(serveErr, http.ErrServerClosed) {
			err = errors.CombineErrors(err, serveErr)
		}
		return err
	}
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if err := s.views.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only where the client closed the connection.
	_, _ = w.Write([]byte(s.views.Metrics.String() + "\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.views.Status())
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.views.Fleet(r.Context()))
}

// explain explains the request that the query parameters describe.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	described, err := http.NewRequestWithContext(r.Context(), q.Get("Method"), q.Get("URL"), nil)
	if err != nil {
		problem.Write(w, outcome.NotRun(outcome.BadRequest, "Method or URL: %v", err), "")
		return
	}
	for _, field := range q["Header"] {
		if name, value, ok := parseField(field); ok {
			described.Header.Add(name, value)
		}
	}
	e, err := s.views.Explain(described)
	if err != nil {
		problem.Write(w, outcome.FromError(err), "")
		return
	}
	writeJSON(w, e)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A write fails only where the client closed the connection.
	_ = encoder.Encode(v)
}

// parseField splits a header field of the form NAME:VALUE.
func parseField(field string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(field, ":")
	return strings.TrimSpace(name), strings.TrimSpace(value), ok
}

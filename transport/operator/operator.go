// Package operator shows operators the health, state and metrics of a VM, apart from callers' traffic.
//
//	GET /healthz     200 while the process runs
//	GET /readyz      200 while the VM takes requests; the platform's balancer asks here
//	GET /metrics     the metrics, by expvar
//	GET /status      what the VM knows and holds
//	GET /fleet       which configuration each VM runs
//	GET /explain     ?Method=&URL=&Host=: route, slice, group, holder and server of a request
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

// headerTimeout bounds the time that an operator's client has to send its header.
const headerTimeout = 5 * time.Second

// Status is what a VM knows and holds.
type Status struct {
	VM            id.VM
	Incarnation   id.Incarnation
	Site          id.Site
	FailureDomain id.Domain
	Ready         bool
	Leaving       bool
	// Revision is that of the configuration in force at this VM.
	Revision id.Revision
	// Change identifies that configuration's write.
	Change  string
	Holds   []id.Group
	Groups  []GroupStatus
	Members []MemberStatus
	Tables  []TableStatus
}

// GroupStatus is one group as the VM sees it.
type GroupStatus struct {
	Group         id.Group
	Service       id.Service
	FailureDomain id.Domain
	Out           bool
	Holder        id.VM
	Term          id.Term
	Witnesses     []id.VM
	// Servers is known only to the holder.
	Servers []ServerStatus `json:",omitempty"`
}

// ServerStatus is a backend server as its group's holder sees it.
type ServerStatus struct {
	Server id.Server
	Lost   bool
	Limit  int
	Slots  int
}

// MemberStatus is another VM that has been heard of lately.
type MemberStatus struct {
	VM            id.VM
	FailureDomain id.Domain
	Leaving       bool
}

// FleetStatus is what a VM says of itself.
type FleetStatus struct {
	VM            id.VM
	FailureDomain id.Domain
	// Revision is that of the configuration in force there, or 0 where the VM did not answer.
	Revision id.Revision
	Leaving  bool
	Error    string `json:",omitempty"`
}

// TableStatus is a service's slice table.
type TableStatus struct {
	Service id.Service
	Version id.Version
	Slices  int
	Moving  int
	Vacant  int
	// Owned counts the slices of each owner.
	Owned map[id.Owner]int
	// Keys counts the single keys with an owner of their own.
	Keys int
}

// Explanation says where a request would go, and why.
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

// Views are the functions that the server shows the results of.
type Views struct {
	Ready   func() error
	Status  func() Status
	Fleet   func(ctx context.Context) []FleetStatus
	Explain func(r *http.Request) (Explanation, error)
	Metrics *Metrics
}

// Server shows a VM to operators.
type Server struct {
	views Views
	http  *http.Server
}

// NewServer returns a server of the given views.
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

// Serve answers operators until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = errors.Wrap(err, "serve operators") }()
	done := make(chan error, 1)
	go func() { done <- s.http.Serve(l) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		err := s.http.Close()
		if ended := <-done; !errors.Is(ended, http.ErrServerClosed) {
			err = errors.CombineErrors(err, ended)
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
	// The operator's client is gone where this fails.
	_, _ = w.Write([]byte(s.views.Metrics.String() + "\n"))
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.views.Status())
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.views.Fleet(r.Context()))
}

// explain answers for the request that its query describes.
func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	asked, err := http.NewRequestWithContext(r.Context(), q.Get("Method"), q.Get("URL"), nil)
	if err != nil {
		problem.Write(w, outcome.NotRun(outcome.BadRequest, "Method or URL: %v", err), "")
		return
	}
	for _, field := range q["Header"] {
		if name, value, ok := cutField(field); ok {
			asked.Header.Add(name, value)
		}
	}
	e, err := s.views.Explain(asked)
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
	// The operator's client is gone where this fails.
	_ = encoder.Encode(v)
}

func cutField(field string) (name, value string, ok bool) {
	name, value, ok = strings.Cut(field, ":")
	return strings.TrimSpace(name), strings.TrimSpace(value), ok
}

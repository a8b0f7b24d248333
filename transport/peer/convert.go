package peer

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/idempotency"
	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/protocol/exchange"
	"github.com/hickorylug/hickorylug/protocol/outcome"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

func encodeHeader(h http.Header) (out []*peerpb.Field) {
	out = make([]*peerpb.Field, 0, len(h))
	for name, values := range h {
		out = append(out, &peerpb.Field{Name: name, Values: values})
	}
	return out
}

func decodeHeader(fields []*peerpb.Field) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}
	return h
}

// encodeRequestHead converts a request without its body; the deadline becomes the time left, since the clocks of two VMs differ.
func encodeRequestHead(r *exchange.Request, now time.Time) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Method:       r.Method,
		Target:       r.Target,
		Host:         r.Host,
		Header:       encodeHeader(r.Header),
		Length:       r.Length,
		Route:        string(r.Route),
		Service:      string(r.Service),
		Group:        string(r.Group),
		Keyed:        r.Keyed,
		Key:          uint64(r.Key),
		Identity:     r.IdempotencyKey,
		Idempotent:   r.Idempotent,
		Retries:      int32(r.Retries),
		Hedge:        r.Hedge,
		WaitNanos:    int64(r.Wait),
		TimeoutNanos: int64(r.Deadline.Sub(now)),
		HasBody:      r.Length != 0,
	}
}

// decodeRequest converts a message to a request; the deadline is the time left, counted from now.
func decodeRequest(h *peerpb.RequestHead, now time.Time) *exchange.Request {
	return &exchange.Request{
		Method:         h.GetMethod(),
		Target:         h.GetTarget(),
		Host:           h.GetHost(),
		Header:         decodeHeader(h.GetHeader()),
		Length:         h.GetLength(),
		Route:          id.Route(h.GetRoute()),
		Service:        id.Service(h.GetService()),
		Group:          id.Group(h.GetGroup()),
		Keyed:          h.GetKeyed(),
		Key:            table.Hash(h.GetKey()),
		IdempotencyKey: h.GetIdentity(),
		Idempotent:     h.GetIdempotent(),
		Retries:        int(h.GetRetries()),
		Hedge:          h.GetHedge(),
		Wait:           time.Duration(h.GetWaitNanos()),
		Deadline:       now.Add(time.Duration(h.GetTimeoutNanos())),
	}
}

func encodeResponseHead(r *exchange.Response) *peerpb.ResponseHead {
	return &peerpb.ResponseHead{
		Status:  int32(r.Status),
		Header:  encodeHeader(r.Header),
		Length:  r.Length,
		Server:  string(r.Server),
		Running: int32(r.Load.Running),
		Waiting: int32(r.Load.Waiting),
		Limit:   int32(r.Load.Limit),
	}
}

func decodeResponse(h *peerpb.ResponseHead) *exchange.Response {
	return &exchange.Response{
		Status: int(h.GetStatus()),
		Header: decodeHeader(h.GetHeader()),
		Length: h.GetLength(),
		Server: id.Server(h.GetServer()),
		Load: exchange.Load{
			Running: int(h.GetRunning()),
			Waiting: int(h.GetWaiting()),
			Limit:   int(h.GetLimit()),
		},
	}
}

func encodeRefusal(e *outcome.Error) *peerpb.Refusal {
	return &peerpb.Refusal{
		Outcome:         string(e.Outcome),
		Reason:          string(e.Reason),
		Detail:          e.Detail,
		RetryAfterNanos: int64(e.RetryAfter),
	}
}

// decodeRefusal converts a message to an error. Any outcome other than "not run" counts as unknown, so that a request is
// retried only where the peer said that it was not run.
func decodeRefusal(r *peerpb.Refusal) *outcome.Error {
	e := &outcome.Error{
		Outcome:    outcome.KindUnknown,
		Reason:     outcome.Reason(r.GetReason()),
		Detail:     r.GetDetail(),
		RetryAfter: time.Duration(r.GetRetryAfterNanos()),
	}
	if r.GetOutcome() == string(outcome.KindNotRun) {
		e.Outcome = outcome.KindNotRun
	}
	return e
}

// EncodeLease converts a lease record to its message.
func EncodeLease(r lease.Record) *peerpb.Lease {
	l := &peerpb.Lease{
		Group:       string(r.Group),
		Term:        uint64(r.Term),
		Holder:      string(r.Holder),
		Incarnation: string(r.Incarnation),
		Revision:    uint64(r.Revision),
	}
	for _, w := range r.Witnesses {
		l.Witnesses = append(l.Witnesses, string(w))
	}
	return l
}

// DecodeLease converts a message to a lease record.
func DecodeLease(l *peerpb.Lease) lease.Record {
	r := lease.Record{
		Group:       id.Group(l.GetGroup()),
		Term:        id.Term(l.GetTerm()),
		Holder:      id.VM(l.GetHolder()),
		Incarnation: id.Incarnation(l.GetIncarnation()),
		Revision:    id.Revision(l.GetRevision()),
	}
	for _, w := range l.GetWitnesses() {
		r.Witnesses = append(r.Witnesses, id.VM(w))
	}
	return r
}

// EncodeTable converts a slice table, with the revision of its record in the store, to its message.
func EncodeTable(revision id.Revision, t *table.Table) (m *peerpb.Table, err error) {
	document, err := json.Marshal(t)
	return &peerpb.Table{
		Service:  string(t.Service),
		Revision: uint64(revision),
		Version:  uint64(t.Version),
		Document: document,
	}, errors.Wrapf(err, "encode the slice table of service %s", t.Service)
}

// DecodeTable converts a message to a slice table.
func DecodeTable(m *peerpb.Table) (t *table.Table, err error) {
	defer func() { err = errors.Wrapf(err, "decode the slice table of service %s from a peer", m.GetService()) }()
	t = &table.Table{}
	return t, json.Unmarshal(m.GetDocument(), t)
}

// EncodeFinishedEntry converts a stored response of the deduplication state to its message, with its age at now.
func EncodeFinishedEntry(k idempotency.FinishedEntry, now time.Time) *peerpb.Memory {
	m := &peerpb.Memory{
		Identity: k.ID.Identity,
		Service:  string(k.ID.Service),
		Status:   int32(k.Answer.Response.Status),
		Header:   encodeHeader(k.Answer.Response.Header),
		Body:     k.Answer.Body,
		AgeNanos: int64(now.Sub(k.StartedAt)),
	}
	if k.Answer.Err != nil {
		m.Refusal = encodeRefusal(k.Answer.Err)
	}
	return m
}

// DecodeFinishedEntry converts a message to a stored response; its age counts back from now.
func DecodeFinishedEntry(m *peerpb.Memory, now time.Time) idempotency.FinishedEntry {
	k := idempotency.FinishedEntry{
		ID:        idempotency.ID{Service: id.Service(m.GetService()), Identity: m.GetIdentity()},
		StartedAt: now.Add(-time.Duration(m.GetAgeNanos())),
		Answer: idempotency.Answer{
			Response: exchange.Response{Status: int(m.GetStatus()), Header: decodeHeader(m.GetHeader())},
			Body:     m.GetBody(),
		},
	}
	if m.GetRefusal() != nil {
		k.Answer.Err = decodeRefusal(m.GetRefusal())
	}
	return k
}

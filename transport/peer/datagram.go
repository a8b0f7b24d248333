package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/coordination/leasemanager"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxDatagram is the size of the largest datagram, in bytes.
const maxDatagram = 16 << 10

// ipOverhead is the size of the headers of IP and UDP, in bytes.
const ipOverhead = 28

// Datagrams sends and receives what concerns leases and membership.
type Datagrams struct {
	conn *net.UDPConn
	// SentBytes counts what was sent, with the headers of IP and UDP; what was received counts at its sender.
	SentBytes atomic.Int64
	// Drop is a seam for tests: datagrams to an address for which it returns true are lost.
	Drop func(address string) bool
}

// NewDatagrams returns the datagrams of a socket.
func NewDatagrams(conn *net.UDPConn) *Datagrams {
	return &Datagrams{conn: conn, Drop: func(string) bool { return false }}
}

// Send passes a datagram to an address; like any datagram it may be lost.
func (d *Datagrams) Send(address string, m *peerpb.Datagram) (err error) {
	defer func() { err = errors.Wrapf(err, "datagram to %s", address) }()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(m)
	if err != nil || d.Drop(address) {
		return err
	}
	d.SentBytes.Add(int64(len(data) + ipOverhead))
	_, err = d.conn.WriteToUDP(data, to)
	return err
}

// Serve passes datagrams to receive until the context ends; a malformed one is dropped.
func (d *Datagrams) Serve(ctx context.Context, receive func(*peerpb.Datagram)) (err error) {
	defer func() { err = errors.Wrap(err, "receive datagrams") }()
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past wakes the reader below.
		_ = d.conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		m := &peerpb.Datagram{}
		if proto.Unmarshal(buffer[:n], m) == nil {
			receive(m)
		}
	}
}

// AppendLeaseMessages adds a keeper's message to a datagram.
func AppendLeaseMessages(d *peerpb.Datagram, m leasemanager.Message) {
	for _, r := range m.Renewals {
		d.Renewals = append(d.Renewals, &peerpb.Renewal{Group: string(r.Group), Term: uint64(r.Term), Round: uint64(r.Round)})
	}
	for _, a := range m.RenewalAnswers {
		d.RenewalAnswers = append(d.RenewalAnswers, &peerpb.RenewalAnswer{
			Group: string(a.Group), Term: uint64(a.Term), Round: uint64(a.Round), Granted: a.Granted,
		})
	}
	for _, r := range m.RefuseRequests {
		d.Refusals = append(d.Refusals, &peerpb.Refuse{Group: string(r.Group), Term: uint64(r.Term), SilenceNanos: int64(r.Silence)})
	}
	for _, a := range m.RefuseAnswers {
		d.RefuseAnswers = append(d.RefuseAnswers, &peerpb.RefuseAnswer{
			Group: string(a.Group), Term: uint64(a.Term), Refused: a.Refused, RemainingNanos: int64(a.Remaining),
		})
	}
}

// DecodeLeaseMessages returns the keeper's message in a datagram.
func DecodeLeaseMessages(d *peerpb.Datagram) (m leasemanager.Message) {
	for _, r := range d.GetRenewals() {
		m.Renewals = append(m.Renewals, lease.Renewal{Group: id.Group(r.GetGroup()), Term: id.Term(r.GetTerm()), Round: lease.Round(r.GetRound())})
	}
	for _, a := range d.GetRenewalAnswers() {
		m.RenewalAnswers = append(m.RenewalAnswers, lease.RenewalAnswer{
			Group: id.Group(a.GetGroup()), Term: id.Term(a.GetTerm()), Round: lease.Round(a.GetRound()), Granted: a.GetGranted(),
		})
	}
	for _, r := range d.GetRefusals() {
		m.RefuseRequests = append(m.RefuseRequests, lease.RefuseRequest{Group: id.Group(r.GetGroup()), Term: id.Term(r.GetTerm()), Silence: time.Duration(r.GetSilenceNanos())})
	}
	for _, a := range d.GetRefuseAnswers() {
		m.RefuseAnswers = append(m.RefuseAnswers, lease.RefuseAnswer{
			Group: id.Group(a.GetGroup()), Term: id.Term(a.GetTerm()), Refused: a.GetRefused(), Remaining: time.Duration(a.GetRemainingNanos()),
		})
	}
	return m
}

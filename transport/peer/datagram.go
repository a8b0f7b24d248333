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

// maxDatagramBytes is the size of the largest datagram that is received.
const maxDatagramBytes = 16 << 10

// ipUDPHeaderBytes is the size of the IPv4 and UDP headers of a datagram.
const ipUDPHeaderBytes = 28

// Datagrams sends and receives datagrams, which carry lease messages and heartbeats.
type Datagrams struct {
	conn *net.UDPConn
	// SentBytes counts the bytes sent, with the IP and UDP headers; bytes received are counted by their sender.
	SentBytes atomic.Int64
	// Drop reports whether datagrams to an address are dropped; tests replace it to simulate loss.
	Drop func(address string) bool
}

// NewDatagrams returns Datagrams that use a socket.
func NewDatagrams(conn *net.UDPConn) *Datagrams {
	return &Datagrams{conn: conn, Drop: func(string) bool { return false }}
}

// Send sends a datagram to an address; it may be lost without an error.
func (d *Datagrams) Send(address string, m *peerpb.Datagram) (err error) {
	defer func() { err = errors.Wrapf(err, "send datagram to %s", address) }()
	udpAddress, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	data, err := proto.Marshal(m)
	if err != nil || d.Drop(address) {
		return err
	}
	d.SentBytes.Add(int64(len(data) + ipUDPHeaderBytes))
	_, err = d.conn.WriteToUDP(data, udpAddress)
	return err
}

// Serve calls receive for each datagram until the context ends; malformed datagrams are dropped.
func (d *Datagrams) Serve(ctx context.Context, receive func(*peerpb.Datagram)) (err error) {
	defer func() { err = errors.Wrap(err, "receive datagrams") }()
	stop := context.AfterFunc(ctx, func() {
		// A deadline in the past makes the blocked read below return.
		_ = d.conn.SetReadDeadline(time.Unix(1, 0))
	})
	defer stop()
	buffer := make([]byte, maxDatagramBytes)
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

// AppendLeaseMessages appends the messages of a lease manager to a datagram.
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

// DecodeLeaseMessages returns the messages for the lease manager in a datagram.
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

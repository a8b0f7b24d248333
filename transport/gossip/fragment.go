package gossip

import (
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Fragment is a part of an encoded and compressed message that is longer than a datagram.
type Fragment struct {
	// Message numbers the fragmented messages of one process.
	Message uint64 `cbor:"1,keyasint"`
	Index   int    `cbor:"2,keyasint"`
	Count   int    `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint"`
}

const (
	// fragmentBytes is the length of a fragment's data; the rest of the datagram is for the sender and the numbering.
	fragmentBytes = MaxDatagramBytes - 256
	// maxFragments limits the fragments of a message. A longer message is not sent: receivers fetch its content over TCP.
	maxFragments = 10
	// maxPartialMessages limits the incomplete messages that a receiver keeps, over all senders.
	maxPartialMessages = 32
	// partialMessageTTL is how long a receiver waits for the missing fragments of a message.
	partialMessageTTL = time.Second
)

const (
	// MaxCompressedBytes limits the encoded and compressed size of a message.
	MaxCompressedBytes = maxFragments * fragmentBytes
	// maxMessageBytes limits the encoded size of a message before its compression.
	maxMessageBytes = 4 << 20
)

// split returns the fragments of an encoded and compressed message.
func split(message uint64, data []byte) (fragments []Fragment) {
	count := (len(data) + fragmentBytes - 1) / fragmentBytes
	for i := range count {
		fragments = append(fragments, Fragment{
			Message: message, Index: i, Count: count, Data: data[i*fragmentBytes : min(len(data), (i+1)*fragmentBytes)],
		})
	}
	return fragments
}

// partialKey identifies a fragmented message; the incarnation distinguishes the processes of a VM, which number alike.
type partialKey struct {
	from        id.VM
	incarnation id.Incarnation
	message     uint64
}

// partial is a message of which some fragments are missing.
type partial struct {
	parts     [][]byte
	missing   int
	startedAt time.Time
}

// assembler joins the fragments of messages. It is not safe for concurrent use.
type assembler struct {
	partials map[partialKey]*partial
	now      func() time.Time
}

func newAssembler(now func() time.Time) *assembler {
	return &assembler{partials: map[partialKey]*partial{}, now: now}
}

// add adds a fragment and returns the compressed message once all of its fragments have been added, or nil.
//
// Invalid fragments are ignored. A message whose fragments don't all come in
// time is dropped, like a lost datagram.
func (a *assembler) add(from id.VM, incarnation id.Incarnation, f Fragment) (data []byte) {
	if f.Count < 1 || f.Count > maxFragments || f.Index < 0 || f.Index >= f.Count || len(f.Data) == 0 || len(f.Data) > fragmentBytes {
		return nil
	}
	key := partialKey{from, incarnation, f.Message}
	p := a.partials[key]
	if p == nil {
		a.evict()
		p = &partial{parts: make([][]byte, f.Count), missing: f.Count, startedAt: a.now()}
		a.partials[key] = p
	}
	if len(p.parts) != f.Count || p.parts[f.Index] != nil {
		return nil
	}
	p.parts[f.Index] = f.Data
	if p.missing--; p.missing > 0 {
		return nil
	}
	delete(a.partials, key)
	for _, part := range p.parts {
		data = append(data, part...)
	}
	return data
}

// evict drops the expired messages and, if there are still too many, the oldest one.
func (a *assembler) evict() {
	var oldest partialKey
	oldestAt := time.Time{}
	for key, p := range a.partials {
		if a.now().Sub(p.startedAt) > partialMessageTTL {
			delete(a.partials, key)
		} else if oldestAt.IsZero() || p.startedAt.Before(oldestAt) {
			oldest, oldestAt = key, p.startedAt
		}
	}
	if len(a.partials) >= maxPartialMessages {
		delete(a.partials, oldest)
	}
}

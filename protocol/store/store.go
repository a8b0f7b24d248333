// Package store is the HTTP interface of the platform's key-value store and VM list.
//
//	GET  /v1/keys/{key}                        an Item, or 404
//	PUT  /v1/keys/{key}                        a Swap; an Item, or 409 with the current Item
//	GET  /v1/watch?Prefix=&After=&Wait=        Changes, after a wait where there are none
//	GET  /v1/vms                               a list of VM
//
// # Usage
//
//	body, err := json.Marshal(store.CompareAndSwap{Expected: item.Revision, Value: value})
package store

import (
	"time"

	"github.com/hickorylug/hickorylug/state/id"
)

// Paths of the interface.
const (
	PathKeys  = "/v1/keys/"
	PathWatch = "/v1/watch"
	PathVMs   = "/v1/vms"
)

// MaxValue is the size of the largest value, in bytes.
const MaxValue = 1 << 20

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision of the last write to the key; 0 means that the key is absent.
	Revision id.Revision
}

// CompareAndSwap writes a value where the key's revision is the expected one.
type CompareAndSwap struct {
	// Expected is the revision that the key must have; 0 means that it must be absent.
	Expected id.Revision
	Value    []byte
	// TTL removes the key after this time unless it is written again; 0 keeps it.
	TTL time.Duration
}

// Changes are the items that were written after a revision.
type Changes struct {
	// Revision is the store's newest revision.
	Revision id.Revision
	Items    []Item
}

// VMState is what the platform knows of a VM.
type VMState string

// The states of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry VM in the platform's list, which lags behind.
type VM struct {
	Name          id.VM
	FailureDomain id.Domain
	// PeerAddress is where other entry VMs reach it, by TCP and UDP.
	PeerAddress string
	State       VMState
}

// Package store defines the HTTP interface of the platform's key-value store and VM list.
//
//	GET  /v1/keys/{key}                        an Item, or 404
//	PUT  /v1/keys/{key}                        a CompareAndSwap; an Item, or 409 with the current Item
//	GET  /v1/watch?Prefix=&After=&Wait=        Changes; waits up to Wait while there are none
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

// Paths of the HTTP interface.
const (
	PathKeys  = "/v1/keys/"
	PathWatch = "/v1/watch"
	PathVMs   = "/v1/vms"
)

// MaxValueBytes is the maximum size of a value in bytes.
const MaxValueBytes = 1 << 20

// Item is a key with its value and revision.
type Item struct {
	Key   string
	Value []byte
	// Revision is the store's revision at the last write to the key, or 0 if the key is absent.
	Revision id.Revision
}

// CompareAndSwap is a write that succeeds only if the key has the expected revision.
type CompareAndSwap struct {
	// Expected is the revision that the key must have, or 0 if it must be absent.
	Expected id.Revision
	Value    []byte
	// TTL is the time after which the key is removed unless it is written again, or 0 if it doesn't expire.
	TTL time.Duration
}

// Changes is the response to a watch: the items that were written after the given revision.
type Changes struct {
	// Revision is the store's latest revision.
	Revision id.Revision
	Items    []Item
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry VM in the platform's list. The list lags behind the actual state.
type VM struct {
	Name          id.VM
	FailureDomain id.Domain
	// PeerAddress is the TCP and UDP address at which other entry VMs reach it.
	PeerAddress string
	State       VMState
}

package directory

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/lease"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/table"
)

// Keys and key prefixes in the store.
const (
	// Prefix is the common prefix of all keys of the system.
	Prefix = "hickorylug/"
	// KeyConfiguration holds the accepted configuration.
	KeyConfiguration = Prefix + "configuration"
	// KeyHistory holds the configurations that were accepted earlier.
	KeyHistory    = Prefix + "history"
	prefixLease   = Prefix + "lease/"
	prefixTable   = Prefix + "table/"
	prefixRetired = Prefix + "retired/"
)

// KeyLease returns the key of a lease's record.
func KeyLease(g id.Group) string { return prefixLease + string(g) }

// KeyTable returns the key of a service's slice table.
func KeyTable(s id.Service) string { return prefixTable + string(s) }

// KeyRetired returns the key by which operators declare that a VM has stopped permanently.
func KeyRetired(vm id.VM) string { return prefixRetired + string(vm) }

// DecodeLease decodes a lease record; an item that doesn't exist gives a record without a holder.
func DecodeLease(item store.Item) (r lease.Record, err error) {
	defer func() { err = errors.Wrapf(err, "decode lease record %s", item.Key) }()
	if item.Revision == 0 {
		return lease.Record{Group: id.Group(strings.TrimPrefix(item.Key, prefixLease))}, nil
	}
	err = json.Unmarshal(item.Value, &r)
	r.Revision = item.Revision
	return r, err
}

// Apply sets the state that an item of the store holds; it ignores unknown keys and items that don't exist.
func (d *Directory) Apply(item store.Item) (err error) {
	defer func() { err = errors.Wrapf(err, "apply store item %s", item.Key) }()
	switch {
	case item.Revision == 0:
		return nil
	case item.Key == KeyConfiguration:
		_, err := d.SetConfiguration(item.Revision, item.Value)
		return err
	case strings.HasPrefix(item.Key, prefixLease):
		r, err := DecodeLease(item)
		if err != nil {
			return err
		}
		d.SetLease(r)
	case strings.HasPrefix(item.Key, prefixTable):
		t := &table.Table{}
		if err := json.Unmarshal(item.Value, t); err != nil {
			return err
		}
		d.SetTable(item.Revision, t)
	case strings.HasPrefix(item.Key, prefixRetired):
		d.setRetired(id.VM(strings.TrimPrefix(item.Key, prefixRetired)))
	}
	return nil
}

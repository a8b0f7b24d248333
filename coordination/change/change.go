// Package change applies operators' changes to the configuration in the store.
//
// A change is one compare-and-swap of the whole document, made only after the
// document has been validated for every site. Each change has a unique ID, so
// that a later read can tell whether a write whose response was lost took
// effect. A configuration is added to a bounded history before it is replaced.
//
// # Usage
//
//	repository := change.NewRepository(client)
//	current, err := repository.Current(ctx)
//	accepted, err := repository.Apply(ctx, current, change.Proposal{Document: document, Operator: "noor"})
package change

import (
	"context"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/state/strict"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// Entry is an accepted configuration with its store revision. Revision 0 means that there is no configuration.
type Entry struct {
	Revision id.Revision
	Accepted config.Accepted
}

// Proposal is a configuration that an operator wants to apply.
type Proposal struct {
	Document json.RawMessage
	Operator string
	Note     string
}

// InvalidError means that a proposal failed validation. Nothing was written.
type InvalidError struct{ Problems strict.Problems }

// Error returns a message with a line for each problem.
func (e *InvalidError) Error() string {
	return "the configuration is not valid:\n" + e.Problems.String()
}

// ConflictError means that another operator changed the configuration first. Nothing was written.
type ConflictError struct {
	// Current is the configuration in force.
	Current Entry
	// Theirs is the merge patch from the entry that the proposal was based on to the configuration in force.
	Theirs json.RawMessage
	// Ours is the merge patch from the entry that the proposal was based on to the proposal.
	Ours json.RawMessage
}

// Error returns a message with the other operator's name and both merge patches.
func (e *ConflictError) Error() string {
	a := e.Current.Accepted
	return fmt.Sprintf("%s changed the configuration at the same time (revision %d, change %s).\ntheir change: %s\nyour change:  %s",
		a.Operator, e.Current.Revision, a.Change, e.Theirs, e.Ours)
}

// Repository reads and changes the configuration and its history in the store.
type Repository struct {
	options Options
	store   *platform.Client
}

// NewRepository returns the Repository of a store.
func NewRepository(c *platform.Client, opts ...Option) *Repository {
	return &Repository{options: newOptions(opts), store: c}
}

// Current returns the configuration in force, or an Entry with revision 0 if there is none.
func (r *Repository) Current(ctx context.Context) (e Entry, err error) {
	defer func() { err = errors.Wrap(err, "read the configuration") }()
	item, err := r.store.Get(ctx, directory.KeyConfiguration)
	if err != nil {
		return e, err
	}
	return decodeEntry(item)
}

func decodeEntry(item store.Item) (e Entry, err error) {
	if item.Revision == 0 {
		return e, nil
	}
	e.Revision = item.Revision
	e.Accepted, err = config.DecodeAccepted(item.Value)
	return e, err
}

// Check returns all problems of a document, at all sites.
func Check(document json.RawMessage) (problems strict.Problems) {
	doc, problems := config.Decode(document)
	if len(problems) > 0 {
		return problems
	}
	return doc.Check()
}

// Apply replaces the entry that the proposal is based on by the proposal.
//
// The error is an InvalidError, a ConflictError or an error of the store.
func (r *Repository) Apply(ctx context.Context, from Entry, p Proposal) (accepted Entry, err error) {
	defer func() { err = errors.Wrap(err, "change the configuration") }()
	if problems := Check(p.Document); len(problems) > 0 {
		return accepted, &InvalidError{Problems: problems}
	}
	a := config.Accepted{
		Change:   uuid.NewString(),
		Operator: p.Operator,
		At:       r.options.Clock.Now().UTC(),
		Note:     p.Note,
		Document: p.Document,
	}
	value, err := json.Marshal(a)
	if err != nil {
		return accepted, err
	}
	if len(value) > store.MaxValueBytes {
		return accepted, errors.Newf("the configuration has %d bytes; the store accepts at most %d", len(value), store.MaxValueBytes)
	}
	if err := r.appendHistory(ctx, from); err != nil {
		return accepted, err
	}
	item, err := r.swap(ctx, from.Revision, value)
	if errors.Is(err, platform.ErrConflict) {
		return accepted, r.conflict(ctx, from, p)
	}
	if err != nil {
		return accepted, err
	}
	return Entry{Revision: item.Revision, Accepted: a}, nil
}

// swap writes the configuration by compare-and-swap. If the outcome is unknown after a lost response, it tries again
// up to swapAttempts times.
func (r *Repository) swap(ctx context.Context, expected id.Revision, value []byte) (item store.Item, err error) {
	for range swapAttempts {
		item, err = r.store.SwapAndVerify(ctx, directory.KeyConfiguration, expected, value)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return item, err
		}
		select {
		case <-ctx.Done():
			return item, errors.Wrap(err, "it is unknown whether the change is in force; check with 'hickoryctl config show'")
		case <-r.options.Clock.After(swapRetryDelay):
		}
	}
	return item, errors.Wrap(err, "it is unknown whether the change is in force; check with 'hickoryctl config show'")
}

// conflict returns a ConflictError with the configuration in force and both merge patches.
func (r *Repository) conflict(ctx context.Context, from Entry, p Proposal) error {
	current, err := r.Current(ctx)
	if err != nil {
		return err
	}
	theirs, err := Diff(from.Accepted.Document, current.Accepted.Document)
	if err != nil {
		return err
	}
	ours, err := Diff(from.Accepted.Document, p.Document)
	if err != nil {
		return err
	}
	return &ConflictError{Current: current, Theirs: theirs, Ours: ours}
}

// Diff returns the merge patch that turns one document into another.
func Diff(before, after json.RawMessage) (patch json.RawMessage, err error) {
	if len(before) == 0 {
		before = json.RawMessage("{}")
	}
	patch, err = jsonpatch.CreateMergePatch(before, after)
	return patch, errors.Wrap(err, "compare two configurations")
}

// Patch returns the document with a merge patch applied.
func Patch(document, patch json.RawMessage) (out json.RawMessage, err error) {
	out, err = jsonpatch.MergePatch(document, patch)
	return out, errors.Wrap(err, "apply a merge patch")
}

// Package change accepts operators' changes of the configuration.
//
// A change is one compare-and-swap of the whole document, made only after the
// document has been checked for every site. Its identity settles a write whose
// answer was lost. What is replaced is kept in a bounded history first.
//
// # Usage
//
//	book := change.NewRepository(client)
//	current, err := book.Current(ctx)
//	accepted, err := book.Apply(ctx, current, change.Proposal{Document: document, Operator: "noor"})
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

// Entry is an accepted configuration with its revision; revision 0 stands for none.
type Entry struct {
	Revision id.Revision
	Accepted config.Accepted
}

// Proposal is what an operator wants to be in force.
type Proposal struct {
	Document json.RawMessage
	Operator string
	Note     string
}

// InvalidError lists the mistakes of a proposal; nothing was written.
type InvalidError struct{ Problems strict.Problems }

// Error returns a line for each mistake.
func (e *InvalidError) Error() string {
	return "the configuration is not valid:\n" + e.Problems.String()
}

// ConflictError says that another operator's change came first; nothing was written.
type ConflictError struct {
	// Current is what is in force now.
	Current Entry
	// Theirs is the merge patch by which the other operator changed what the proposal was made from.
	Theirs json.RawMessage
	// Ours is the merge patch that the proposal would have made.
	Ours json.RawMessage
}

// Error names the other operator and both changes.
func (e *ConflictError) Error() string {
	a := e.Current.Accepted
	return fmt.Sprintf("%s changed the configuration at the same time (revision %d, change %s).\ntheir change: %s\nyour change:  %s",
		a.Operator, e.Current.Revision, a.Change, e.Theirs, e.Ours)
}

// Repository reads and changes the configuration in the store.
type Repository struct {
	options Options
	store   *platform.Client
}

// NewRepository returns the book of a store.
func NewRepository(c *platform.Client, opts ...Option) *Repository {
	return &Repository{options: newOptions(opts), store: c}
}

// Current returns what is in force.
func (b *Repository) Current(ctx context.Context) (e Entry, err error) {
	defer func() { err = errors.Wrap(err, "read the configuration") }()
	item, err := b.store.Get(ctx, directory.KeyConfiguration)
	if err != nil {
		return e, err
	}
	return entryOf(item)
}

func entryOf(item store.Item) (e Entry, err error) {
	if item.Revision == 0 {
		return e, nil
	}
	e.Revision = item.Revision
	e.Accepted, err = config.DecodeAccepted(item.Value)
	return e, err
}

// Check returns every mistake of a document, at every site.
func Check(document json.RawMessage) (problems strict.Problems) {
	doc, problems := config.Decode(document)
	if len(problems) > 0 {
		return problems
	}
	return doc.Check()
}

// Apply puts a proposal in the place of the entry that it was made from.
//
// The error is an InvalidError, a ConflictError or one of the store's.
func (b *Repository) Apply(ctx context.Context, from Entry, p Proposal) (accepted Entry, err error) {
	defer func() { err = errors.Wrap(err, "change the configuration") }()
	if problems := Check(p.Document); len(problems) > 0 {
		return accepted, &InvalidError{Problems: problems}
	}
	a := config.Accepted{
		Change:   uuid.NewString(),
		Operator: p.Operator,
		At:       b.options.Clock.Now().UTC(),
		Note:     p.Note,
		Document: p.Document,
	}
	value, err := json.Marshal(a)
	if err != nil {
		return accepted, err
	}
	if len(value) > store.MaxValue {
		return accepted, errors.Newf("the configuration has %d bytes; the store holds up to %d", len(value), store.MaxValue)
	}
	if err := b.remember(ctx, from); err != nil {
		return accepted, err
	}
	item, err := b.swap(ctx, from.Revision, value)
	if errors.Is(err, platform.ErrConflict) {
		return accepted, b.conflict(ctx, from, p)
	}
	if err != nil {
		return accepted, err
	}
	return Entry{Revision: item.Revision, Accepted: a}, nil
}

// swap writes the configuration; an answer that was lost is settled by reading, several times.
func (b *Repository) swap(ctx context.Context, expected id.Revision, value []byte) (item store.Item, err error) {
	for range settleTries {
		item, err = b.store.SwapAndVerify(ctx, directory.KeyConfiguration, expected, value)
		if !errors.Is(err, platform.ErrOutcomeUnknown) {
			return item, err
		}
		select {
		case <-ctx.Done():
			return item, errors.Wrap(err, "whether the change is in force is unknown; look with 'hickoryctl config show'")
		case <-b.options.Clock.After(settlePause):
		}
	}
	return item, errors.Wrap(err, "whether the change is in force is unknown; look with 'hickoryctl config show'")
}

// conflict describes what came first.
func (b *Repository) conflict(ctx context.Context, from Entry, p Proposal) error {
	current, err := b.Current(ctx)
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

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/change"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// storeTime bounds what a command does with the store.
const storeTime = 30 * time.Second

type configCommands struct {
	Check   checkCommand   `cmd:"" help:"Check files, and print every mistake."`
	Show    showCommand    `cmd:"" help:"Show the configuration in force."`
	Diff    diffCommand    `cmd:"" help:"Show what a file would change, as a merge patch."`
	Apply   applyCommand   `cmd:"" help:"Put a file in force."`
	History historyCommand `cmd:"" help:"List the configurations that were replaced."`
	Revert  revertCommand  `cmd:"" help:"Put an earlier configuration in force again, as a new revision."`
}

// book names the store and the operator.
type book struct {
	Store string `help:"Base URL of the platform's store." required:"" env:"HICKORYLUG_STORE"`
	JSON  bool   `help:"Print JSON." name:"json"`
}

func (b book) open() (*change.Repository, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	return change.NewRepository(platform.NewClient(b.Store)), ctx, cancel
}

// writer is what every change has in common.
type writer struct {
	book
	As       string        `help:"Name of the operator; by default, the user's."`
	Note     string        `help:"Why the change is made."`
	Operator string        `help:"Operators' address of an entry VM, for --wait." env:"HICKORYLUG_OPERATOR"`
	Wait     time.Duration `help:"Wait until every entry VM runs the change, at most this long."`
}

func (w writer) proposal(document json.RawMessage) change.Proposal {
	name := w.As
	if name == "" {
		name = "unknown"
		if u, err := user.Current(); err == nil {
			name = u.Username
		}
	}
	return change.Proposal{Document: document, Operator: name, Note: w.Note}
}

// apply puts a document in force and waits for the fleet.
func (w writer) apply(ctx context.Context, b *change.Repository, from change.Entry, document json.RawMessage) error {
	if w.Wait > 0 && w.Operator == "" {
		return errors.New("--wait needs --operator, the address of an entry VM to ask")
	}
	accepted, err := b.Apply(ctx, from, w.proposal(document))
	if err != nil {
		return err
	}
	if w.JSON {
		if err := printJSON(accepted); err != nil {
			return err
		}
	} else {
		fmt.Printf("accepted as revision %d, change %s\n", accepted.Revision, accepted.Accepted.Change)
	}
	if w.Wait > 0 {
		return await(target{Operator: w.Operator}, accepted.Revision, w.Wait)
	}
	return nil
}

// checkCommand checks files.
type checkCommand struct {
	Files []string `arg:"" help:"Files with a configuration." type:"existingfile"`
}

// Run prints every mistake of every file.
func (c *checkCommand) Run() error {
	for _, file := range c.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if problems := change.Check(data); len(problems) > 0 {
			return errors.Wrap(&change.InvalidError{Problems: problems}, file)
		}
		fmt.Printf("%s: valid\n", file)
	}
	return nil
}

// showCommand shows what is in force.
type showCommand struct {
	book
}

// Run prints the configuration.
func (c *showCommand) Run() error {
	b, ctx, cancel := c.open()
	defer cancel()
	e, err := b.Current(ctx)
	if err != nil {
		return err
	}
	if e.Revision == 0 {
		return errors.New("no configuration has been accepted yet")
	}
	if c.JSON {
		return printJSON(e)
	}
	fmt.Fprintf(os.Stderr, "revision %d, change %s, by %s at %s %s\n", e.Revision, e.Accepted.Change, e.Accepted.Operator, e.Accepted.At.Format(time.RFC3339), e.Accepted.Note)
	return printJSON(e.Accepted.Document)
}

// diffCommand compares a file with what is in force.
type diffCommand struct {
	File string `arg:"" help:"File with a configuration." type:"existingfile"`
	book
}

// Run prints the merge patch.
func (c *diffCommand) Run() error {
	b, ctx, cancel := c.open()
	defer cancel()
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if problems := change.Check(document); len(problems) > 0 {
		return errors.Wrap(&change.InvalidError{Problems: problems}, c.File)
	}
	e, err := b.Current(ctx)
	if err != nil {
		return err
	}
	patch, err := change.Diff(e.Accepted.Document, document)
	if err != nil {
		return err
	}
	return printJSON(patch)
}

// applyCommand puts a file in force.
type applyCommand struct {
	File     string       `arg:"" help:"File with a configuration." type:"existingfile"`
	Revision *id.Revision `help:"Revision that the file was made from; a later one is a conflict. By default, the one in force."`
	writer
}

// Run applies the file.
func (c *applyCommand) Run() error {
	b, ctx, cancel := c.open()
	defer cancel()
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	from, err := b.Current(ctx)
	if err != nil {
		return err
	}
	if c.Revision != nil && *c.Revision != from.Revision {
		if from, err = find(ctx, b, *c.Revision); err != nil {
			return err
		}
	}
	return c.apply(ctx, b, from, document)
}

// find returns an entry of the history.
func find(ctx context.Context, b *change.Repository, r id.Revision) (e change.Entry, err error) {
	history, err := b.History(ctx)
	if err != nil {
		return e, err
	}
	for _, e := range history {
		if e.Revision == r {
			return e, nil
		}
	}
	return e, errors.Newf("revision %d is not in the history; 'hickoryctl config history' lists it", r)
}

// historyCommand lists what was replaced.
type historyCommand struct {
	book
}

// Run prints the history.
func (c *historyCommand) Run() error {
	b, ctx, cancel := c.open()
	defer cancel()
	history, err := b.History(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(history)
	}
	for _, e := range history {
		fmt.Printf("%d\t%s\t%s\t%s\t%s\n", e.Revision, e.Accepted.At.Format(time.RFC3339), e.Accepted.Operator, e.Accepted.Change, e.Accepted.Note)
	}
	return nil
}

// revertCommand puts an earlier configuration in force again.
type revertCommand struct {
	Revision id.Revision `arg:"" help:"Revision from the history."`
	writer
}

// Run applies the earlier configuration.
func (c *revertCommand) Run() error {
	b, ctx, cancel := c.open()
	defer cancel()
	earlier, err := find(ctx, b, c.Revision)
	if err != nil {
		return err
	}
	from, err := b.Current(ctx)
	if err != nil {
		return err
	}
	if c.Note == "" {
		c.Note = fmt.Sprintf("revert to revision %d", c.Revision)
	}
	return c.apply(ctx, b, from, earlier.Accepted.Document)
}

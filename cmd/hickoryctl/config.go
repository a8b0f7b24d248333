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

// storeTimeout bounds the time of all store calls of one command.
const storeTimeout = 30 * time.Second

type configCommands struct {
	Check   checkCommand   `cmd:"" help:"Validate configuration files in order, and print all errors of the first invalid file."`
	Show    showCommand    `cmd:"" help:"Show the current configuration."`
	Diff    diffCommand    `cmd:"" help:"Show the changes that a file would make, as a JSON merge patch."`
	Apply   applyCommand   `cmd:"" help:"Apply a configuration file."`
	History historyCommand `cmd:"" help:"List the previous configurations."`
	Revert  revertCommand  `cmd:"" help:"Apply a previous configuration again, as a new revision."`
}

// storeFlags are the flags of every command that accesses the store.
type storeFlags struct {
	Store string `help:"Base URL of the platform's store." required:"" env:"HICKORYLUG_STORE"`
	JSON  bool   `help:"Print JSON." name:"json"`
}

// openRepository returns the configuration repository in the store and a context that ends after storeTimeout.
func (f storeFlags) openRepository() (*change.Repository, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	return change.NewRepository(platform.NewClient(f.Store)), ctx, cancel
}

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	storeFlags
	As       string        `help:"Operator name for the history; defaults to the current user."`
	Note     string        `help:"Reason for the change, for the history."`
	Operator string        `help:"Address of an entry VM's operator endpoint, for --wait." env:"HICKORYLUG_OPERATOR"`
	Wait     time.Duration `help:"Wait up to this long until the change is in force at every entry VM."`
}

// newProposal returns a proposal to accept a document. Its operator is that of --as, else the current user, else "unknown".
func (f changeFlags) newProposal(document json.RawMessage) change.Proposal {
	operator := f.As
	if operator == "" {
		operator = "unknown"
		if u, err := user.Current(); err == nil {
			operator = u.Username
		}
	}
	return change.Proposal{Document: document, Operator: operator, Note: f.Note}
}

// apply replaces the base entry with a document. With --wait, it waits until the change is in force at every entry VM.
func (f changeFlags) apply(ctx context.Context, repository *change.Repository, base change.Entry, document json.RawMessage) error {
	if f.Wait > 0 && f.Operator == "" {
		return errors.New("--wait requires --operator, the address of an entry VM's operator endpoint")
	}
	accepted, err := repository.Apply(ctx, base, f.newProposal(document))
	if err != nil {
		return err
	}
	if f.JSON {
		if err := printJSON(accepted); err != nil {
			return err
		}
	} else {
		fmt.Printf("accepted as revision %d, change %s\n", accepted.Revision, accepted.Accepted.Change)
	}
	if f.Wait > 0 {
		return awaitRevision(operatorFlags{Operator: f.Operator}, accepted.Revision, f.Wait)
	}
	return nil
}

// checkCommand validates configuration files.
type checkCommand struct {
	Files []string `arg:"" help:"Configuration files." type:"existingfile"`
}

// Run validates the files in order, up to the first invalid one; the error lists all problems of that file.
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

// showCommand shows the current configuration.
type showCommand struct {
	storeFlags
}

// Run prints the configuration. Without --json, its metadata goes to standard error.
func (c *showCommand) Run() error {
	repository, ctx, cancel := c.openRepository()
	defer cancel()
	e, err := repository.Current(ctx)
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

// diffCommand compares a file with the current configuration.
type diffCommand struct {
	File string `arg:"" help:"Configuration file." type:"existingfile"`
	storeFlags
}

// Run prints the merge patch.
func (c *diffCommand) Run() error {
	repository, ctx, cancel := c.openRepository()
	defer cancel()
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	if problems := change.Check(document); len(problems) > 0 {
		return errors.Wrap(&change.InvalidError{Problems: problems}, c.File)
	}
	e, err := repository.Current(ctx)
	if err != nil {
		return err
	}
	patch, err := change.Diff(e.Accepted.Document, document)
	if err != nil {
		return err
	}
	return printJSON(patch)
}

// applyCommand applies a configuration file.
type applyCommand struct {
	File     string       `arg:"" help:"Configuration file." type:"existingfile"`
	Revision *id.Revision `help:"Revision that the file is based on; a later change by another operator is a conflict. Defaults to the current revision."`
	changeFlags
}

// Run applies the file.
func (c *applyCommand) Run() error {
	repository, ctx, cancel := c.openRepository()
	defer cancel()
	document, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	base, err := repository.Current(ctx)
	if err != nil {
		return err
	}
	if c.Revision != nil && *c.Revision != base.Revision {
		if base, err = findRevision(ctx, repository, *c.Revision); err != nil {
			return err
		}
	}
	return c.apply(ctx, repository, base, document)
}

// findRevision returns the entry of the history with the given revision.
func findRevision(ctx context.Context, repository *change.Repository, revision id.Revision) (e change.Entry, err error) {
	history, err := repository.History(ctx)
	if err != nil {
		return e, err
	}
	for _, e := range history {
		if e.Revision == revision {
			return e, nil
		}
	}
	return e, errors.Newf("revision %d is not in the history; 'hickoryctl config history' lists it", revision)
}

// historyCommand lists the previous configurations.
type historyCommand struct {
	storeFlags
}

// Run prints the history.
func (c *historyCommand) Run() error {
	repository, ctx, cancel := c.openRepository()
	defer cancel()
	history, err := repository.History(ctx)
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

// revertCommand applies a previous configuration again, as a new revision.
type revertCommand struct {
	Revision id.Revision `arg:"" help:"Revision from the history."`
	changeFlags
}

// Run applies the previous configuration.
func (c *revertCommand) Run() error {
	repository, ctx, cancel := c.openRepository()
	defer cancel()
	earlier, err := findRevision(ctx, repository, c.Revision)
	if err != nil {
		return err
	}
	base, err := repository.Current(ctx)
	if err != nil {
		return err
	}
	if c.Note == "" {
		c.Note = fmt.Sprintf("revert to revision %d", c.Revision)
	}
	return c.apply(ctx, repository, base, earlier.Accepted.Document)
}

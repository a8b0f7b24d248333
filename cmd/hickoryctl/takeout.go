package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/coordination/change"
	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/state/config"
	"github.com/hickorylug/hickorylug/state/id"
	"github.com/hickorylug/hickorylug/transport/platform"
)

// patchTries is the number of tries against other operators' changes of other fields.
const patchTries = 5

type domainCommands struct {
	Out domainOutCommand `cmd:"" help:"Take a failure domain out: its backend servers get no new work."`
	In  domainInCommand  `cmd:"" help:"Bring a failure domain back."`
}

type serverCommands struct {
	Out serverOutCommand `cmd:"" help:"Take a backend server out: it gets no new work."`
	In  serverInCommand  `cmd:"" help:"Bring a backend server back."`
}

type vmCommands struct {
	Retire retireCommand `cmd:"" help:"State that an entry VM has stopped for good, so that leases needn't wait for it."`
}

// place names where a change is made.
type place struct {
	Site string `help:"Make the change in this site's overlay instead of the base."`
	writer
}

// patch makes a change of single fields, again where another operator was faster with another change.
func (p place) patch(fields any, known func(config.Site) error) error {
	b, ctx, cancel := p.open()
	defer cancel()
	wrapped := map[string]any{"Base": fields}
	if p.Site != "" {
		wrapped = map[string]any{"Overlays": map[string]any{p.Site: fields}}
	}
	patch, err := json.Marshal(wrapped)
	if err != nil {
		return err
	}
	for try := 1; ; try++ {
		err := p.patchOnce(ctx, b, patch, known)
		var conflict *change.ConflictError
		if !errors.As(err, &conflict) || try == patchTries {
			return err
		}
	}
}

func (p place) patchOnce(ctx context.Context, b *change.Repository, patch json.RawMessage, known func(config.Site) error) error {
	from, err := b.Current(ctx)
	if err != nil {
		return err
	}
	if from.Revision == 0 {
		return errors.New("no configuration has been accepted yet")
	}
	doc, problems := config.Decode(from.Accepted.Document)
	if err := problems.Err(); err != nil {
		return err
	}
	// What is wrong elsewhere in the site is for Apply to judge.
	site, _ := doc.Site(id.Site(p.Site))
	if err := known(site); err != nil {
		return err
	}
	document, err := change.Patch(from.Accepted.Document, patch)
	if err != nil {
		return err
	}
	return p.apply(ctx, b, from, document)
}

func (p place) domain(name string, out bool) error {
	fields := map[string]any{"FailureDomains": map[string]any{name: map[string]any{"Out": out}}}
	return p.patch(fields, func(s config.Site) error {
		if _, ok := s.FailureDomains[id.Domain(name)]; !ok {
			return errors.Newf("no failure domain %q", name)
		}
		return nil
	})
}

func (p place) server(service, name string, out bool) error {
	fields := map[string]any{"Services": map[string]any{service: map[string]any{"Servers": map[string]any{name: map[string]any{"Out": out}}}}}
	return p.patch(fields, func(s config.Site) error {
		if _, ok := s.Services[id.Service(service)].Servers[id.Server(name)]; !ok {
			return errors.Newf("service %q has no backend server %q", service, name)
		}
		return nil
	})
}

type domainOutCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	place
}

// Run takes the failure domain out.
func (c *domainOutCommand) Run() error { return c.domain(c.Domain, true) }

type domainInCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	place
}

// Run brings the failure domain back.
func (c *domainInCommand) Run() error { return c.domain(c.Domain, false) }

type serverOutCommand struct {
	Service string `arg:"" help:"Service of the backend server."`
	Server  string `arg:"" help:"Backend server."`
	place
}

// Run takes the backend server out.
func (c *serverOutCommand) Run() error { return c.server(c.Service, c.Server, true) }

type serverInCommand struct {
	Service string `arg:"" help:"Service of the backend server."`
	Server  string `arg:"" help:"Backend server."`
	place
}

// Run brings the backend server back.
func (c *serverInCommand) Run() error { return c.server(c.Service, c.Server, false) }

// retireCommand states that an entry VM has stopped for good.
type retireCommand struct {
	VM string `arg:"" name:"vm" help:"Entry VM; its name must never be used again."`
	book
}

// Run writes the statement to the store.
func (c *retireCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTime)
	defer cancel()
	_, err := platform.NewClient(c.Store).SwapAndVerify(ctx, directory.KeyRetired(id.VM(c.VM)), 0, []byte(c.VM))
	if errors.Is(err, platform.ErrConflict) {
		fmt.Printf("VM %s was retired before\n", c.VM)
		return nil
	}
	return err
}

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

// maxPatchAttempts bounds the attempts of a patch that conflicts with concurrent changes of other operators.
const maxPatchAttempts = 5

type domainCommands struct {
	Out domainOutCommand `cmd:"" help:"Take a failure domain out of service: its backend servers get no new requests."`
	In  domainInCommand  `cmd:"" help:"Bring a failure domain back into service."`
}

type serverCommands struct {
	Out serverOutCommand `cmd:"" help:"Take a backend server out of service: it gets no new requests."`
	In  serverInCommand  `cmd:"" help:"Bring a backend server back into service."`
}

type vmCommands struct {
	Retire retireCommand `cmd:"" help:"Declare that an entry VM has stopped permanently, so that lease failover does not wait for it."`
}

// patchFlags are the flags of commands that change single fields of the configuration.
type patchFlags struct {
	Site string `help:"Change the overlay of this site instead of the base."`
	changeFlags
}

// patch changes single fields of the configuration, and retries if another operator changed it at the same time.
//
// checkTarget returns an error if the target of the change does not exist at the site.
func (f patchFlags) patch(fields any, checkTarget func(config.Site) error) error {
	repository, ctx, cancel := f.openRepository()
	defer cancel()
	wrapped := map[string]any{"Base": fields}
	if f.Site != "" {
		wrapped = map[string]any{"Overlays": map[string]any{f.Site: fields}}
	}
	patch, err := json.Marshal(wrapped)
	if err != nil {
		return err
	}
	for attempt := 1; ; attempt++ {
		err := f.tryPatch(ctx, repository, patch, checkTarget)
		var conflict *change.ConflictError
		if !errors.As(err, &conflict) || attempt == maxPatchAttempts {
			return err
		}
	}
}

// tryPatch applies a merge patch to the current configuration once.
func (f patchFlags) tryPatch(ctx context.Context, repository *change.Repository, patch json.RawMessage, checkTarget func(config.Site) error) error {
	base, err := repository.Current(ctx)
	if err != nil {
		return err
	}
	if base.Revision == 0 {
		return errors.New("no configuration has been accepted yet")
	}
	doc, problems := config.Decode(base.Accepted.Document)
	if err := problems.Err(); err != nil {
		return err
	}
	// Errors elsewhere in the site are ignored here, because Apply validates the whole document.
	site, _ := doc.Site(id.Site(f.Site))
	if err := checkTarget(site); err != nil {
		return err
	}
	document, err := change.Patch(base.Accepted.Document, patch)
	if err != nil {
		return err
	}
	return f.apply(ctx, repository, base, document)
}

// setDomainOut sets the Out field of a failure domain.
func (f patchFlags) setDomainOut(name string, out bool) error {
	fields := map[string]any{"FailureDomains": map[string]any{name: map[string]any{"Out": out}}}
	return f.patch(fields, func(s config.Site) error {
		if _, ok := s.FailureDomains[id.Domain(name)]; !ok {
			return errors.Newf("no failure domain %q", name)
		}
		return nil
	})
}

// setServerOut sets the Out field of a backend server.
func (f patchFlags) setServerOut(service, name string, out bool) error {
	fields := map[string]any{"Services": map[string]any{service: map[string]any{"Servers": map[string]any{name: map[string]any{"Out": out}}}}}
	return f.patch(fields, func(s config.Site) error {
		if _, ok := s.Services[id.Service(service)].Servers[id.Server(name)]; !ok {
			return errors.Newf("service %q has no backend server %q", service, name)
		}
		return nil
	})
}

type domainOutCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	patchFlags
}

// Run takes the failure domain out of service.
func (c *domainOutCommand) Run() error { return c.setDomainOut(c.Domain, true) }

type domainInCommand struct {
	Domain string `arg:"" help:"Failure domain."`
	patchFlags
}

// Run brings the failure domain back into service.
func (c *domainInCommand) Run() error { return c.setDomainOut(c.Domain, false) }

type serverOutCommand struct {
	Service string `arg:"" help:"Service of the backend server."`
	Server  string `arg:"" help:"Backend server."`
	patchFlags
}

// Run takes the backend server out of service.
func (c *serverOutCommand) Run() error { return c.setServerOut(c.Service, c.Server, true) }

type serverInCommand struct {
	Service string `arg:"" help:"Service of the backend server."`
	Server  string `arg:"" help:"Backend server."`
	patchFlags
}

// Run brings the backend server back into service.
func (c *serverInCommand) Run() error { return c.setServerOut(c.Service, c.Server, false) }

// retireCommand declares that an entry VM has stopped permanently.
type retireCommand struct {
	VM string `arg:"" name:"vm" help:"Name of the entry VM; it must never be used again."`
	storeFlags
}

// Run marks the entry VM as retired in the store. It succeeds if the VM is already retired.
func (c *retireCommand) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, err := platform.NewClient(c.Store).SwapAndVerify(ctx, directory.KeyRetired(id.VM(c.VM)), 0, []byte(c.VM))
	if errors.Is(err, platform.ErrConflict) {
		fmt.Printf("VM %s is already retired\n", c.VM)
		return nil
	}
	return err
}

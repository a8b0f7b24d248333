package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/standin/backend"
	"github.com/hickorylug/hickorylug/standin/platform"
	"github.com/hickorylug/hickorylug/state/id"
)

// platformCommand runs the platform's stand-in as a process of its own.
type platformCommand struct {
	Address string        `help:"Where to listen." default:"127.0.0.1:7000"`
	Reads   int           `help:"Reads per second that the store takes." default:"2000"`
	Writes  int           `help:"Writes per second that the store takes." default:"400"`
	Lag     time.Duration `help:"Lag of the list of VMs." default:"2s"`
	VM      []string      `help:"Entry VM on the list, as NAME/FAILURE-DOMAIN/PEER-ADDRESS; may be repeated." name:"vm"`
}

// list puts the named entry VMs on the platform's list.
func (c *platformCommand) list(p *platform.Platform) error {
	for _, text := range c.VM {
		parts := strings.Split(text, "/")
		if len(parts) != 3 {
			return errors.Newf("--vm: %q is not NAME/FAILURE-DOMAIN/PEER-ADDRESS", text)
		}
		p.AddVM(store.VM{Name: id.VM(parts[0]), FailureDomain: id.Domain(parts[1]), PeerAddress: parts[2], State: store.VMLive})
	}
	return nil
}

// Run serves until a signal comes.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := platform.NewPlatform(platform.WithRates(c.Reads, c.Writes), platform.WithListLag(c.Lag))
	if err := c.list(p); err != nil {
		return err
	}
	server := &http.Server{Addr: c.Address, Handler: p, ReadHeaderTimeout: time.Second}
	done := make(chan error, 1)
	go func() { done <- server.ListenAndServe() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}
}

// backendCommand runs one backend server's stand-in as a process of its own.
type backendCommand struct {
	Name        string        `help:"Name of the backend server." required:""`
	Service     string        `help:"Service that it belongs to." required:""`
	Domain      string        `help:"Failure domain that it is in." default:"a"`
	Address     string        `help:"Where to listen." required:""`
	Fenced      bool          `help:"Check the fence of each request."`
	Connections int           `help:"Connections that it accepts." default:"55"`
	WorkTime    time.Duration `help:"Mean time of a request." default:"5ms"`
}

// Run serves until a signal comes; SIGTERM drains first. The journal goes to standard output.
func (c *backendCommand) Run() error {
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	journal := backend.NewJournal(func(entry any) {
		mu.Lock()
		defer mu.Unlock()
		// Nobody reads the journal where this fails.
		_ = encoder.Encode(entry)
	})
	s := backend.NewServer(id.Server(c.Name), journal,
		backend.WithService(id.Service(c.Service), id.Domain(c.Domain)), backend.WithFenced(c.Fenced),
		backend.WithConnections(c.Connections), backend.WithServiceTime(c.WorkTime))
	if _, err := s.Start(c.Address); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	s.Drain()
	time.Sleep(drainTime)
	s.Kill()
	return nil
}

// drainTime is the time that a backend server has to finish what it runs.
const drainTime = 3 * time.Second

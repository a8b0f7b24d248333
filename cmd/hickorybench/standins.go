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

// platformCommand runs the stand-in for the platform as a separate process.
type platformCommand struct {
	Address string        `help:"Listen address." default:"127.0.0.1:7000"`
	Reads   int           `help:"Rate limit of the store, in reads per second." default:"2000"`
	Writes  int           `help:"Rate limit of the store, in writes per second." default:"400"`
	Lag     time.Duration `help:"Time until a change of the VM list becomes visible." default:"2s"`
	VM      []string      `help:"Entry VM on the list, as NAME/FAILURE-DOMAIN/PEER-ADDRESS; may be repeated." name:"vm"`
}

// addVMs adds the entry VMs of the --vm flags to the platform's VM list.
func (c *platformCommand) addVMs(p *platform.Platform) error {
	for _, text := range c.VM {
		parts := strings.Split(text, "/")
		if len(parts) != 3 {
			return errors.Newf("--vm: %q is not NAME/FAILURE-DOMAIN/PEER-ADDRESS", text)
		}
		p.AddVM(store.VM{Name: id.VM(parts[0]), FailureDomain: id.Domain(parts[1]), PeerAddress: parts[2], State: store.VMLive})
	}
	return nil
}

// Run serves until the process receives SIGINT or SIGTERM.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := platform.NewPlatform(platform.WithRates(c.Reads, c.Writes), platform.WithListLag(c.Lag))
	if err := c.addVMs(p); err != nil {
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

// backendCommand runs the stand-in for one backend server as a separate process.
type backendCommand struct {
	Name        string        `help:"Name of the backend server." required:""`
	Service     string        `help:"Service that it belongs to." required:""`
	Domain      string        `help:"Failure domain that it is in." default:"a"`
	Address     string        `help:"Listen address." required:""`
	Fenced      bool          `help:"Check the fencing token of each request."`
	Connections int           `help:"Maximum number of connections." default:"55"`
	WorkTime    time.Duration `help:"Mean service time of a request." default:"5ms"`
}

// Run serves until the process receives SIGINT or SIGTERM, then drains for drainPeriod and exits.
//
// It writes the journal to standard output.
func (c *backendCommand) Run() error {
	var mu sync.Mutex
	encoder := json.NewEncoder(os.Stdout)
	journal := backend.NewJournal(func(entry any) {
		mu.Lock()
		defer mu.Unlock()
		// Encoding fails only if standard output is closed; then nothing reads the journal.
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
	time.Sleep(drainPeriod)
	s.Kill()
	return nil
}

// drainPeriod is the time that a draining backend server has to finish its requests in flight.
const drainPeriod = 3 * time.Second

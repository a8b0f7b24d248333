package hickorylug

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/coordination/directory"
	"github.com/hickorylug/hickorylug/protocol/peerpb"
	"github.com/hickorylug/hickorylug/state/id"
)

// Times of following the store.
const (
	watchWait    = 10 * time.Second
	backoffFirst = 200 * time.Millisecond
	backoffLast  = 5 * time.Second
	// verifyPeriod is the time between two reads of the configuration beside the watch, which may be stuck.
	verifyPeriod = 5 * time.Second
	// listPeriod is the time between two reads of the platform's list of VMs.
	listPeriod = 10 * time.Second
	// listPeriodEach is the part of that time for each VM on the list.
	listPeriodEach = time.Second
	// listFirst is that time while no other VM is known.
	listFirst = 500 * time.Millisecond
)

// watcher keeps the directory up to date from the store and, where it is out, from other VMs.
type watcher struct {
	vm *VM

	mu       sync.Mutex
	revision id.Revision
	complete bool
	fetching bool
}

func newWatcher(vm *VM) *watcher { return &watcher{vm: vm} }

// synced reports whether the store has been read whole since the start.
func (w *watcher) synced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.complete
}

// run follows the store until the context ends.
func (w *watcher) run(ctx context.Context) error {
	w.vm.tasks.Go(ctx, w.verify)
	backoff := backoffFirst
	for ctx.Err() == nil {
		wait := watchWait
		if !w.synced() {
			wait = 0
		}
		w.mu.Lock()
		after := w.revision
		w.mu.Unlock()
		changes, err := w.vm.platform.Watch(ctx, directory.Prefix, after, wait)
		if err != nil {
			w.complain(ctx, backoff, err)
			w.vm.fetchFromAny(ctx)
			w.pause(ctx, backoff)
			backoff = min(2*backoff, backoffLast)
			continue
		}
		backoff = backoffFirst
		for _, item := range changes.Items {
			if err := w.vm.directory.Apply(item); err != nil {
				w.vm.log.Error("an item of the store can't be used", "key", item.Key, "error", err)
			}
		}
		w.advance(changes.Revision)
	}
	return nil
}

// complain logs the first failure in a row where operators see it, later ones for debugging only.
func (w *watcher) complain(ctx context.Context, backoff time.Duration, err error) {
	level := slog.LevelDebug
	if backoff == backoffFirst && ctx.Err() == nil {
		level = slog.LevelWarn
	}
	w.vm.log.Log(ctx, level, "the store does not answer; asking other VMs", "store", w.vm.options.Settings.Store, "error", err)
}

func (w *watcher) advance(r id.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision, w.complete = max(w.revision, r), true
}

// pause waits about d; the spread keeps a fleet from coming back all at once.
func (w *watcher) pause(ctx context.Context, d time.Duration) {
	d = d/2 + rand.N(d)
	select {
	case <-ctx.Done():
	case <-w.vm.options.Clock.After(d):
	}
}

// verify reads the configuration itself now and then, because a watch can be stuck without an error.
func (w *watcher) verify(ctx context.Context) {
	for ctx.Err() == nil {
		w.pause(ctx, verifyPeriod)
		changes, err := w.vm.platform.Watch(ctx, directory.KeyConfiguration, w.vm.directory.View().Revision, 0)
		if err != nil {
			w.vm.log.Debug("the configuration can't be verified", "error", err)
			continue
		}
		for _, item := range changes.Items {
			if err := w.vm.directory.Apply(item); err != nil {
				w.vm.log.Error("an item of the store can't be used", "key", item.Key, "error", err)
			}
		}
	}
}

// listMembers follows the platform's list of VMs until the context ends.
func (w *watcher) listMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := w.vm.platform.VMs(ctx)
		if err == nil {
			w.vm.members.UpdateList(w.vm.options.Clock.Boot(), list)
			w.vm.platform.SetClientCount(len(list))
		}
		// The list grows with the fleet, so a large one is read more rarely; heartbeats tell what is new.
		period := max(listPeriod, time.Duration(len(list))*listPeriodEach)
		if len(w.vm.members.Live(w.vm.options.Clock.Boot())) < 2 {
			period = listFirst
		}
		w.pause(ctx, period)
	}
	return nil
}

// fetchFrom asks a VM for what it knows and this one doesn't.
func (vm *VM) fetchFrom(ctx context.Context, peer id.VM) {
	w := vm.watcher
	w.mu.Lock()
	busy := w.fetching
	w.fetching = true
	w.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		w.mu.Lock()
		w.fetching = false
		w.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTime)
	defer cancel()
	p, err := vm.client.Peer(peer)
	if err != nil {
		return
	}
	state, err := p.Fetch(ctx, vm.have())
	if err != nil {
		vm.log.Debug("a VM did not give its state", "from", peer, "error", err)
		return
	}
	vm.takeState(ctx, state)
}

// fetchTime bounds one exchange of state with another VM.
const fetchTime = 2 * time.Second

// fetchFromAny asks one VM after another, a single one each time.
func (vm *VM) fetchFromAny(ctx context.Context) {
	for _, m := range vm.members.NextHeartbeatPeers(1) {
		vm.fetchFrom(ctx, m.VM)
	}
}

// have returns the numbers of the state that this VM has.
func (vm *VM) have() *peerpb.Have {
	view := vm.directory.View()
	h := &peerpb.Have{
		ConfigurationRevision: uint64(view.Revision),
		LeaseTerms:            map[string]uint64{},
		TableVersions:         map[string]uint64{},
	}
	for g, r := range view.Leases {
		h.LeaseTerms[string(g)] = uint64(r.Term)
	}
	for s, t := range view.Tables {
		h.TableVersions[string(s)] = uint64(t.Version)
	}
	return h
}

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

const (
	// watchPollTimeout is the maximum duration of one long poll of the store.
	watchPollTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff after failed watches.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// verifyPeriod is the interval between two reads of the configuration in addition to the watch, which can get stuck.
	verifyPeriod = 5 * time.Second
	// listPeriod is the minimum interval between two reads of the platform's VM list.
	listPeriod = 10 * time.Second
	// listPeriodPerVM is the minimum interval for each VM on the list, so that reads of a long list are less frequent.
	listPeriodPerVM = time.Second
	// initialListPeriod is the interval while no other VM is known.
	initialListPeriod = 500 * time.Millisecond
)

// watcher keeps the directory up to date from the store or, while the store is unreachable, from other VMs.
type watcher struct {
	vm *VM

	mu sync.Mutex
	// revision is the last revision of the store that was applied.
	revision        id.Revision
	initialReadDone bool
	isFetching      bool
}

func newWatcher(vm *VM) *watcher { return &watcher{vm: vm} }

// isSynced reports whether the store has been read completely since the start.
func (w *watcher) isSynced() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.initialReadDone
}

// run applies store updates until ctx is done.
func (w *watcher) run(ctx context.Context) error {
	w.vm.tasks.Go(ctx, w.verifyConfiguration)
	backoff := minBackoff
	for ctx.Err() == nil {
		wait := watchPollTimeout
		if !w.isSynced() {
			wait = 0
		}
		w.mu.Lock()
		after := w.revision
		w.mu.Unlock()
		changes, err := w.vm.platform.Watch(ctx, directory.Prefix, after, wait)
		if err != nil {
			w.logFailure(ctx, backoff, err)
			w.vm.fetchStateFromNextPeer(ctx)
			w.sleepJittered(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		for _, item := range changes.Items {
			if err := w.vm.directory.Apply(item); err != nil {
				w.vm.log.Error("invalid item in the store", "key", item.Key, "error", err)
			}
		}
		w.advance(changes.Revision)
	}
	return nil
}

// logFailure logs the first of consecutive failures as a warning and later ones at debug level.
func (w *watcher) logFailure(ctx context.Context, backoff time.Duration, err error) {
	level := slog.LevelDebug
	if backoff == minBackoff && ctx.Err() == nil {
		level = slog.LevelWarn
	}
	w.vm.log.Log(ctx, level, "store unreachable; fetching state from another VM", "store", w.vm.options.Settings.Store, "error", err)
}

// advance records that the store was applied up to a revision.
func (w *watcher) advance(r id.Revision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.revision, w.initialReadDone = max(w.revision, r), true
}

// sleepJittered waits between 0.5 and 1.5 times d. Without the jitter, all VMs would call the store at the same time
// after an outage.
func (w *watcher) sleepJittered(ctx context.Context, d time.Duration) {
	d = d/2 + rand.N(d)
	select {
	case <-ctx.Done():
	case <-w.vm.options.Clock.After(d):
	}
}

// verifyConfiguration periodically reads the configuration, because a watch can get stuck without an error.
func (w *watcher) verifyConfiguration(ctx context.Context) {
	for ctx.Err() == nil {
		w.sleepJittered(ctx, verifyPeriod)
		changes, err := w.vm.platform.Watch(ctx, directory.KeyConfiguration, w.vm.directory.View().Revision, 0)
		if err != nil {
			w.vm.log.Debug("failed to verify the configuration", "error", err)
			continue
		}
		for _, item := range changes.Items {
			if err := w.vm.directory.Apply(item); err != nil {
				w.vm.log.Error("invalid item in the store", "key", item.Key, "error", err)
			}
		}
	}
}

// listMembers periodically reads the platform's VM list until ctx is done.
func (w *watcher) listMembers(ctx context.Context) error {
	for ctx.Err() == nil {
		list, err := w.vm.platform.VMs(ctx)
		if err == nil {
			w.vm.members.UpdateList(w.vm.options.Clock.Boot(), list)
			w.vm.platform.SetClientCount(len(list))
		}
		// The size of the list grows with the fleet, so a long list is read less often. Heartbeats announce new VMs in between.
		period := max(listPeriod, time.Duration(len(list))*listPeriodPerVM)
		if len(w.vm.members.Live(w.vm.options.Clock.Boot())) < 2 {
			period = initialListPeriod
		}
		w.sleepJittered(ctx, period)
	}
	return nil
}

// fetchStateFrom fetches the state that is newer than this VM's from another VM. Only one fetch runs at a time.
func (vm *VM) fetchStateFrom(ctx context.Context, peer id.VM) {
	w := vm.watcher
	w.mu.Lock()
	alreadyFetching := w.isFetching
	w.isFetching = true
	w.mu.Unlock()
	if alreadyFetching {
		return
	}
	defer func() {
		w.mu.Lock()
		w.isFetching = false
		w.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	p, err := vm.client.Peer(peer)
	if err != nil {
		return
	}
	state, err := p.Fetch(ctx, vm.knownVersions())
	if err != nil {
		vm.log.Debug("failed to fetch state from a VM", "from", peer, "error", err)
		return
	}
	vm.applyState(ctx, state)
}

// fetchTimeout bounds one fetch of state from another VM.
const fetchTimeout = 2 * time.Second

// fetchStateFromNextPeer fetches state from one other VM, the next one in turn at each call.
func (vm *VM) fetchStateFromNextPeer(ctx context.Context) {
	for _, m := range vm.members.NextHeartbeatPeers(1) {
		vm.fetchStateFrom(ctx, m.VM)
	}
}

// knownVersions returns the configuration revision, lease terms and table versions that this VM has.
func (vm *VM) knownVersions() *peerpb.Have {
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

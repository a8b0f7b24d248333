// Package platform implements a stand-in for the platform's key-value store and list of VMs, for tests and
// demonstrations.
//
// It keeps everything in memory. A test can inject outages, delays, lost
// responses and stalled watches, and the list of VMs lags behind its changes.
//
// # Usage
//
//	p := platform.NewPlatform()
//	server := httptest.NewServer(p)
//	p.SetOutage(true)
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hickorylug/hickorylug/protocol/store"
	"github.com/hickorylug/hickorylug/state/id"
)

// maxRequest is the maximum size of a request body in bytes: a value with the overhead of its encoding.
const maxRequest = 2 * store.MaxValueBytes

// vmEntry is a VM on the list with the period in which the list shows it.
type vmEntry struct {
	vm        store.VM
	visibleAt time.Time
	// hiddenAt is the time at which a removed VM disappears from the list, or zero.
	hiddenAt time.Time
}

// Platform is the stand-in. It is safe for concurrent use.
type Platform struct {
	options Options
	mux     *http.ServeMux
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu       sync.Mutex
	revision id.Revision
	items    map[string]store.Item
	expiries map[string]time.Time
	changed  chan struct{}
	vms      map[id.VM]vmEntry
	faults   Faults
	counts   Counts
}

// Faults describe the faults injected into the platform. The zero value injects none.
type Faults struct {
	// Outage fails every call with status 503.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LostResponses is the number of subsequent writes that take effect but get no successful response.
	LostResponses int
	// WriteDelay delays the effect of a write whose response is lost.
	WriteDelay time.Duration
	// StalledWatches makes watches time out without returning a change; a watch with no wait time is a plain read and works.
	StalledWatches bool
}

// Counts are the numbers of calls since the start.
type Counts struct {
	Reads       int
	Writes      int
	Watches     int
	RateLimited int
}

// NewPlatform returns a platform without items and VMs.
func NewPlatform(opts ...Option) *Platform {
	o := newOptions(opts)
	p := &Platform{
		options:  o,
		mux:      http.NewServeMux(),
		reads:    rate.NewLimiter(rate.Limit(o.Reads), o.Reads),
		writes:   rate.NewLimiter(rate.Limit(o.Writes), o.Writes),
		items:    map[string]store.Item{},
		expiries: map[string]time.Time{},
		changed:  make(chan struct{}),
		vms:      map[id.VM]vmEntry{},
	}
	p.mux.HandleFunc("GET "+store.PathKeys+"{key...}", p.get)
	p.mux.HandleFunc("PUT "+store.PathKeys+"{key...}", p.put)
	p.mux.HandleFunc("GET "+store.PathWatch, p.watch)
	p.mux.HandleFunc("GET "+store.PathVMs, p.listVMs)
	p.mux.HandleFunc("PUT "+store.PathVMs, p.registerVM)
	return p
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetOutage starts or ends an outage and leaves the other faults unchanged.
func (p *Platform) SetOutage(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Outage = out
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Item returns the stored item of a key, or the zero Item if there is none.
func (p *Platform) Item(key string) store.Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.items[key]
}

// AddVM adds a VM to the list, where it becomes visible after the lag.
func (p *Platform) AddVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = vmEntry{vm: vm, visibleAt: time.Now().Add(p.options.ListLag)}
}

// RemoveVM removes a VM from the list, where it stays visible during the lag.
func (p *Platform) RemoveVM(name id.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.vms[name]; ok {
		l.hiddenAt = time.Now().Add(p.options.ListLag)
		p.vms[name] = l
	}
}

// ServeHTTP handles one API call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Outage {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	limiter := p.reads
	if r.Method == http.MethodPut {
		limiter = p.writes
	}
	if !limiter.Allow() {
		p.mu.Lock()
		p.counts.RateLimited++
		p.mu.Unlock()
		http.Error(w, "rate exceeded", http.StatusTooManyRequests)
		return
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	p.expireLocked()
	item, ok := p.items[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	var s store.CompareAndSwap
	if err == nil {
		err = json.Unmarshal(body, &s)
	}
	if err != nil || len(s.Value) > store.MaxValueBytes {
		http.Error(w, "not a swap, or too large", http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	p.counts.Writes++
	lose, delay := p.faults.LostResponses > 0, p.faults.WriteDelay
	if lose {
		p.faults.LostResponses--
	}
	p.mu.Unlock()
	if lose {
		time.AfterFunc(delay, func() { p.compareAndSwap(key, s) })
		http.Error(w, "the answer is lost", http.StatusGatewayTimeout)
		return
	}
	item, ok := p.compareAndSwap(key, s)
	if !ok {
		writeJSON(w, http.StatusConflict, item)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

// compareAndSwap writes a value if the key's revision is the expected one, and returns the resulting or the current item.
func (p *Platform) compareAndSwap(key string, s store.CompareAndSwap) (item store.Item, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked()
	item = p.items[key]
	if item.Revision != s.Expected {
		return item, false
	}
	p.revision++
	item = store.Item{Key: key, Value: s.Value, Revision: p.revision}
	p.items[key] = item
	delete(p.expiries, key)
	if s.TTL > 0 {
		p.expiries[key] = time.Now().Add(s.TTL)
	}
	if p.options.OnWrite != nil {
		p.options.OnWrite(item)
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return item, true
}

// expireLocked removes the keys whose TTL has ended.
func (p *Platform) expireLocked() {
	now := time.Now()
	for key, at := range p.expiries {
		if now.After(at) {
			delete(p.items, key)
			delete(p.expiries, key)
		}
	}
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, waitErr := time.ParseDuration(q.Get("Wait"))
	if err != nil || waitErr != nil {
		http.Error(w, "After and Wait are wanted", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	end := time.After(wait)
	for {
		changes, changed, stalled := p.changesSince(q.Get("Prefix"), id.Revision(after))
		if stalled && wait > 0 {
			changes = store.Changes{Revision: id.Revision(after)}
		}
		if len(changes.Items) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the items with a prefix that changed after a revision, a channel that is closed at the next
// write, and whether watches are stalled.
func (p *Platform) changesSince(prefix string, after id.Revision) (c store.Changes, changed <-chan struct{}, stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.Revision = p.revision
	for key, item := range p.items {
		if strings.HasPrefix(key, prefix) && item.Revision > after {
			c.Items = append(c.Items, item)
		}
	}
	slices.SortFunc(c.Items, func(a, b store.Item) int { return int(a.Revision) - int(b.Revision) })
	return c, p.changed, p.faults.StalledWatches
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	now := time.Now()
	out := []store.VM{}
	for name, l := range p.vms {
		if !l.hiddenAt.IsZero() && now.After(l.hiddenAt) {
			delete(p.vms, name)
			continue
		}
		if now.After(l.visibleAt) {
			out = append(out, l.vm)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(out, func(a, b store.VM) int { return strings.Compare(string(a.Name), string(b.Name)) })
	writeJSON(w, http.StatusOK, out)
}

// registerVM handles the call with which a separate process adds itself to the list of VMs.
func (p *Platform) registerVM(w http.ResponseWriter, r *http.Request) {
	var vm store.VM
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequest)).Decode(&vm); err != nil || vm.Name == "" {
		http.Error(w, "not a VM", http.StatusBadRequest)
		return
	}
	p.AddVM(vm)
	writeJSON(w, http.StatusOK, vm)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// Package platform stands in for the platform's key-value store and list of VMs in tests and demonstrations.
//
// It keeps everything in memory and can be made slow, silent, forgetful of its
// answers, and late with its list.
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

// maxRequest bounds a request's body: a value with the overhead of its encoding, in bytes.
const maxRequest = 2 * store.MaxValue

type listed struct {
	vm        store.VM
	visibleAt time.Time
	// goneAt is the time at which the VM disappears from the list, or zero.
	goneAt time.Time
}

// Platform is the stand-in; it is safe for concurrent use.
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
	vms      map[id.VM]listed
	faults   Faults
	counts   Counts
}

// Faults are what is wrong with the platform.
type Faults struct {
	// Outage makes every call fail.
	Outage bool
	// Delay is added to every call.
	Delay time.Duration
	// LostResponses is the number of writes that take effect but whose answer is lost.
	LostResponses int
	// WriteDelay delays the effect of the next write whose answer is lost.
	WriteDelay time.Duration
	// StalledWatches makes watches wait without ever seeing a change; those that don't wait are plain reads.
	StalledWatches bool
}

// Counts are the calls so far.
type Counts struct {
	Reads       int
	Writes      int
	Watches     int
	RateLimited int
}

// NewPlatform returns an empty platform.
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
		vms:      map[id.VM]listed{},
	}
	p.mux.HandleFunc("GET "+store.PathKeys+"{key...}", p.get)
	p.mux.HandleFunc("PUT "+store.PathKeys+"{key...}", p.put)
	p.mux.HandleFunc("GET "+store.PathWatch, p.watch)
	p.mux.HandleFunc("GET "+store.PathVMs, p.list)
	p.mux.HandleFunc("PUT "+store.PathVMs, p.register)
	return p
}

// SetFaults replaces what is wrong with the platform.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetOutage begins or ends an outage.
func (p *Platform) SetOutage(out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Outage = out
}

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Item returns a key's item as a reader would see it.
func (p *Platform) Item(key string) store.Item {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.items[key]
}

// AddVM puts a VM on the list, which shows it after the lag.
func (p *Platform) AddVM(vm store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms[vm.Name] = listed{vm: vm, visibleAt: time.Now().Add(p.options.ListLag)}
}

// RemoveVM takes a VM off the list, which still shows it during the lag.
func (p *Platform) RemoveVM(name id.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l, ok := p.vms[name]; ok {
		l.goneAt = time.Now().Add(p.options.ListLag)
		p.vms[name] = l
	}
}

// ServeHTTP answers one call.
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
	p.expire()
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
	if err != nil || len(s.Value) > store.MaxValue {
		http.Error(w, "not a swap, or too large", http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	p.mu.Lock()
	p.counts.Writes++
	lose, late := p.faults.LostResponses > 0, p.faults.WriteDelay
	if lose {
		p.faults.LostResponses--
	}
	p.mu.Unlock()
	if lose {
		time.AfterFunc(late, func() { p.swap(key, s) })
		http.Error(w, "the answer is lost", http.StatusGatewayTimeout)
		return
	}
	item, ok := p.swap(key, s)
	if !ok {
		writeJSON(w, http.StatusConflict, item)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

// swap writes a value where the revision is the expected one.
func (p *Platform) swap(key string, s store.CompareAndSwap) (item store.Item, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
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

// expire removes the keys whose lease has lapsed.
func (p *Platform) expire() {
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
		changes, changed, stuck := p.since(q.Get("Prefix"), id.Revision(after))
		if stuck && wait > 0 {
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

func (p *Platform) since(prefix string, after id.Revision) (c store.Changes, changed <-chan struct{}, stuck bool) {
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

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	p.counts.Reads++
	now := time.Now()
	out := []store.VM{}
	for name, l := range p.vms {
		if !l.goneAt.IsZero() && now.After(l.goneAt) {
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

// register lets separate processes put themselves on the list.
func (p *Platform) register(w http.ResponseWriter, r *http.Request) {
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
	// The client is gone where this fails.
	_ = json.NewEncoder(w).Encode(v)
}

package edge_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/faultproxy"
	"github.com/hickorylug/hickorylug/standin/worker"
)

// unusedItems returns the number of lines about each item that isn't used.
func (l *logBuffer) unusedItems(t *testing.T) (lines map[string]int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	lines = map[string]int{}
	for line := range bytes.Lines(l.data.Bytes()) {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatal(err)
		}
		if key, ok := fields["key"].(string); ok && fields["msg"] == "an item of the store is not used" && fields["problem"] != "" {
			lines[key]++
		}
	}
	return lines
}

// contains reports whether any line contains a text.
func (l *logBuffer) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.data.Bytes(), []byte(text))
}

// awaitUnused waits until there is a line about an item that isn't used.
func (l *logBuffer) awaitUnused(t *testing.T, key string) {
	t.Helper()
	for l.unusedItems(t)[key] == 0 {
		time.Sleep(pollPeriod)
	}
}

// Operators must see which entry is odd, but an entry that is written again each second must not fill the log.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	log := &logBuffer{}
	s := newSite(t, 1, func(s *site) { s.log = slog.NewJSONHandler(log, nil) })
	s.awaitStatus(0, "/view/x", http.StatusOK)
	for n := range 5 {
		s.store.Put("servers/odd", []byte(strings.Repeat(" ", n)+"[]"))
		s.configure("/view/", "/more"+strings.Repeat("x", n)+"/")
		s.awaitStatus(0, "/more"+strings.Repeat("x", n)+"/", http.StatusOK)
	}
	log.awaitUnused(t, "servers/odd")
	is.Equal(log.unusedItems(t)["servers/odd"], 1)
}

// A VM whose registration another writer has replaced must register again; the other VMs would never find it otherwise.
func TestVMRegistersInPlaceOfOddRegistration(t *testing.T) {
	s := newSite(t, 2)
	s.awaitAll("/view/x")
	const key = "hickorylug/vm/vm1"
	registered := func() string { return string(s.store.Values(key)[key]) }
	for registered() == "" {
		time.Sleep(pollPeriod)
	}
	before := registered()
	s.store.Put(key, []byte(`{"VM":"vm0","Address":"10.0.0.9:0"}`))
	for registered() != before {
		time.Sleep(pollPeriod)
	}
	s.configure("/view/", "/more/")
	s.awaitAll("/more/x")
}

// Keys whose table another writer has replaced while all VMs were away must get owners again.
func TestOddTableIsReplaced(t *testing.T) {
	s := newSite(t, 2, func(s *site) { s.store.Put("hickorylug/keys/plans", []byte("junk")) })
	s.awaitStatus(0, "/view/x", http.StatusOK)
	s.awaitStatus(1, "/view/x", http.StatusOK)
	if problems := s.journal.Violations(); len(problems) > 0 {
		t.Errorf("guarantees were violated: %v", problems)
	}
}

// oddItems returns odd items of each kind by key. Live backend servers have other keys.
func oddItems(s *site) map[string]string {
	const sound = `{"Service":"billing","Address":"10.0.0.9:80","Zone":"east","Version":"v1","Slots":4,"State":"ready","WarmupLeftS":0,"Sequence":1,"born":1}`
	odd := func(old, next string) string {
		changed := strings.Replace(sound, old, next, 1)
		if changed == sound {
			s.t.Fatalf("%s is not in the entry", old)
		}
		return changed
	}
	return map[string]string{
		"servers/odd-deep":       strings.Repeat(`{"a":`, 50_000) + "1" + strings.Repeat("}", 50_000),
		"servers/odd-lists":      strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
		"servers/odd-field":      odd(`"Slots"`, `"More":`+strings.Repeat("[", 9_000)+strings.Repeat("]", 9_000)+`,"Slots"`),
		"servers/odd-slots":      odd(`"Slots":4`, `"Slots":1e300`),
		"servers/odd-many-slots": odd(`"Slots":4`, `"Slots":9223372036854775807`),
		"servers/odd-number":     odd(`"Slots":4`, `"Slots":1e400`),
		"servers/odd-warm-up":    odd(`"WarmupLeftS":0`, `"WarmupLeftS":1e300`),
		"servers/odd-start":      odd(`"born":1`, `"born":9223372036854775807`),
		"servers/odd-sequence":   odd(`"Sequence":1`, `"Sequence":1e300`),
		"servers/odd-port-0":     odd(`:80"`, `:0"`),
		"servers/odd-port":       odd(`:80"`, `:65536"`),
		"servers/odd-address":    odd(`10.0.0.9`, `0.0.0.0`),
		"servers/odd-names":      odd(`"billing"`, `"billing\r\nX: y"`),
		"servers/odd-bytes":      "\xff\xfe\x00",
		"servers/odd-type":       odd(`"ready"`, `7`),
		"servers/odd-missing":    `{}`,
		"servers/odd-twice":      odd(`"Slots":4`, `"Slots":4,"Slots":5`),
		"servers/odd-huge":       odd(`"v1"`, `"`+strings.Repeat("v", 700_000)+`"`),
		"servers/odd\r\nid: x":   sound,
		"servers/":               sound,
		"hickorylug/vm/odd":      `{"VM":"vm0","Domain":"east","Address":"10.0.0.9:1","Strength":1}`,
		"hickorylug/vm/odd-port": `{"VM":"odd-port","Domain":"east","Address":"10.0.0.9:0","Strength":1e300}`,
		"hickorylug/keys/odd":    "junk",
		"hickorylug/crashes/odd": `{"Process":{"Server":"p-0","Born":1},"Suspects":[1e300]}`,
		"hickorylug/era":         `18446744073709551615`,
	}
}

// putOdd writes all odd items.
func (s *site) putOdd() {
	for key, value := range oddItems(s) {
		s.store.Put(key, []byte(value))
	}
}

// checkServes checks that each VM serves requests of both services.
func (s *site) checkServes(name string) {
	s.t.Helper()
	for n := range 20 {
		vm := n % len(s.callerAddresses)
		if status, _ := s.sendRequest(vm, http.MethodPost, "/renew/x", fmt.Sprint(name, " renew", n), nil, ""); status != http.StatusOK {
			s.t.Errorf("VM %d answers a request without a key with status %d", vm, status)
		}
		if status, _ := s.sendRequest(vm, http.MethodGet, "/view/x", fmt.Sprint(name, " view", n), map[string]string{"Shard-Key": fmt.Sprint(n * 3271)}, ""); status != http.StatusOK {
			s.t.Errorf("VM %d answers a request with a key with status %d", vm, status)
		}
	}
}

// awaitMetric waits until each VM has the given figure among its metrics.
func (s *site) awaitMetric(name string, want int) {
	for vm, address := range s.metricsAddresses {
		for got := -1; got != want && s.cancels[vm] != nil; time.Sleep(pollPeriod) {
			metrics := map[string]any{}
			if r, err := http.Get("http://" + address + "/debug/vars"); err == nil {
				_ = json.NewDecoder(r.Body).Decode(&metrics)
				_ = r.Body.Close()
			}
			if figure, ok := metrics[name].(float64); ok {
				got = int(figure)
			}
		}
	}
}

// A VM must follow the store beside odd items: a later sound entry and a later configuration take effect, and the live servers serve on.
func TestOddItemsBesideSoundOnes(t *testing.T) {
	const servers = 6
	tests := map[string]struct {
		// early writes the odd items before the VMs start.
		early bool
		// copied says that a VM must have copied the store from another one.
		copied bool
		play   func(s *site)
	}{
		"written while requests run":      {play: func(s *site) { s.putOdd() }},
		"there when the VMs start":        {early: true, play: func(*site) {}},
		"there when the store comes back": {early: true, play: func(s *site) { s.restore(s.store.Copy(), 100*time.Millisecond) }},
		"copied from another VM":          {early: true, play: func(s *site) { s.startVM(len(s.cancels)) }},
		"written and a VM starts with them": {play: func(s *site) {
			s.putOdd()
			s.startVM(len(s.cancels))
		}},
		"written again and again": {play: func(s *site) {
			for n := range 5 {
				s.putOdd()
				s.checkServes(fmt.Sprint("again", n))
			}
		}},
		"written and removed": {play: func(s *site) {
			s.putOdd()
			s.awaitMetric("UnusedItems", len(oddItems(s)))
			for key := range oddItems(s) {
				s.store.Remove(key)
			}
			s.awaitMetric("UnusedItems", 0)
		}},
		"written while the leader can't reach the store": {play: func(s *site) {
			leader := s.leader()
			s.links[leader].SetMode(faultproxy.Stall)
			s.putOdd()
			s.awaitAll("/view/x")
			s.links[leader].SetMode(faultproxy.Pass)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			log := &logBuffer{}
			s := newSite(t, 3, func(s *site) {
				s.log = slog.NewJSONHandler(log, nil)
				if test.early {
					s.t = t
					s.putOdd()
				}
			})
			s.awaitAll("/view/x")
			test.play(s)
			s.awaitAll("/view/x")
			s.checkServes("after")
			s.addServer("late", "billing")
			s.configure("/view/", "/more/")
			s.awaitMetric("Servers", servers+1)
			s.awaitAll("/more/x")
			s.checkServes("later")
			for key := range oddItems(s) {
				log.awaitUnused(t, key)
			}
			if problems := s.journal.Violations(); len(problems) > 0 {
				t.Errorf("guarantees were violated: %v", problems)
			}
			if test.copied && !log.contains("the store was copied from another VM") {
				t.Error("no VM has copied the store")
			}
			for _, text := range []string{"supervisor event", "panic"} {
				if log.contains(text) {
					t.Errorf("the log has a line with %q", text)
				}
			}
		})
	}
}

// A record of the leader that can't be read must not keep the keys without owners: nobody could lead any more.
func TestOddLeaderRecordIsReplaced(t *testing.T) {
	const key = "hickorylug/leader"
	tests := map[string]func(s *site){
		"while a VM leads": func(s *site) { s.store.Put(key, []byte("junk")) },
		"twice": func(s *site) {
			s.store.Put(key, []byte("[]"))
			s.leader()
			s.store.Put(key, []byte("1e400"))
		},
		"while the leader stops": func(s *site) {
			leader := s.leader()
			s.store.Put(key, []byte("{}"))
			s.stopVM(leader)
		},
		"before the VMs start":    nil,
		"while the store is away": func(s *site) { s.store.Put(key, nil); s.restore(s.store.Copy(), 2*time.Second) },
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, func(s *site) {
				if play == nil {
					s.store.Put(key, []byte(`{"VM":7}`))
				}
			})
			if play != nil {
				s.awaitAll("/view/x")
				play(s)
			}
			for !strings.Contains(string(s.store.Values(key)[key]), `"VM":"vm`) {
				time.Sleep(pollPeriod)
			}
			// Only a leader gives keys to another backend server.
			s.addServer("k-late", "plans", worker.WithKeys())
			for n := range 3 {
				s.store.Remove(fmt.Sprint("servers/k-", n))
			}
			s.awaitMetric("Servers", 4)
			s.awaitAll("/view/x")
			if problems := s.journal.Violations(); len(problems) > 0 {
				t.Errorf("guarantees were violated: %v", problems)
			}
		})
	}
}

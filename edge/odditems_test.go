package edge_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
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

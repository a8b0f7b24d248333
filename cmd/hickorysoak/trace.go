package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hickorylug/hickorylug/standin/worker"
)

const (
	// A trace begins traceBefore before a conflict and ends traceAfter after it.
	traceBefore = 8 * time.Second
	traceAfter  = 2 * time.Second
	// maxTraces is the number of conflicts whose trace is written, maxPrintedTraces that of printed ones, of maxPrintedLines each.
	maxTraces        = 30
	maxPrintedTraces = 2
	maxPrintedLines  = 80
)

// traceLine is a line of a trace.
type traceLine struct {
	at   time.Time
	text string
}

// notes records what the soak does. It is safe for concurrent use.
type notes struct {
	mu    sync.Mutex
	lines []traceLine
}

// add records an act.
func (n *notes) add(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lines = append(n.lines, traceLine{time.Now(), "soak: " + fmt.Sprintf(format, args...)})
}

// traceConflicts writes what all VMs, the backend servers and the soak tell of each conflict between backend servers into the folder of logs,
// and adds the last lines of the first traces to the result.
func (e *environment) traceConflicts(r *result) {
	conflicts := e.journal.Conflicts()
	for i, c := range conflicts[:min(maxTraces, len(conflicts))] {
		lines := e.trace(c)
		err := os.WriteFile(filepath.Join(e.folder, fmt.Sprintf("conflict-%d.log", i)), []byte(c.Text+"\n"+strings.Join(lines, "\n")+"\n"), 0o600)
		if err != nil {
			r.addViolation("a trace can't be written: %v", err)
		}
		if i < maxPrintedTraces {
			r.traces = append(append(r.traces, "trace of: "+c.Text), lines[max(0, len(lines)-maxPrintedLines):]...)
		}
	}
}

// trace returns the lines that concern a conflict, in order of time.
func (e *environment) trace(c worker.Conflict) (out []string) {
	var lines []traceLine
	for _, v := range e.vms {
		lines = append(lines, v.trace(c)...)
	}
	for _, event := range e.journal.Events() {
		if event.Service == c.Service && event.From <= c.To && c.From <= event.To {
			lines = append(lines, traceLine{event.At, event.Server + ": " + event.Text})
		}
	}
	e.notes.mu.Lock()
	lines = append(lines, e.notes.lines...)
	e.notes.mu.Unlock()
	slices.SortStableFunc(lines, func(a, b traceLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		if l.at.After(c.Begin.Add(-traceBefore)) && l.at.Before(c.End.Add(traceAfter)) {
			out = append(out, l.at.UTC().Format("15:04:05.000 ")+l.text)
		}
	}
	return out
}

// trace returns the lines of the VM's log that concern the keys or the servers of a conflict, or who leads.
func (v *vm) trace(c worker.Conflict) (lines []traceLine) {
	data, err := os.ReadFile(v.log.Name())
	if err != nil {
		return nil
	}
	for line := range bytes.Lines(data) {
		var l struct {
			Time                 time.Time
			Msg, Service, Server string
			From, To             any
		}
		if json.Unmarshal(line, &l) != nil {
			continue
		}
		from, hasFrom := l.From.(float64)
		to, hasTo := l.To.(float64)
		concernsKeys := l.Service == c.Service && hasFrom && hasTo && int(from) <= c.To && c.From <= int(to)
		concernsServer := slices.Contains(c.Servers[:], l.Server) && strings.HasPrefix(l.Msg, "backend server")
		concernsLeader := strings.Contains(l.Msg, "leads") || strings.Contains(l.Msg, "leader") || strings.Contains(l.Msg, "elected") || strings.HasPrefix(l.Msg, "entry VM")
		if concernsKeys || concernsServer || concernsLeader {
			lines = append(lines, traceLine{l.Time, v.name + ": " + string(bytes.TrimSpace(line))})
		}
	}
	return lines
}

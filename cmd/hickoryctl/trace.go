package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// traceLookback is the time before the first log line of a request from which state changes are shown.
	traceLookback = 3 * time.Second
	// maxLineBytes is the longest log line, in bytes.
	maxLineBytes = 1 << 20
)

// errRequestNotFound means that no log line contains the request ID.
var errRequestNotFound = errors.New("no log line contains the request ID; served requests are logged at level debug only, and log lines may have been dropped under load")

// traceCommand shows the log lines of one request at all entry VMs, with the state changes that may explain its result.
type traceCommand struct {
	ID    string   `arg:"" help:"ID of the request, as the caller sent it."`
	Files []string `arg:"" optional:"" help:"Log files of entry VMs; defaults to standard input." type:"existingfile"`
}

// logLine is a line of an entry VM's log.
type logLine struct {
	at      time.Time
	vm      string
	message string
	fields  map[string]any
}

// Run prints the log lines of the request, and state changes that its VMs logged during the request or
// shortly before it and that concern its service or backend servers.
func (c *traceCommand) Run() (err error) {
	defer func() { err = errors.Wrapf(err, "trace request %s", c.ID) }()
	var lines []logLine
	if len(c.Files) == 0 {
		lines, err = readLog(os.Stdin)
		if err != nil {
			return err
		}
	}
	for _, name := range c.Files {
		more, err := readLogFile(name)
		if err != nil {
			return err
		}
		lines = append(lines, more...)
	}
	found := selectLines(lines, c.ID)
	if len(found) == 0 {
		return errRequestNotFound
	}
	for _, line := range found {
		fmt.Printf("%s %s %s%s\n", line.at.Format("15:04:05.000"), line.vm, line.message, formatFields(line.fields))
	}
	return nil
}

func readLogFile(name string) (lines []logLine, err error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	return readLog(f)
}

// readLog reads log lines in JSON. It skips any text before the first brace of a line, and lines that are not JSON
// or have no valid time.
func readLog(r io.Reader) (lines []logLine, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(scanner.Bytes()[start:], &fields) != nil {
			continue
		}
		line := logLine{fields: fields}
		line.message, _ = fields["msg"].(string)
		line.vm, _ = fields["vm"].(string)
		timestamp, _ := fields["time"].(string)
		if line.at, err = time.Parse(time.RFC3339Nano, timestamp); err != nil {
			continue
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// selectLines returns the log lines of a request, and related state changes during the request and up to traceLookback
// before it, at the VMs that logged the request. The lines are sorted by time, each by the clock of its VM.
func selectLines(lines []logLine, requestID string) (found []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	firstAt := map[string]time.Time{}
	lastAt := map[string]time.Time{}
	related := map[any]bool{}
	for _, line := range lines {
		if line.fields["request"] != requestID {
			continue
		}
		if _, seen := firstAt[line.vm]; !seen {
			firstAt[line.vm] = line.at
		}
		lastAt[line.vm] = line.at
		for _, name := range []string{"server", "service"} {
			if v := line.fields[name]; v != nil && v != "" {
				related[v] = true
			}
		}
	}
	for _, line := range lines {
		startedAt, involved := firstAt[line.vm]
		switch {
		case line.fields["request"] == requestID:
			found = append(found, line)
		case line.fields["request"] != nil || !involved || line.at.Before(startedAt.Add(-traceLookback)) || line.at.After(lastAt[line.vm]):
		case isRelated(line, related):
			found = append(found, line)
		}
	}
	return found
}

// isRelated reports whether a state change concerns a backend server or a service of the request, or the VM as a whole.
func isRelated(line logLine, related map[any]bool) bool {
	server, service := line.fields["server"], line.fields["service"]
	if server == nil && service == nil {
		return true
	}
	return server != nil && related[server] || server == nil && related[service]
}

// formatFields returns the fields of a log line in alphabetical order, without those that every line has.
func formatFields(fields map[string]any) string {
	var names []string
	for name := range fields {
		if !slices.Contains([]string{"time", "msg", "vm", "level"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, fields[name])
	}
	return b.String()
}

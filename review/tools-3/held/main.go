//go:build review

// Held runs one entry VM in front of backend servers that read long bodies slowly, and checks that the process stays within its memory.
//
// The process is killed once it exceeds its memory, as the platform does. The rule
// is broken if that leaves more than three short requests without an answer,
// which came on kept connections and were passed on to backend servers that work and read as usual.
//
// # Usage
//
//	held -program target/hickorylug -record record.txt -trouble=false
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"sync"
	"time"
)

// command is the command line.
type command struct {
	program, record string
	trouble         bool
}

// journal is the record of what was sent, answered and run. It is safe for concurrent use.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// begun holds the requests that have reached a backend server.
	begun map[string]bool
}

func (j *journal) add(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

func (j *journal) begin(request string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun[request] = true
}

func (j *journal) hasBegun(request string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.begun[request]
}

func main() {
	var c command
	flag.StringVar(&c.program, "program", "target/hickorylug", "the program of the entry VM")
	flag.StringVar(&c.record, "record", "record.txt", "the file for the record")
	flag.BoolVar(&c.trouble, "trouble", true, "whether backend servers read slowly")
	flag.Parse()
	os.Exit(run(c))
}

// run runs the case and returns the exit status.
func run(c command) (status int) {
	file, err := os.Create(c.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	j := &journal{file: file, start: time.Now(), begun: map[string]bool{}}
	broken, err := play(c, j)
	switch {
	case err != nil:
		j.add("the case couldn't run: %v", err)
		status = 2
	case broken:
		status = 1
	}
	j.add("exit status %d", status)
	return status
}

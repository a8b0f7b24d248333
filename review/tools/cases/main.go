//go:build review

// Command cases plays the scripts of the review against the project's own program.
//
// # Usage
//
//	target/review-cases settings --record review/1/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment it plays the same without the
// disruption.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// limit is the time after which a case ends, whatever it waits for.
const limit = 117 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (isBroken bool, err error){
	"settings": playSettings,
	"unsigned": playUnsigned,
	"limit":    playLimit,
	"idle":     playIdle,
	"era":      playEra,
	"route":    playRoute,
	"slow":     playSlow,
	"leaders":  playLeaders,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[2] != "--record" {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE --record FILE")
		os.Exit(cannotRun)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	time.AfterFunc(limit, func() {
		r.note("the case didn't end in time")
		// VMs end with this process.
		os.Exit(cannotRun)
	})
	isBroken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	code := held
	switch {
	case err != nil:
		r.note("the case couldn't run: %v", err)
		code = cannotRun
	case isBroken:
		code = broken
	}
	r.note("exit code %d", code)
	r.close()
	os.Exit(code)
}

// record is the record of a case: what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f}, nil
}

// now returns the time since the case began.
func (r *record) now() time.Duration { return time.Since(r.began) }

// write adds a line to the record.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

// note adds a line to the record and prints it.
func (r *record) note(format string, args ...any) {
	r.write(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}

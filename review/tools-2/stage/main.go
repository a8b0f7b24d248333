//go:build review

// Command stage plays one case of the review on loopback addresses: it starts entry VMs as processes of the project's program, beside stand-ins of the
// platform's store, of backend servers and of callers, and checks one rule.
//
// # Usage
//
//	stage -case deadly -program target/hickorylug -folder review/6
//
// It writes record.txt into the folder and exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run. With TROUBLE=0 in the
// environment the disruption is left out.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// play runs a case on a running deployment, until its checks are made. It returns what broke the rule, and an error if the case couldn't run.
type play func(ctx context.Context, d *deployment, trouble bool) (broken []string, err error)

// cases holds the cases with their deployments.
var cases = map[string]struct {
	layout layout
	play   play
}{
	"deadly": {layout: ardlarach().withAttempts("sheet-read", 1), play: playDeadly},
	"cold":   {layout: ardlarach(), play: playCold},
	"grey":   {layout: ardlarach(), play: playGrey},
}

// Exit codes.
const (
	held      = 0
	wasBroken = 1
	notRun    = 2
)

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/hickorylug", "the project's program")
	folder := flag.String("folder", ".", "folder of record.txt")
	limit := flag.Duration("limit", 110*time.Second, "longest time of the case")
	flag.Parse()
	os.Exit(run(*name, *program, *folder, *limit))
}

func run(name, program, folder string, limit time.Duration) (code int) {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "there is no case %q\n", name)
		return notRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer record.close()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, err := newDeployment(ctx, c.layout, program, record)
	defer d.close()
	if err != nil {
		record.result("the case couldn't run: %v", err)
		return notRun
	}
	broken, err := c.play(ctx, d, os.Getenv("TROUBLE") != "0")
	if err == nil && d.served.Load() == 0 {
		err = errors.New("nothing was served")
	}
	switch {
	case err != nil:
		record.result("the case couldn't run: %v", err)
		return notRun
	case ctx.Err() != nil:
		record.result("the case couldn't run: it was ended before its checks")
		return notRun
	case len(broken) > 0:
		for _, b := range broken {
			record.result("broken: %s", b)
		}
		return wasBroken
	default:
		record.result("the rule held")
		return held
	}
}

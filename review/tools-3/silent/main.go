//go:build review

// Command silent plays case 12 of the review on loopback addresses: it starts entry VMs as processes of the project's program, beside stand-ins of the
// platform's store, of backend servers and of callers, and checks one rule.
//
// # Usage
//
//	silent -program target/hickorylug -folder review/12
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

// Exit codes.
const (
	held      = 0
	wasBroken = 1
	notRun    = 2
)

func main() {
	program := flag.String("program", "target/hickorylug", "the project's program")
	folder := flag.String("folder", ".", "folder of record.txt")
	limit := flag.Duration("limit", 110*time.Second, "longest time of the case")
	flag.Parse()
	os.Exit(run(*program, *folder, *limit))
}

func run(program, folder string, limit time.Duration) (code int) {
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
	d, err := newDeployment(ctx, ardlarach(), program, record)
	defer d.close()
	if err != nil {
		record.result("the case couldn't run: %v", err)
		return notRun
	}
	broken, err := playCold(ctx, d, os.Getenv("TROUBLE") != "0")
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

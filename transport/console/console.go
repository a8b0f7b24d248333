// Package console writes log lines to a file descriptor without ever blocking the goroutine that logs.
//
// Lines are queued in a bounded buffer and limited in rate. Lines beyond either
// limit are dropped and counted, and the count is written as a separate line as
// soon as the output accepts it.
//
// # Usage
//
//	w := console.NewWriter(os.Stdout)
//	done := w.Run(ctx)
//	log := slog.New(slog.NewJSONHandler(w, nil))
package console

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines is the capacity of the queue of lines to be written.
	bufferedLines = 1024
	// linesPerSecond limits the log volume under load; the lines of one second may be written in one burst.
	linesPerSecond = 200
	// reportPeriod is the interval between lines that report dropped lines.
	reportPeriod = time.Second
)

// Writer is an io.Writer that queues one line for each call. It is safe for concurrent use.
type Writer struct {
	out           io.Writer
	lines         chan []byte
	dropped       atomic.Int64
	total         atomic.Int64
	linesInPeriod atomic.Int64
}

// NewWriter returns a writer that queues lines until Run writes them.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, bufferedLines)}
}

// Write queues a line or drops it. It never blocks, and the error is always nil.
func (w *Writer) Write(line []byte) (n int, err error) {
	w.total.Add(1)
	if w.linesInPeriod.Add(1) > linesPerSecond {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until the context is done, then writes the remaining lines and sends the result on the channel.
func (w *Writer) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(reportPeriod)
		defer ticker.Stop()
		for {
			select {
			case line := <-w.lines:
				// If the output is closed, there is nowhere to report the error.
				_, _ = w.out.Write(line)
			case <-ticker.C:
				w.report()
			case <-ctx.Done():
				done <- w.flush()
				return
			}
		}
	}()
	return done
}

func (w *Writer) report() {
	w.linesInPeriod.Store(0)
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines were dropped\",\"count\":%d}\n", n)
	}
}

func (w *Writer) flush() (err error) {
	for {
		select {
		case line := <-w.lines:
			if _, err = w.out.Write(line); err != nil {
				return err
			}
		default:
			return nil
		}
	}
}

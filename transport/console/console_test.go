package console_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/transport/console"
)

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := console.NewWriter(&out)
	ctx, cancel := context.WithCancel(context.Background())
	for n := range 5 {
		_, err := fmt.Fprintf(w, "%d\n", n)
		is.NoErr(err)
	}
	cancel()
	is.NoErr(<-w.Run(ctx))
	is.Equal(out.String(), "0\n1\n2\n3\n4\n")
}

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	return s.out.Write(line)
}

// An output that blocks must not block the goroutines that log; the dropped lines are reported in a separate line.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &blockedWriter{release: make(chan struct{})}
		w := console.NewWriter(s)
		ctx, cancel := context.WithCancel(context.Background())
		done := w.Run(ctx)
		began := time.Now()
		for range 10000 {
			_, err := w.Write([]byte("line\n"))
			is.NoErr(err)
		}
		is.Equal(time.Since(began), time.Duration(0))
		is.True(w.Dropped() >= 9000)
		close(s.release)
		time.Sleep(2 * time.Second)
		cancel()
		is.NoErr(<-done)
		is.True(strings.Contains(s.out.String(), "log lines were dropped"))
		is.True(strings.Count(s.out.String(), "line\n") <= 1300)
	})
}

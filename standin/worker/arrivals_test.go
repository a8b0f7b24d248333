package worker_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

// Work for a connection that has ended must be told from work that came to its end, or that the end of the process cut off.
func TestArrivals(t *testing.T) {
	const work, waits = time.Second, 300 * time.Millisecond
	tests := map[string]struct {
		drops, stops bool
		// ahead is the number of requests that the worker runs already.
		ahead int
		began bool
		ended time.Duration
		isCut bool
	}{
		"its connection lives on":          {began: true, ended: work},
		"it runs, and is dropped":          {drops: true, began: true, ended: waits, isCut: true},
		"it is queued, and is dropped":     {drops: true, ahead: worker.Slots},
		"it runs, and the process ends":    {drops: true, stops: true, began: true, ended: waits},
		"it is queued, and is not dropped": {ahead: worker.Slots, began: true, ended: 2 * work},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := worker.NewJournal()
				options := []worker.Option{worker.WithServiceTime(work)}
				if test.drops {
					options = append(options, worker.WithDroppedRequests())
				}
				w := worker.New("i-1", "billing", j, options...)
				serve := func(ctx context.Context, id string) {
					defer func() { _ = recover() }()
					r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/renew/x", strings.NewReader("a body"))
					r.Header.Set("Attempt-Id", id)
					r.Header.Set("Deadline-Ms", "1500")
					w.ServeHTTP(httptest.NewRecorder(), r)
				}
				for range test.ahead {
					go serve(t.Context(), "ahead")
				}
				synctest.Wait()
				ctx, cancel := context.WithCancel(t.Context())
				reachedAt := time.Now()
				go serve(ctx, "r1")
				time.Sleep(waits)
				if test.stops {
					w.Stop()
				}
				cancel()
				time.Sleep(3 * work)
				arrivals := j.Arrivals("r1")
				is.Equal(len(arrivals), 1)
				a := arrivals[0]
				is.True(a.AtMostOnce)
				is.True(a.ReachedAt.Equal(reachedAt))
				is.Equal(a.Deadline.Sub(reachedAt), 1500*time.Millisecond)
				is.Equal(!a.BeganAt.IsZero(), test.began)
				is.Equal(a.IsBrokenOff, test.isCut)
				if test.began {
					is.Equal(a.ServiceTime, work)
					is.Equal(a.EndedAt.Sub(reachedAt), test.ended)
				}
			})
		})
	}
}

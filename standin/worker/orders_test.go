package worker_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/hickorylug/hickorylug/standin/worker"
)

const fullHold = 2500 * time.Millisecond

// send sends a grant or a release for keys 0 to to, and returns the status, or 0 if there is no answer.
func send(w *worker.Worker, call string, to, fence int, hold time.Duration) (status int) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	body := fmt.Sprintf(`{"From":0,"Target":%d,"fence":%d,"HoldS":%f}`, to, fence, hold.Seconds())
	out := httptest.NewRecorder()
	w.ServeHTTP(out, httptest.NewRequest(http.MethodPost, "/hickorylug/"+call, strings.NewReader(body)))
	return out.Code
}

// holds reports whether a worker runs a request with key 7.
func holds(w *worker.Worker) bool {
	r := httptest.NewRequest(http.MethodGet, "/view/x", nil)
	r.Header.Set("Shard-Key", "7")
	out := httptest.NewRecorder()
	w.ServeHTTP(out, r)
	return out.Code == http.StatusOK
}

func newKeyed(j *worker.Journal, id string, opts ...worker.Option) *worker.Worker {
	return worker.New(id, "plans", j, append(opts, worker.WithKeys(), worker.WithServiceTime(0))...)
}

// Only grants leave a fence: a stand-in that remembers those of releases hides grants that arrive after them.
func TestFences(t *testing.T) {
	type call struct {
		name          string
		fence, status int
	}
	tests := map[string][]call{
		"renewed":                            {{"grant", 5, 200}, {"grant", 5, 200}},
		"lower than a grant":                 {{"grant", 5, 200}, {"grant", 4, 409}},
		"lower than a release":               {{"grant", 5, 200}, {"release", 6, 200}, {"grant", 5, 200}},
		"lower than a grant before release":  {{"grant", 5, 200}, {"release", 5, 200}, {"grant", 4, 409}},
		"a release with a lower fence holds": {{"grant", 5, 200}, {"release", 1, 200}},
	}
	for name, calls := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newKeyed(worker.NewJournal(), "i-1")
			for _, c := range calls {
				is.Equal(send(w, c.name, 99, c.fence, fullHold), c.status)
				if c.status == http.StatusOK {
					is.Equal(holds(w), c.name == "grant")
				}
			}
		})
	}
}

// A hold that ends earlier than the pages allow hides grants to the next owner that come too early.
func TestHoldIsMeasuredByASlowClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newKeyed(worker.NewJournal(), "i-1")
		is.Equal(send(w, "grant", 99, 5, fullHold), http.StatusOK)
		time.Sleep(fullHold * 102 / 100)
		is.True(holds(w))
		time.Sleep(2 * time.Millisecond)
		is.True(!holds(w))
	})
}

// A late grant gets no answer, takes effect after newer orders, and its hold counts from its arrival.
func TestLateGrants(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w, arrivedAt := newKeyed(worker.NewJournal(), "i-1", worker.WithLateOrders(1, seed)), time.Now()
			go func() { is.Equal(send(w, "grant", 99, 5, fullHold), 0) }()
			synctest.Wait()
			is.True(!holds(w))
			is.Equal(send(w, "release", 99, 6, 0), http.StatusOK)
			for end := time.Now().Add(fullHold); !holds(w) && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.True(holds(w))
			time.Sleep(time.Until(arrivedAt.Add(fullHold * 103 / 100)))
			is.True(!holds(w))
		})
	}
}

func TestLateGrantsDoNotOutliveTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := worker.NewJournal()
		w := newKeyed(j, "i-1", worker.WithLateOrders(1, 1))
		go func() { is.Equal(send(w, "grant", 99, 5, fullHold), 0) }()
		synctest.Wait()
		w.Stop()
		time.Sleep(4 * time.Second)
		is.Equal(send(newKeyed(j, "i-2"), "grant", 99, 5, fullHold), http.StatusOK)
		is.Equal(j.Violations(), nil)
	})
}

func TestOrdersWaitAndAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w, start, longest := newKeyed(worker.NewJournal(), "i-1", worker.WithLateOrders(0, 1)), time.Now(), time.Duration(0)
		for fence := range 200 {
			is.Equal(send(w, []string{"grant", "release"}[fence%2], 99, fence, fullHold), http.StatusOK)
			longest, start = max(longest, time.Since(start)), time.Now()
		}
		is.True(longest > 100*time.Millisecond)
		is.True(longest <= 180*time.Millisecond)
	})
}

// Every overlap counts, and so does a fence that isn't above those of other servers.
func TestConflicts(t *testing.T) {
	const shortest = time.Millisecond
	expiry := time.Duration(fullHold.Seconds() / 0.98 * float64(time.Second))
	tests := map[string]struct {
		play func(j *worker.Journal, a, b *worker.Worker)
		// wanted are parts of the violations, one each.
		wanted []string
	}{
		"handed over": {play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			send(a, "release", 99, 6, 0)
			send(b, "grant", 99, 6, fullHold)
		}},
		"run out": {play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			time.Sleep(expiry)
			send(b, "grant", 99, 6, fullHold)
		}},
		"ended": {play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			a.Stop()
			send(b, "grant", 99, 6, fullHold)
		}},
		"granted a moment too early": {wanted: []string{"both held keys of 0 to 99 for 1ms"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			time.Sleep(expiry - shortest)
			send(b, "grant", 200, 6, fullHold)
			time.Sleep(time.Minute)
		}},
		"released a moment too late": {wanted: []string{"both held keys of 0 to 99 for 1ms"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			send(b, "grant", 99, 6, fullHold)
			time.Sleep(shortest)
			send(a, "release", 99, 6, 0)
		}},
		"ended a moment too late": {wanted: []string{"for 1ms"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			send(b, "grant", 99, 6, fullHold)
			time.Sleep(shortest)
			a.Stop()
		}},
		"a part is kept": {wanted: []string{"both held keys of 0 to 49 for 1ms"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 199, 5, fullHold)
			send(a, "release", 99, 6, 0)
			send(b, "grant", 99, 6, fullHold)
			send(a, "grant", 49, 6, fullHold)
			time.Sleep(shortest)
			send(a, "release", 49, 6, 0)
		}},
		"renewed after the move": {wanted: []string{"both held keys"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			send(b, "grant", 99, 6, fullHold)
			time.Sleep(time.Second)
			send(a, "grant", 99, 5, fullHold)
			send(b, "grant", 99, 6, fullHold)
			time.Sleep(time.Minute)
		}},
		"the former owner's fence": {wanted: []string{"i-2 took keys 0 to 99 with fence 5"}, play: func(_ *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			time.Sleep(time.Minute)
			send(b, "grant", 99, 5, fullHold)
		}},
		"the next life renews for the former one": {wanted: []string{"both held keys", "i-1 took keys 0 to 99 with fence 5"}, play: func(j *worker.Journal, a, b *worker.Worker) {
			send(a, "grant", 99, 5, fullHold)
			a.Stop()
			next := newKeyed(j, "i-1")
			send(b, "grant", 99, 6, fullHold)
			send(next, "grant", 99, 5, fullHold)
			time.Sleep(time.Minute)
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := worker.NewJournal()
				test.play(j, newKeyed(j, "i-1"), newKeyed(j, "i-2"))
				violations := j.Violations()
				for _, wanted := range test.wanted {
					is.True(strings.Contains(strings.Join(violations, "\n"), wanted))
				}
				is.True((len(test.wanted) == 0) == (len(violations) == 0))
			})
		})
	}
}

package worker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// clockRate is the rate of the clock that measures holds: the users' pages let it be 2 % slow.
	clockRate = 0.98
	// A late grant is carried out between minLateness and maxLateness after its arrival.
	minLateness = 200 * time.Millisecond
	maxLateness = 2500 * time.Millisecond
	// maxOrderDelay is the longest time for which any other order waits, before and after it is carried out together.
	maxOrderDelay = 180 * time.Millisecond
)

// order is a grant or a release.
type order struct {
	isRelease bool
	from, to  int
	fence     int64
	// expiry is when the hold of a grant ends. It counts from the arrival, not from when the grant is carried out.
	expiry time.Time
}

// String describes the order for the journal.
func (o order) String() string {
	name := "grant"
	if o.isRelease {
		name = "release"
	}
	return fmt.Sprintf("%s of keys %d to %d with fence %d", name, o.from, o.to, o.fence)
}

// decodeOrder returns the order that a request has brought at a time.
func decodeOrder(r *http.Request, arrivedAt time.Time) (o order, err error) {
	var body struct {
		From, Target int
		Fence        int64 `json:"fence"`
		HoldS        float64
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return order{}, err
	}
	hold := time.Duration(body.HoldS / clockRate * float64(time.Second))
	return order{isRelease: r.URL.Path == "/hickorylug/release", from: body.From, to: body.Target, fence: body.Fence, expiry: arrivedAt.Add(hold)}, nil
}

// handleOrder carries out a grant or a release. It gives no answer to a grant that it carries out late, nor once the process has ended.
func (w *Worker) handleOrder(out http.ResponseWriter, r *http.Request) {
	arrivedAt := time.Now()
	o, err := decodeOrder(r, arrivedAt)
	if err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	before, after, isAnswered := w.schedule(o)
	if !isAnswered {
		w.journal.recordEvent(w, o, fmt.Sprintf("has come and will be carried out %s later", before))
		carriedOut := make(chan struct{})
		time.AfterFunc(before, func() { defer close(carriedOut); w.journal.carryOut(w, o) })
		select {
		case <-carriedOut:
		case <-r.Context().Done():
		case <-w.stopped:
		}
		panic(http.ErrAbortHandler)
	}
	time.Sleep(before)
	status := w.journal.carryOut(w, o)
	time.Sleep(after)
	if w.hasStopped() {
		panic(http.ErrAbortHandler)
	}
	if o.isRelease {
		out.Header().Set("Handover", "warm")
	}
	out.WriteHeader(status)
}

// schedule returns how long an order waits before and after it is carried out, and whether it is answered.
func (w *Worker) schedule(o order) (before, after time.Duration, isAnswered bool) {
	if w.random == nil {
		return 0, 0, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !o.isRelease && w.random.Float64() < w.lateGrants {
		return minLateness + time.Duration(w.random.Int64N(int64(maxLateness-minLateness))), 0, false
	}
	wait := w.random.Int64N(int64(maxOrderDelay))
	before = time.Duration(w.random.Int64N(wait + 1))
	return before, time.Duration(wait) - before, true
}

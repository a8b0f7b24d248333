package worker

import (
	"net/http"
	"strconv"
	"time"
)

// headerDeadline is the field with the time for which the caller still waits, in whole milliseconds.
const headerDeadline = "Deadline-Ms"

// Arrival is a request that has reached a worker, and the run that followed.
type Arrival struct {
	Server     string
	AtMostOnce bool
	ReachedAt  time.Time
	// Deadline is when the worker may stop work, or zero if the request doesn't say.
	Deadline time.Time
	// BeganAt and EndedAt are zero if the request was not run, or hasn't ended.
	BeganAt, EndedAt time.Time
	// ServiceTime is how long the run lasts if nothing ends it.
	ServiceTime time.Duration
	// IsBrokenOff says that the run ended since its connection did, while the worker ran on.
	IsBrokenOff bool
}

// Arrivals returns the arrivals of a request at all workers, in order of time.
func (j *Journal) Arrivals(id string) (out []Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.arrivals[id] {
		out = append(out, *a)
	}
	return out
}

// recordArrival records that a request has reached a worker.
func (j *Journal) recordArrival(w *Worker, r *http.Request, at time.Time) (a *Arrival) {
	a = &Arrival{Server: w.ID, AtMostOnce: r.Method == http.MethodPost, ReachedAt: at}
	if ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64); err == nil {
		a.Deadline = at.Add(time.Duration(ms) * time.Millisecond)
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		// A health check.
		return a
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals[id] = append(j.arrivals[id], a)
	return a
}

// recordEnd records the end of a run; finished is false if its connection ended before.
func (j *Journal) recordEnd(w *Worker, a *Arrival, finished bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.EndedAt, a.IsBrokenOff = time.Now(), !finished && !w.hasStopped()
}

// Package staleness bounds the age of a VM's copy of the store by the calls that the store answers.
//
// A watch that the store holds brings each change as it is made, so that an
// answer to any other call says that the store is there and that nothing newer
// was written until then. Once a watch has failed or is overdue, other answers
// say nothing of the copy: a store may serve some calls and not others.
// The package makes no calls, and its callers pass the time.
//
// # Usage
//
//	var r staleness.Reader
//	r.BeginRead(now, hold)
//	u, err := store.Watch(ctx, position, hold)
//	r.EndRead(now, err == nil)
//	if r.MustConfirm(now) {
//		renewLease() // calls r.ObserveAnswer once it is answered
//	}
//	age := r.Age(now)
package staleness

import (
	"time"

	"github.com/hickorylug/hickorylug/state/clock"
)

const (
	// confirmPeriod is the age of the copy from which another call is made to confirm it. It keeps the age that other VMs hear of well below
	// the second for which requests to a cold backend server are counted.
	confirmPeriod = 100 * time.Millisecond
	// maxConfirmAge is the age from which the store counts as silent, so that calls only for this purpose are in vain.
	maxConfirmAge = 250 * time.Millisecond
	// maxAnswerDelay is how long after the end of its hold a watch may be answered until it counts as failed.
	maxAnswerDelay = 400 * time.Millisecond
)

// Reader follows the calls of a VM that reads the store. The zero value has read nothing. It is not safe for concurrent use.
type Reader struct {
	// readAt is when the latest read was answered, and confirmedAt when the latest other call was sent that was answered during the watch.
	readAt, confirmedAt clock.Instant
	// watchedFrom and watchedUntil are when the watch under way was sent and when it is overdue; 0 means that there is none.
	watchedFrom, watchedUntil clock.Instant
	// triedAt is when the latest call to confirm the copy was due.
	triedAt clock.Instant
}

// BeginRead records that a read is sent that the store may hold for some time until there is a change; 0 means that it answers at once.
func (r *Reader) BeginRead(now clock.Instant, hold time.Duration) {
	r.watchedFrom, r.watchedUntil = 0, 0
	if hold > 0 {
		r.watchedFrom, r.watchedUntil = now, now.Add(hold+maxAnswerDelay)
	}
}

// EndRead records that the read under way has ended.
func (r *Reader) EndRead(now clock.Instant, answered bool) {
	r.watchedFrom, r.watchedUntil = 0, 0
	if answered {
		r.readAt = now
		return
	}
	r.confirmedAt = 0
}

// ObserveRead records that a call of its own has read the whole store, beside the watch under way.
func (r *Reader) ObserveRead(now clock.Instant) { r.readAt = now }

// ObserveAnswer records that the store answered another call, which was sent at a given time.
func (r *Reader) ObserveAnswer(now, sentAt clock.Instant) {
	if r.isWatching(now) && sentAt >= r.watchedFrom {
		r.confirmedAt = max(r.confirmedAt, sentAt)
	}
}

// isWatching reports whether a watch is under way and not overdue.
func (r *Reader) isWatching(now clock.Instant) bool {
	return r.watchedFrom > 0 && now <= r.watchedUntil
}

// Age returns how long ago the copy surely held all that the store held.
func (r *Reader) Age(now clock.Instant) time.Duration {
	if r.watchedFrom > 0 && !r.isWatching(now) {
		return now.Sub(r.readAt)
	}
	return now.Sub(max(r.readAt, r.confirmedAt))
}

// MustConfirm reports whether a call is due that confirms the copy, and records that it is made.
func (r *Reader) MustConfirm(now clock.Instant) bool {
	age := r.Age(now)
	if !r.isWatching(now) || age < confirmPeriod || age >= maxConfirmAge || r.triedAt > 0 && now.Sub(r.triedAt) < confirmPeriod {
		return false
	}
	r.triedAt = now
	return true
}

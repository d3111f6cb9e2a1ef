package clock

import (
	"sync"
	"time"
)

// minPause is the least delay of a regular check that counts as a pause. A busy machine delays timers by less.
const minPause = 250 * time.Millisecond

// Pauses finds the times for which the process was not scheduled, or the machine was suspended. Whatever the process reads after a
// pause may have arrived at any time during it.
//
// Lock order: mu is the only lock.
type Pauses struct {
	interval   time.Duration
	readOffset OffsetReader

	mu          sync.Mutex
	checkedAt   time.Time     // of the last check; zero before the first
	offset      time.Duration // at the last check that could read it
	offsetKnown bool          // there was such a check
	endedAt     time.Time     // of the last pause; zero for none
}

// NewPauses returns Pauses that are checked at the interval. They read the offset of the clocks with r, which shows suspensions.
func NewPauses(interval time.Duration, r OffsetReader) *Pauses {
	return &Pauses{interval: interval, readOffset: r}
}

// Check records that the process runs now, and reports whether a pause has ended since the last check. It is called at the interval.
func (p *Pauses) Check(now time.Time) (paused bool) {
	offset, known := p.currentOffset()
	p.mu.Lock()
	defer p.mu.Unlock()
	paused = p.pausedSinceCheck(now, offset, known)
	if paused {
		p.endedAt = now
	}
	p.checkedAt = now
	if known {
		p.offset, p.offsetKnown = offset, true
	}
	return paused
}

// LastEnd returns when the last pause ended, which is now if the process has not been checked since; zero if there was none.
func (p *Pauses) LastEnd(now time.Time) time.Time {
	offset, known := p.currentOffset()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pausedSinceCheck(now, offset, known) {
		return now
	}
	return p.endedAt
}

// pausedSinceCheck reports whether there was a pause since the last check. The caller holds mu.
func (p *Pauses) pausedSinceCheck(now time.Time, offset time.Duration, known bool) bool {
	if p.checkedAt.IsZero() {
		return false
	}
	return now.Sub(p.checkedAt) >= p.interval+minPause || known && p.offsetKnown && offset-p.offset >= minSuspension
}

// currentOffset reads the offset of the clocks; known is false if that is not possible or not exact.
func (p *Pauses) currentOffset() (offset time.Duration, known bool) {
	offset, maxError, err := p.readOffset()
	return offset, err == nil && maxError <= minSuspension/2
}

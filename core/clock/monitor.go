package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// checkInterval is the time between two checks, at three system calls each. Data may be
	// outdated without notice until the next check, so there are several checks a second.
	checkInterval = 250 * time.Millisecond
	// minSuspension is the shortest time that counts as a suspension. On a busy machine, less
	// may pass between the readings of two clocks; such a difference is too short to matter to
	// any age.
	minSuspension = 50 * time.Millisecond
)

// OffsetReader reads the offset of the machine's clock that counts suspensions from the
// monotonic clock, and the maximum error of that offset.
type OffsetReader func() (offset, maxError time.Duration, err error)

// ReadMachineOffset is the OffsetReader for the clocks of this machine.
func ReadMachineOffset() (offset, maxError time.Duration, err error) {
	before, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, 0, err
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, 0, err
	}
	after, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, 0, err
	}
	return boot - before, after - before, nil
}

func readClock(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

// SuspensionMonitor detects suspensions of the machine. A process needs only one.
type SuspensionMonitor struct {
	readOffset OffsetReader
	offset     time.Duration // at the last check that found a suspension, initially at the first
	hasOffset  bool
}

// NewSuspensionMonitor returns a monitor that reads the offset of the clocks with r.
func NewSuspensionMonitor(r OffsetReader) *SuspensionMonitor {
	return &SuspensionMonitor{readOffset: r}
}

// Check returns the time for which the machine was suspended since the last check; 0 if it was
// not, and always 0 for the first check. It ignores an offset whose maximum error is too large.
func (m *SuspensionMonitor) Check() (time.Duration, error) {
	offset, maxError, err := m.readOffset()
	if err != nil || maxError > minSuspension/2 {
		return 0, err
	}
	if !m.hasOffset {
		m.hasOffset, m.offset = true, offset
		return 0, nil
	}
	d := offset - m.offset
	if d < minSuspension {
		return 0, nil
	}
	m.offset = offset
	return d, nil
}

// Run checks for suspensions until ctx ends. It calls report for each suspension, after adding it
// to the times of this package. On an error, it reports the error once and returns, since
// the clocks of this machine cannot be read.
func (m *SuspensionMonitor) Run(ctx context.Context, report func(d time.Duration, err error)) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		d, err := m.Check()
		if err != nil {
			report(0, err)
			return
		}
		if d > 0 {
			AddSuspension(d)
			report(d, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

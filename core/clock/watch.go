package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// lookEvery is the time between two looks: a few for each second in which beliefs may be
	// stale, at three calls of the system each.
	lookEvery = 250 * time.Millisecond
	// leastSuspension is what counts as one. Less may pass between the readings of two clocks
	// on a machine that is busy, and matters to no age.
	leastSuspension = 50 * time.Millisecond
)

// OffsetReader reads how far the machine's clock that counts suspensions is ahead of the steady
// one, and how far that may be off.
type OffsetReader func() (ahead, off time.Duration, err error)

// ReadMachineOffset reads the clocks of this machine.
func ReadMachineOffset() (ahead, off time.Duration, err error) {
	before, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, 0, err
	}
	boot, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return 0, 0, err
	}
	after, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return 0, 0, err
	}
	return boot - before, after - before, nil
}

func read(id int32) (time.Duration, error) {
	var t unix.Timespec
	err := unix.ClockGettime(id, &t)
	return time.Duration(t.Nano()), err
}

// SuspensionMonitor finds out that the machine was suspended. One is enough for a process.
type SuspensionMonitor struct {
	read  OffsetReader
	known time.Duration // how far ahead the other clock was
	begun bool
}

// NewSuspensionMonitor returns a watch by the reader.
func NewSuspensionMonitor(r OffsetReader) *SuspensionMonitor { return &SuspensionMonitor{read: r} }

// Check reports for how long the machine was suspended since the last look; 0 for not at all,
// and always the first time. A reading that may be far off is passed over.
func (w *SuspensionMonitor) Check() (time.Duration, error) {
	ahead, off, err := w.read()
	if err != nil || off > leastSuspension/2 {
		return 0, err
	}
	if !w.begun {
		w.begun, w.known = true, ahead
		return 0, nil
	}
	d := ahead - w.known
	if d < leastSuspension {
		return 0, nil
	}
	w.known = ahead
	return d, nil
}

// Run looks until ctx ends, and reports each suspension once the times of this package
// count it. An error is reported once, and ends it: the clocks cannot be read here.
func (w *SuspensionMonitor) Run(ctx context.Context, told func(d time.Duration, err error)) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for {
		d, err := w.Check()
		if err != nil {
			told(0, err)
			return
		}
		if d > 0 {
			AddSuspension(d)
			told(d, nil)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

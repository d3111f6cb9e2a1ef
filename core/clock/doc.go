// Package clock provides a clock that continues while the machine is suspended.
//
// The monotonic clock that time.Now reads stops while a machine is suspended, as a
// virtual machine is while its host migrates it. After a suspension, data received before it
// would seem recent, an expired deadline would seem to be in the future, and timers would
// continue with the time that was left before. The wall clock continues, but it may jump. The
// kernel has a third clock, CLOCK_BOOTTIME, that is monotonic and counts the time of suspension.
//
// Now returns the monotonic time plus all suspensions that a SuspensionMonitor has found, so
// that ages and deadlines computed from any two times of this package are right. Timers of this
// package (AfterFunc, SleepUntil, WithDeadline) are adjusted after a suspension. A
// SuspensionMonitor checks several times a second; until its next check, Now does not include
// the latest suspension.
//
// The process has a single offset, as its machine has a single set of clocks. Time-outs of
// single calls, of a second or two, use package context.
//
// # Usage
//
//	go clock.NewSuspensionMonitor(clock.ReadMachineOffset).Run(ctx, func(d time.Duration, err error) {
//		log("suspended", d, err)
//	})
//	deadline := clock.Now().Add(wait)
//	ctx, cancel := clock.WithDeadline(ctx, deadline) // context.Cause reports that it passed
//	age := clock.Since(receivedAt)
package clock

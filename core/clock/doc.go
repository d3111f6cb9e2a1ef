// Package clock gives the time by a clock that goes on while the machine is suspended.
//
// The steady clock that time.Now reads stands still while a machine is suspended, as a
// virtual machine is when its host moves it. What was received a moment before would seem fresh
// after, a deadline that has passed in the world seems to lie ahead, and a timer goes on with
// what was left of it. The time of day goes on, but it may jump. The kernel has a third clock,
// CLOCK_BOOTTIME, that is steady and counts the time of suspension.
//
// Now is the steady time with all suspensions added that a Watch has found, so that ages and
// deadlines between any two times of this package hold. Timers of this package (AfterFunc,
// SleepUntil, WithDeadline) look again after a suspension. A Watch looks several times a
// second; until it has looked, the times are those before the suspension.
//
// The offset is one for the process, like the clocks of its machine. Time-outs of single calls,
// of a second or two, stay with package context.
//
// # Usage
//
//	go clock.NewWatch(clock.Machine).Run(ctx, func(d time.Duration) { log("suspended", d) })
//	deadline := clock.Now().Add(wait)
//	ctx, cancel := clock.WithDeadline(ctx, deadline) // context.Cause reports that it passed
//	age := clock.Since(heard)
package clock

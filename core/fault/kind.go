// Package fault defines the closed list of error kinds of clovertrail and the table that
// maps each kind to an HTTP response.
//
// Every refusal that is returned to a caller or another process has one [Kind]. For each
// kind, the table gives the HTTP status, whether the request ran, and the text for the
// caller; the kind is the reason in counters and logs. Nothing else in the project chooses
// a status or claims that a request did not run.
//
// # Usage
//
//	err := fault.New(fault.NoTarget, "service %s has no target", name).RetryAt(when)
//	if fault.KindOf(err).Response().Ran() == fault.RanNo {
//		// the caller may be informed that the request did not run
//	}
package fault

// Kind is a member of the closed list of error kinds. Its text is the name used in
// problem+json responses, logs and counters.
type Kind string

// The kinds. A new kind needs a row in the table; TestTableCoversKinds checks that the
// constants and the table agree.
const (
	BadRequest         Kind = "bad_request"
	TooLarge           Kind = "too_large"
	Unauthenticated    Kind = "unauthenticated"
	UnknownRoute       Kind = "unknown_route"
	Overloaded         Kind = "overloaded"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	StaleIncarnation   Kind = "stale_incarnation"
	NoTarget           Kind = "no_target"
	NotSent            Kind = "not_sent"
	NotInForce         Kind = "not_in_force"
	Quarantined        Kind = "quarantined"
	Stopping           Kind = "stopping"
	SlowPeer           Kind = "slow_peer"
	FateUnknown        Kind = "fate_unknown"
	Interrupted        Kind = "interrupted"
	TargetFailed       Kind = "target_failed"
	TimedOut           Kind = "timed_out"
	Cancelled          Kind = "cancelled"
	InvalidObject      Kind = "invalid_object"
	Internal           Kind = "internal"
)

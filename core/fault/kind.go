// Package fault holds the one closed list of error kinds of clovertrail and
// the table that turns a kind into an answer.
//
// Every refusal that a caller or another process can be given is one [Kind]. The
// table gives, for each kind, which HTTP status it becomes, whether the request ran
// and which text the caller reads; the kind is the reason in counters and logs.
// Nothing else in the project chooses a status or claims that a request did not run.
//
// # Usage
//
//	err := fault.New(fault.NoTarget, "service %s has no target", name).RetryAt(when)
//	if fault.KindOf(err).Answer().Ran() == fault.RanNo {
//		// the caller may be informed that it did not run
//	}
package fault

// Kind is one member of the closed list of error kinds. Its text is the name
// used in problem answers, logs and counters.
type Kind string

// The kinds. A new one needs a row in the table; TestTableCoversKinds checks
// that both lists are the same.
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
	FateUnknown        Kind = "fate_unknown"
	Interrupted        Kind = "interrupted"
	TargetFailed       Kind = "target_failed"
	TimedOut           Kind = "timed_out"
	Cancelled          Kind = "cancelled"
	InvalidObject      Kind = "invalid_object"
	Internal           Kind = "internal"
)

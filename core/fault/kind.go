// Package fault holds the one closed list of error kinds of clovertrail and
// the table that turns a kind into an answer.
//
// Every refusal that a caller, an operator or another process can be given is
// one [Kind]. The table says, for each kind, which HTTP status and gRPC code it
// becomes, whether the request ran, whether an entry may try another target,
// which counter it raises and which text the caller reads. Nothing else in the
// project chooses a status or claims that a request did not run.
//
// # Usage
//
//	err := fault.New(fault.Draining, "target %s is leaving", id)
//	if fault.KindOf(err).Answer().Ran() == fault.RanNo {
//		// the attempt may go to another target
//	}
package fault

// Kind is one member of the closed list of error kinds. Its text is the name
// used in problem answers, logs and counters.
type Kind string

// The kinds. A new one needs a row in the table; TestTableCoversKinds checks
// that both lists are the same.
const (
	BadRequest          Kind = "bad_request"
	TooLarge            Kind = "too_large"
	HeadTooLarge        Kind = "head_too_large"
	Unauthenticated     Kind = "unauthenticated"
	UnknownRoute        Kind = "unknown_route"
	UnknownService      Kind = "unknown_service"
	RateLimited         Kind = "rate_limited"
	Overloaded          Kind = "overloaded"
	DeadlineUnmeetable  Kind = "deadline_unmeetable"
	Draining            Kind = "draining"
	StaleIncarnation    Kind = "stale_incarnation"
	StaleFence          Kind = "stale_fence"
	Fenced              Kind = "fenced"
	NoTarget            Kind = "no_target"
	NotSent             Kind = "not_sent"
	NotInForce          Kind = "not_in_force"
	DuplicateRunning    Kind = "duplicate_running"
	DuplicateDone       Kind = "duplicate_done"
	KeyOwnerUnreachable Kind = "key_owner_unreachable"
	KeyMemoryLost       Kind = "key_memory_lost"
	KeyExpired          Kind = "key_expired"
	KeyReused           Kind = "key_reused"
	FateUnknown         Kind = "fate_unknown"
	Interrupted         Kind = "interrupted"
	TargetFailed        Kind = "target_failed"
	TimedOut            Kind = "timed_out"
	Cancelled           Kind = "cancelled"
	MismatchedAnswer    Kind = "mismatched_answer"
	RetryBudgetSpent    Kind = "retry_budget_spent"
	VersionConflict     Kind = "version_conflict"
	InvalidObject       Kind = "invalid_object"
	NotFound            Kind = "not_found"
	PlatformUnavailable Kind = "platform_unavailable"
	OutcomeUnknown      Kind = "outcome_unknown"
	Internal            Kind = "internal"
)

package ending

import "time"

// Doubt is a reason why a response may be incomplete.
type Doubt string

// The reasons.
const (
	// None: nothing casts doubt on the response.
	None Doubt = ""
	// NoEvent: the stream ended without an event.
	NoEvent Doubt = "no event"
	// Silence: the stream ended long after its last event.
	Silence Doubt = "silence"
	// GroupStopped: the group of the target stopped while the box was writing to the caller.
	GroupStopped Doubt = "group stopped"
	// Deadline: the response ended at the deadline that the target was given.
	Deadline Doubt = "deadline"
)

const (
	// minSilence is the shortest silence that casts doubt on a stream. It is longer than the steps of an engine, and much
	// shorter than the time for which a group stands still before it cuts its streams.
	minSilence = 100 * time.Millisecond
	// silenceFactor is the least silence that casts doubt on a stream, as a multiple of its longest pause.
	silenceFactor = 2
	// deadlineSlack covers the rounding of the deadline that the target was given, and late timers of both sides.
	deadlineSlack = 50 * time.Millisecond
)

// Plain is what is known of a response other than a stream.
type Plain struct {
	// Left is the time until the deadline that the target was given.
	Left time.Duration
}

// Doubt returns a reason why the response may be incomplete.
func (p Plain) Doubt() Doubt {
	if p.Left < deadlineSlack {
		return Deadline
	}
	return None
}

// Stream is what is known of a stream that ended between two events.
type Stream struct {
	// Events is the number of events that the target sent.
	Events int
	// Silence is the time from the last event to the end, and Waited the part of it during which the box waited for the target,
	// and not for the caller.
	Silence, Waited time.Duration
	// LongestPause is the longest time between two events, and PauseObjective the one that the route allows; 0 if it has no
	// such limit.
	LongestPause, PauseObjective time.Duration
	// GroupInterrupted reports whether the group of the target has stopped, or formed anew, since the request was sent.
	GroupInterrupted bool
	// Left is the time until the deadline that the target was given.
	Left time.Duration
}

// Doubt returns a reason why the stream may be incomplete.
func (s Stream) Doubt() Doubt {
	usual := max(minSilence, s.PauseObjective, silenceFactor*s.LongestPause)
	switch {
	case s.Events == 0:
		return NoEvent
	case s.Left < deadlineSlack:
		return Deadline
	case s.Waited > usual:
		return Silence
	case s.Silence > usual && s.GroupInterrupted:
		return GroupStopped
	default:
		return None
	}
}

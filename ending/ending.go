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
	// Silence: the target sent nothing for long before the end, or may have, since the end arrived with the first bytes after a
	// long pause.
	Silence Doubt = "silence"
	// GroupStopped: the stream paused for long, and the group of the target has stopped since the request was sent.
	GroupStopped Doubt = "group stopped"
	// BoxPaused: the box was paused, and the connection may have ended at any time since. The target may have fallen silent, or have
	// ended and started again, before the box ran on.
	BoxPaused Doubt = "box paused"
	// Deadline: the response ended at the deadline that the target was given.
	Deadline Doubt = "deadline"
)

const (
	// minSilence is the shortest silence that casts doubt on a stream. The packet with the end of a connection is sent again
	// after 200 ms if it was lost.
	minSilence = 300 * time.Millisecond
	// maxSilence is the longest silence that casts no doubt: half of the time for which a group stands still before it cuts
	// its requests.
	maxSilence = 750 * time.Millisecond
	// silenceFactor is the least silence that casts doubt on a stream, as a multiple of its longest wait.
	silenceFactor = 2
	// deadlineSlack covers the rounding of the deadline that the target was given, and late timers of both sides.
	deadlineSlack = 50 * time.Millisecond
)

// Plain is what is known of a response other than a stream.
type Plain struct {
	// Waited is how long the box waited for the target before the end.
	Waited time.Duration
	// Left is the time until the deadline that the target was given.
	Left time.Duration
	// BoxPaused reports whether the box was paused since the request was sent.
	BoxPaused bool
}

// Doubt returns a reason why the response may be incomplete.
func (p Plain) Doubt() Doubt {
	switch {
	case p.Left < deadlineSlack:
		return Deadline
	case p.BoxPaused:
		return BoxPaused
	case p.Waited > maxSilence:
		return Silence
	default:
		return None
	}
}

// Stream is what is known of a stream that ended between two events.
type Stream struct {
	// Events is the number of events that the target sent.
	Events int
	// Waited is how long the box waited for the target between the last event and the end.
	Waited time.Duration
	// LongestWait is the longest time for which the box waited for the target between two events.
	LongestWait time.Duration
	// LongestPause is the longest time without an event, whether the box waited for the target or for its caller.
	LongestPause time.Duration
	// Stalled reports whether the box waited between two events for longer than a group that steps lets it, and SinceStall is
	// the time since the last such wait.
	Stalled    bool
	SinceStall time.Duration
	// BoxPaused reports whether the box was paused since the request was sent, and WaitedSincePause for how long it has waited for
	// the target since.
	BoxPaused        bool
	WaitedSincePause time.Duration
	// PauseObjective is the longest time between two events that the route allows; 0 if it has no such limit.
	PauseObjective time.Duration
	// Continues reports whether the stream continues one of which all events may have been sent before.
	Continues bool
	// GroupInterrupted reports whether the group of the target has stopped, or formed anew, since the target was chosen.
	GroupInterrupted bool
	// Left is the time until the deadline that the target was given.
	Left time.Duration
}

// Paused reports whether the stream paused for so long that it matters whether its group was interrupted.
func (s Stream) Paused() bool { return s.LongestPause > maxSilence }

// Doubt returns a reason why the stream may be incomplete.
func (s Stream) Doubt() Doubt {
	usual := min(max(minSilence, s.PauseObjective, silenceFactor*s.LongestWait), maxSilence)
	switch {
	case s.Left < deadlineSlack:
		return Deadline
	case s.Events == 0 && !s.Continues:
		return NoEvent
	case s.Events > 0 && s.Waited > usual:
		return Silence
	case s.Stalled && s.SinceStall < minSilence:
		return Silence
	case s.BoxPaused && s.WaitedSincePause < minSilence:
		return BoxPaused
	case s.Paused() && s.GroupInterrupted:
		return GroupStopped
	default:
		return None
	}
}

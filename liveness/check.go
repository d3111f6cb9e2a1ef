package liveness

import "time"

// Moment is a point in the order of the events that a box observes. A later one is greater.
type Moment uint64

// CallerID identifies a caller of a Check.
type CallerID uint64

// Status is what is known about a process.
type Status int

// The statuses.
const (
	// Unproven: nothing shows whether the process runs.
	Unproven Status = iota
	// Alive: the process has responded to a request that was sent after the caller's Moment.
	Alive
	// Ended: the process's box refuses connections, or another process listens at the address.
	Ended
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case Alive:
		return "alive"
	case Ended:
		return "ended"
	default:
		return "unproven"
	}
}

// Command is what a Check needs next. It is Ask, AskWitness, Pause or Finish.
type Command interface{ isCommand() }

// Ask sends a health check to the process, over an idle connection unless Fresh is set.
type Ask struct{ Fresh bool }

// AskWitness opens a connection to the witness at the address.
type AskWitness struct{ Address string }

// Pause waits until the given time.
type Pause struct{ Until time.Time }

// Finish ends the check, since no caller is waiting.
type Finish struct{}

func (Ask) isCommand()        {}
func (AskWitness) isCommand() {}
func (Pause) isCommand()      {}
func (Finish) isCommand()     {}

// Result is the answer to a caller.
type Result struct {
	Caller CallerID
	Status Status
}

const (
	// minPause and maxPause bound the pause after a connection that closed without a response, which doubles each time.
	// An ending process refuses connections once its sockets are closed, often within a millisecond. A live target that
	// resets connections since it has too many must not get many more of them.
	minPause = time.Millisecond
	maxPause = 100 * time.Millisecond
	// maxUnopened is the number of connections in a row that neither open nor are refused, after which nothing is known.
	// One packet may be lost.
	maxUnopened = 2
)

// Check finds out whether one process runs, for all callers that ask at a time.
type Check struct {
	witnesses []string
	callers   map[CallerID]Moment // by caller, when it observed the end of a connection
	results   []Result

	fresh    bool          // the next health check needs a new connection
	pause    time.Duration // after the next connection that closes without a response
	resumeAt time.Time     // end of the current pause
	unopened int           // connections in a row that neither opened nor were refused
	refused  bool          // the last connection was refused
	asked    int           // witnesses that did not accept a connection since then
	ended    bool          // the process has ended
}

// NewCheck returns a Check without callers. Without witnesses a refused connection alone counts.
func NewCheck(witnesses []string) *Check {
	return &Check{witnesses: witnesses, callers: map[CallerID]Moment{}, pause: minPause}
}

// Join adds a caller that asks whether the process was alive after the given Moment.
func (c *Check) Join(id CallerID, end Moment) {
	if c.ended {
		c.results = append(c.results, Result{id, Ended})
		return
	}
	c.callers[id] = end
}

// Leave removes a caller that no longer waits.
func (c *Check) Leave(id CallerID) { delete(c.callers, id) }

// HasEnded reports whether the process is known to have ended.
func (c *Check) HasEnded() bool { return c.ended }

// Results returns the answers since the last call, and forgets them.
func (c *Check) Results() []Result {
	list := c.results
	c.results = nil
	return list
}

// Next returns what the check needs next.
func (c *Check) Next(now time.Time) Command {
	switch {
	case len(c.callers) == 0:
		return Finish{}
	case c.refused:
		return AskWitness{c.witnesses[c.asked]}
	case now.Before(c.resumeAt):
		return Pause{c.resumeAt}
	default:
		return Ask{Fresh: c.fresh}
	}
}

// Responded records a response of the process to a request that was sent at the given Moment. Callers that observed
// the end of a connection after it need another one: the process may have ended in between.
func (c *Check) Responded(sent Moment) {
	c.fresh, c.unopened, c.pause, c.resumeAt = false, 0, minPause, time.Time{}
	for id, end := range c.callers {
		if end < sent {
			c.settle(id, Alive)
		}
	}
}

// Closed records that a connection was closed without a response to the health check. That of a process that is ending
// is reset, an idle one may have been closed before, and a live target resets connections if it has too many.
func (c *Check) Closed(now time.Time, reused bool) {
	c.fresh, c.unopened = true, 0
	if reused {
		return
	}
	c.resumeAt = now.Add(c.pause)
	c.pause = min(2*c.pause, maxPause)
}

// NoConnection records that a connection neither opened in time nor was refused.
func (c *Check) NoConnection() {
	c.fresh = true
	if c.unopened++; c.unopened >= maxUnopened {
		c.settleAll(Unproven)
	}
}

// Refused records that a connection was refused.
func (c *Check) Refused() {
	if len(c.witnesses) == 0 {
		c.finish()
		return
	}
	c.refused, c.asked = true, 0
}

// WitnessAnswered records whether the witness of the last AskWitness accepted a connection.
func (c *Check) WitnessAnswered(accepted bool) {
	if accepted {
		c.finish()
		return
	}
	if c.asked++; c.asked >= len(c.witnesses) {
		c.refused = false
		c.settleAll(Unproven)
	}
}

// Replaced records that another process responds at the address.
func (c *Check) Replaced() { c.finish() }

// finish records that the process has ended.
func (c *Check) finish() {
	c.ended, c.refused = true, false
	c.settleAll(Ended)
}

func (c *Check) settleAll(s Status) {
	c.unopened = 0
	for id := range c.callers {
		c.settle(id, s)
	}
}

func (c *Check) settle(id CallerID, s Status) {
	delete(c.callers, id)
	c.results = append(c.results, Result{id, s})
}

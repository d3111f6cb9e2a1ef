package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/ending"
	"clovertrail.dev/liveness"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/transport"
)

// errMayBeTruncated reports that a response ended with its connection and that nothing shows that it is complete.
var errMayBeTruncated = errors.New("the response ended with its connection and may be truncated")

// errCutAtDeadline reports the same of a response that ended at the deadline of its request.
var errCutAtDeadline = errors.New("the response ended with its connection at the deadline and may be truncated")

// connectionBody is the body of a response that ends with its connection.
type connectionBody struct {
	io.ReadCloser
	ended func(waited time.Duration) error // called at the end of the connection; returns an error if the response may be truncated
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	start := clock.Now()
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if truncated := b.ended(clock.Since(start)); truncated != nil {
			return n, truncated
		}
	}
	return n, err
}

// lastPause returns when the last pause of the box ended; zero if there was none. It matters only for a response that ends with its
// connection.
func (a *attempt) lastPause(resp *http.Response) time.Time {
	if !transport.EndsWithConnection(resp) {
		return time.Time{}
	}
	return a.d.g.deps.LastPause(clock.Now())
}

// plainEnded decides whether a response other than a stream is complete that ended with its connection, after the box waited for
// the end.
func (a *attempt) plainEnded(ctx context.Context, waited time.Duration) error {
	p := ending.Plain{Waited: waited, Left: clock.Until(a.d.req.deadline), BoxPaused: a.d.g.deps.LastPause(clock.Now()).After(a.sentAt)}
	return a.connectionEnded(ctx, p.Doubt(), "waited", p.Waited, "left", p.Left, "box_paused", p.BoxPaused)
}

// streamEnded decides whether a stream that ended with its connection, between two events, is complete.
func (a *attempt) streamEnded(ctx context.Context) error {
	now := clock.Now()
	s := a.arrivals.Ended(now)
	s.PauseObjective, s.Left = a.d.req.route.EventGapObjective(), a.d.req.deadline.Sub(now)
	s.Continues = a.try.Resume && a.d.endInDoubt
	s.GroupInterrupted = s.Paused() && a.lease.GroupInterrupted(now)
	return a.connectionEnded(ctx, s.Doubt(), "events", s.Events, "last_event", a.d.after, "waited", s.Waited, "longest_wait", s.LongestWait,
		"longest_pause", s.LongestPause, "stalled", s.Stalled, "box_paused", s.BoxPaused, "waited_since_pause", s.WaitedSincePause, "continues", s.Continues, "group_interrupted", s.GroupInterrupted, "left", s.Left)
}

// connectionEnded returns an error unless there is no doubt and the target's process is alive. It logs and counts what the response
// is taken for; evidence is for the log.
func (a *attempt) connectionEnded(ctx context.Context, doubt ending.Doubt, evidence ...any) error {
	reason := string(doubt)
	if doubt == ending.None {
		reason = "complete"
		if status := a.checkTarget(ctx); status != liveness.Alive {
			reason = status.String()
		}
	}
	a.d.g.deps.Common.Metrics.Count(telemetry.UnframedEnds, reason, 1)
	a.d.g.deps.Common.Log.Info("response ended with its connection", append([]any{"request", a.d.req.ID(), "target", a.lease.Target().ID(),
		"attempt", a.try.Attempt, "taken_for", reason, "after", clock.Since(a.d.req.arrived)}, evidence...)...)
	switch {
	case reason == "complete":
		return nil
	case doubt == ending.Deadline:
		return errCutAtDeadline
	default:
		return errMayBeTruncated
	}
}

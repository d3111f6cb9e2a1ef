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
)

// errMayBeTruncated reports that a response ended with its connection and that nothing shows that it is complete.
var errMayBeTruncated = errors.New("the response ended with its connection and may be truncated")

// endsWithConnection reports whether the body of the response has neither a length nor chunks, so that only the end of the
// connection shows its end.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// connectionBody is the body of a response that ends with its connection.
type connectionBody struct {
	io.ReadCloser
	ended func() error // called at the end of the connection; returns an error if the response may be truncated
}

// Read implements io.Reader.
func (b *connectionBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if truncated := b.ended(); truncated != nil {
			return n, truncated
		}
	}
	return n, err
}

// plainEnded decides whether a response that ended with its connection is complete.
func (a *attempt) plainEnded(ctx context.Context) error {
	return a.connectionEnded(ctx, ending.Plain{Left: a.d.req.deadline.Sub(clock.Now())}.Doubt())
}

// streamEnded decides whether a stream that ended with its connection, between two events, is complete. waitedSince is when
// the box began to wait for more of it.
func (a *attempt) streamEnded(ctx context.Context, waitedSince time.Time) error {
	now := clock.Now()
	s := ending.Stream{
		Events: a.events, Silence: now.Sub(a.lastEventsAt), Waited: now.Sub(waitedSince),
		LongestPause: a.longestGap, PauseObjective: a.d.req.route.EventGapObjective(),
		GroupInterrupted: a.lease.GroupInterrupted(now), Left: a.d.req.deadline.Sub(now),
	}
	doubt := s.Doubt()
	a.d.g.deps.Common.Log.Info("stream ended with its connection", "request", a.d.req.ID(), "target", a.lease.Target().ID(), "attempt", a.try.Attempt,
		"doubt", doubt, "events", s.Events, "last_event", a.d.after, "silence", s.Silence, "waited", s.Waited, "longest_pause", s.LongestPause,
		"group_interrupted", s.GroupInterrupted, "left", s.Left, "after", now.Sub(a.d.req.arrived))
	return a.connectionEnded(ctx, doubt)
}

// connectionEnded returns an error unless there is no doubt and the target's process is alive, and counts the end.
func (a *attempt) connectionEnded(ctx context.Context, doubt ending.Doubt) error {
	reason := string(doubt)
	if doubt == ending.None {
		status := a.checkTarget(ctx)
		if status == liveness.Alive {
			a.d.g.deps.Common.Metrics.Count(telemetry.UnframedEnds, "complete", 1)
			return nil
		}
		reason = status.String()
	}
	a.d.g.deps.Common.Metrics.Count(telemetry.UnframedEnds, reason, 1)
	return errMayBeTruncated
}

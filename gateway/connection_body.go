package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/liveness"
	"clovertrail.dev/telemetry"
)

// endsWithConnection reports whether the body of the response has neither a length nor chunks, so that only the end of the
// connection shows its end.
func endsWithConnection(r *http.Response) bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// connectionBody is the body of a response that ends with its connection. The connection of a target whose process ended closes
// in the same way, so that the response is truncated unless the target is alive afterwards.
type connectionBody struct {
	io.ReadCloser
	ended func() error // called at the end of the connection; returns why the response is truncated
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

// connectionEnded decides whether a response that ended with its connection is complete, and logs what that is based on.
func (a *attempt) connectionEnded(ctx context.Context) error {
	now := clock.Now()
	interrupted := a.lease.GroupInterrupted(now)
	status := a.checkTarget(ctx)
	var err error
	reason := "complete"
	if status != liveness.Alive {
		err, reason = errTruncated, status.String()
	}
	a.d.g.deps.Common.Metrics.Count(telemetry.UnframedEnds, reason, 1)
	a.d.g.deps.Common.Log.Info("response ended with its connection", "request", a.d.req.ID(), "target", a.lease.Target().ID(), "attempt", a.try.Attempt,
		"counted_as", reason, "process", status, "group_interrupted", interrupted, "events", a.d.events, "last_event", a.d.after,
		"silence", a.silence(now), "longest_pause", a.longestGap, "left", a.d.req.deadline.Sub(now), "after", now.Sub(a.d.req.arrived))
	return err
}

// silence returns the time since the last events of the stream, or since the request was sent.
func (a *attempt) silence(now time.Time) time.Duration {
	if a.lastEventsAt.IsZero() {
		return now.Sub(a.sentAt)
	}
	return now.Sub(a.lastEventsAt)
}

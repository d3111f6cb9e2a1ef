package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/retry"
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// mostEvent bounds one event of a stream; the largest are some hundred bytes.
const mostEvent = 1 << 20

var errEvent = errors.New("an event is longer than allowed")

// stream passes on whole events as they come, so that one that breaks off never
// reaches the caller, and remembers the last.
func (a *attempt) stream(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	d := a.d
	flush := http.NewResponseController(d.w)
	buf := make([]byte, 0, 1<<10)
	for {
		buf = room(buf)
		n, err := resp.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if end := bytes.LastIndex(buf, eventEnd); end >= 0 {
			whole := buf[:end+len(eventEnd)]
			a.passEvents(resp, whole)
			if err := flush.Flush(); err != nil {
				return a.broken(ctx, err, true)
			}
			buf = buf[:copy(buf, buf[len(whole):])]
			if a.toMove(clock.Now()) {
				return retry.Moved{}, Neutral
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(buf) == 0:
			a.beginOnce(resp)
			return retry.Answered{}, Good
		case errors.Is(err, io.EOF):
			return a.broken(ctx, errShort, d.began)
		case err != nil:
			return a.broken(ctx, err, d.began)
		case len(buf) > mostEvent:
			return a.broken(ctx, errEvent, d.began)
		}
	}
}

// room makes sure that something can be read behind what is buffered.
func room(buf []byte) []byte {
	if len(buf) < cap(buf) {
		return buf
	}
	return append(buf, 0)[:len(buf)]
}

// passEvents writes whole events. The first of an order brings the head; an answer
// that takes up another keeps the other's.
func (a *attempt) passEvents(resp *http.Response, whole []byte) {
	a.beginOnce(resp)
	d := a.d
	a.notePause(clock.Now())
	d.noteEvents(clock.Now(), bytes.Count(whole, eventEnd))
	if id := lastID(whole); id != nil {
		d.after = string(id)
	}
	_, _ = d.w.Write(whole) // a caller that is gone is noticed when it is flushed
}

// notePause reports the time since the attempt's last events.
func (a *attempt) notePause(now time.Time) {
	if !a.last.IsZero() {
		a.pause = now.Sub(a.last)
		a.lease.Paused(a.pause, a.d.o.route.GapAim())
	}
	a.last = now
}

// toMove reports whether the stream goes on at another target, which is paid for then:
// its events come too late, and that is this target's fault.
func (a *attempt) toMove(now time.Time) bool {
	aim := a.d.o.route.GapAim()
	return a.try.Movable && aim > 0 && a.pause > aim && a.lease.Drags(now, a.d.tried) && a.d.purse.SpendRetry(now)
}

// noteEvents counts events that came now.
func (d *delivery) noteEvents(now time.Time, n int) {
	if d.events > 0 {
		d.pause = max(d.pause, now.Sub(d.last))
	}
	d.events += n
	d.last = now
}

// beginOnce writes the head unless the caller has one already.
func (a *attempt) beginOnce(resp *http.Response) {
	a.began()
	if a.d.began {
		return
	}
	answerHeaders(a.d.w.Header(), resp.Header)
	a.d.begin(resp.StatusCode)
}

// begin writes the head of the answer.
func (d *delivery) begin(status int) {
	d.began, d.status = true, status
	d.first = clock.Now()
	d.w.WriteHeader(status)
}

// lastID is the id of the last event that has one.
func lastID(events []byte) []byte {
	at := bytes.LastIndex(events, append([]byte("\n"), idField...))
	switch {
	case at >= 0:
		events = events[at+1:]
	case !bytes.HasPrefix(events, idField):
		return nil
	}
	line, _, _ := bytes.Cut(events[len(idField):], []byte("\n"))
	return bytes.TrimSpace(line)
}

package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"clovertrail.dev/retry"
)

// heldBytes is how much of an answer is read before any of it is passed on. An
// answer that breaks off within it can be asked for again; it fits all but the
// largest answers of plain services.
const heldBytes = 64 << 10

// answer is an answer that was read whole, or its beginning.
type answer struct {
	resp *http.Response
	body []byte
}

// errShort reports that less came than was announced.
var errShort = errors.New("the answer ended early")

// plain reads the answer and passes it on once it is whole, or longer than is held.
func (a *attempt) plain(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	body, whole, err := readHeld(resp)
	if err != nil {
		return a.broken(ctx, err, false)
	}
	a.began()
	held := &answer{resp: resp, body: body}
	if whole {
		held.pass(a.d)
		return retry.Answered{}, Good
	}
	held.passHead(a.d)
	if _, err := io.Copy(a.d.w, resp.Body); err != nil {
		return a.broken(ctx, err, true)
	}
	return retry.Answered{}, Good
}

// failed keeps the answer, which is passed on if there is no other attempt.
func (a *attempt) failed(ctx context.Context, resp *http.Response) (retry.Outcome, Verdict) {
	body, whole, err := readHeld(resp)
	if err != nil || !whole {
		return a.broken(ctx, errors.Join(err, errShort), false)
	}
	a.d.held = &answer{resp: resp, body: body}
	return retry.Failed{Status: resp.StatusCode}, Bad
}

// readHeld reads up to heldBytes, and reports whether that was all.
func readHeld(resp *http.Response) (body []byte, whole bool, err error) {
	size := int64(heldBytes)
	if n := resp.ContentLength; n >= 0 && n < size {
		size = n
	}
	body = make([]byte, 0, min(size, 4<<10)+1)
	for len(body) < heldBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// pass writes a whole answer.
func (x *answer) pass(d *delivery) {
	if d.w.Header().Get("Content-Length") == "" && x.resp.ContentLength < 0 {
		x.resp.Header.Del("Content-Length")
	}
	x.passHead(d)
}

// passHead writes the head and what is held of the body.
func (x *answer) passHead(d *delivery) {
	answerHeaders(d.w.Header(), x.resp.Header)
	d.begin(x.resp.StatusCode)
	_, _ = d.w.Write(x.body) // a caller that is gone is noticed by its context
}

// broken ends an attempt whose answer broke off.
func (a *attempt) broken(ctx context.Context, err error, passed bool) (retry.Outcome, Verdict) {
	if ctx.Err() != nil && !passed {
		return retry.Expired{}, Neutral
	}
	v := Bad
	if ctx.Err() != nil {
		v = Neutral
	}
	return retry.Broken{Err: err, Forwarded: passed}, v
}

package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/core/urgency"
)

// inboundRequest is a caller's request with its route, service and organisation. If a check of the
// request fails, the fields that later steps would set stay zero.
type inboundRequest struct {
	call.Request
	http     *http.Request
	arrived  time.Time
	deadline time.Time // time by which the whole response has to be sent
	version  catalog.Version
	route    catalog.Route
	service  domain.ServiceName
	org      catalog.Organisation
	class    urgency.Class
	body     []byte
	work     call.Work // zero until the body has been read
}

// unconfiguredRetryDelay is the time after which a caller can retry at a box that has no
// configuration yet. A box that has just started usually has one by then.
const unconfiguredRetryDelay = time.Second

// intake parses and validates a request. The returned request is never nil, so that a refusal
// can be logged with the fields known so far.
func (g *Gateway) intake(now time.Time, w http.ResponseWriter, r *http.Request, hold *holding, conn callerConn) (*inboundRequest, error) {
	req := &inboundRequest{http: r, arrived: now}
	parsed, err := g.deps.Headers.ParseRequest(now, r)
	if err != nil {
		return req, err
	}
	req.Request = parsed
	c := g.Catalog()
	if c == nil {
		return req, fault.New(fault.NotInForce, "this box has not received a configuration yet").RetryAt(now.Add(unconfiguredRetryDelay))
	}
	if err := g.authorize(req, c); err != nil {
		return req, err
	}
	conn.readUntil(req.deadline)
	if req.body, err = readBody(w, r, c.Limits().BodyBytes, hold); err != nil {
		return req, err
	}
	conn.readUntil(time.Time{})
	digest := call.DigestOf(req.org.Name, r.Method, r.URL.RequestURI(), req.body)
	req.work = call.NewWork(digest, req.service, req.Prompt())
	return req, nil
}

// authorize finds the route and the organisation of the request, and sets its service and deadline.
func (g *Gateway) authorize(req *inboundRequest, c *catalog.Catalog) error {
	req.version = c.Version()
	route, ok := c.Match(req.Host(), req.Path())
	if !ok {
		return fault.New(fault.UnknownRoute, "no route for %s%s in configuration %d", req.Host(), req.Path(), c.Version())
	}
	req.route = route
	req.org, ok = c.Organisation(req.Key())
	if !ok && !route.Public() {
		return fault.New(fault.Unauthenticated, "route %s: no organisation has the key in configuration %d", route.Name(), c.Version())
	}
	req.service = route.SelectService(g.random())
	req.class = c.Class(req.service, route, req.org)
	req.deadline = req.arrived.Add(route.Timeout())
	if d := req.Deadline(); !d.IsZero() && d.Before(req.deadline) {
		req.deadline = d
	}
	return nil
}

// maxBodyStep is the number of bytes of a body that are read before room for more is needed.
const maxBodyStep = 64 << 10

// readBody reads the whole body into memory, because further attempts send it again.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, hold *holding) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, fault.New(fault.TooLarge, "request body of %d bytes exceeds the limit of %d", r.ContentLength, maxBytes)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	limited := http.MaxBytesReader(w, r.Body, maxBytes)
	var b bytes.Buffer
	for {
		step := int64(maxBodyStep)
		if r.ContentLength >= 0 {
			step = min(step, r.ContentLength-int64(b.Len())+1) // one more byte finds the end
		}
		if err := hold.reserve(r.Context(), step); err != nil {
			return nil, err
		}
		var n int64
		var err error
		hold.transfer(func() { n, err = io.CopyN(&b, limited, step) })
		switch {
		case errors.Is(err, io.EOF):
			hold.shrink(step - n)
			return b.Bytes(), nil
		case err != nil:
			return nil, bodyError(err, maxBytes)
		}
	}
}

// bodyError returns the refusal of a request whose body could not be read.
func bodyError(err error, maxBytes int64) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return fault.New(fault.TooLarge, "request body exceeds the limit of %d bytes", maxBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.SlowPeer, "the caller did not send the whole request body in time")
	default:
		return fault.New(fault.BadRequest, "reading the request body: %v", err)
	}
}

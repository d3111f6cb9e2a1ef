package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
)

// order is a request that was taken in.
type order struct {
	call.Request
	http     *http.Request
	arrived  time.Time
	deadline time.Time // of the final answer
	version  catalog.Version
	route    catalog.Route
	service  domain.ServiceName
	org      catalog.Organisation
	body     []byte
	digest   call.Digest // empty until the body was read
}

// configuredWithin is after how long a caller comes back to a box that has no configuration yet: one
// that has just started usually has it by then.
const configuredWithin = time.Second

// intake finds out what the request is and whether it may be served. The order is
// never nil, so that a refusal can be logged with what is known.
func (g *Gateway) intake(now time.Time, w http.ResponseWriter, r *http.Request) (*order, error) {
	o := &order{http: r, arrived: now}
	req, err := g.parts.Speech.Request(now, r)
	if err != nil {
		return o, err
	}
	o.Request = req
	c := g.Catalog()
	if c == nil {
		return o, fault.New(fault.NotInForce, "no configuration is known yet").RetryAt(now.Add(configuredWithin))
	}
	if err := g.admit(o, c); err != nil {
		return o, err
	}
	if o.body, err = readBody(w, r, c.Limits().BodyBytes); err != nil {
		return o, err
	}
	o.digest = call.DigestOf(o.org.Name, r.Method, r.URL.RequestURI(), o.body)
	return o, nil
}

// admit finds the route and checks the key.
func (g *Gateway) admit(o *order, c *catalog.Catalog) error {
	o.version = c.Version()
	route, ok := c.Match(o.Host(), o.Path())
	if !ok {
		return fault.New(fault.UnknownRoute, "no route for %s%s in configuration %d", o.Host(), o.Path(), c.Version())
	}
	o.route = route
	o.org, ok = c.Organisation(o.Key())
	if !ok && !route.Public() {
		return fault.New(fault.Unauthenticated, "route %s: no organisation has the key in configuration %d", route.Name(), c.Version())
	}
	o.service = route.SelectService(g.draw())
	o.deadline = o.arrived.Add(route.Timeout())
	if d := o.Deadline(); !d.IsZero() && d.Before(o.deadline) {
		o.deadline = d
	}
	return nil
}

// readBody reads the whole body: it may have to be sent more than once.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength > most {
		return nil, fault.New(fault.TooLarge, "%d bytes, %d are allowed", r.ContentLength, most)
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	var b bytes.Buffer
	if r.ContentLength > 0 {
		b.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&b, http.MaxBytesReader(w, r.Body, most))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, fault.New(fault.TooLarge, "more than the allowed %d bytes", most)
	case err != nil:
		return nil, fault.New(fault.BadRequest, "reading the body: %v", err)
	}
	return b.Bytes(), nil
}

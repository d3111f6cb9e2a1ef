package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/fault"
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title  string     `json:"title"`
	Status int        `json:"status"`
	Kind   fault.Kind `json:"kind"`
	Ran    fault.Ran  `json:"ran"`
}

// refuse answers with the status and the text of the error's kind (core/fault/table.go).
func (g *Gateway) refuse(w http.ResponseWriter, req *inboundRequest, err error) {
	kind := fault.KindOf(err)
	a := kind.Response()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if f := fault.Find(err); f != nil && a.Ran() == fault.RanNo && !f.RetryTime().IsZero() {
		h.Set("Retry-After", seconds(clock.Until(f.RetryTime())))
	}
	raw, _ := json.Marshal(problem{Title: a.Text(), Status: a.Status(), Kind: kind, Ran: a.Ran()}) // cannot fail: strings and an integer
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(a.Status())
	_, _ = w.Write(raw) // an error means that the caller has left
	g.logRefused(req, err)
}

// seconds formats a time for the Retry-After header, in seconds and at least one millisecond.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}

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

// refuse answers with the error's row of the table.
func (g *Gateway) refuse(w http.ResponseWriter, o *order, err error) {
	kind := fault.KindOf(err)
	a := kind.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if f := fault.Find(err); f != nil && a.Ran() == fault.RanNo && !f.When().IsZero() {
		h.Set("Retry-After", seconds(clock.Until(f.When())))
	}
	raw, _ := json.Marshal(problem{Title: a.Text(), Status: a.Status(), Kind: kind, Ran: a.Ran()}) // plain fields
	h.Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(a.Status())
	_, _ = w.Write(raw) // a caller that is gone needs no answer
	g.refused(o, err)
}

// seconds writes a wait as the header wants it; the smallest is a millisecond.
func seconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, time.Millisecond).Seconds(), 'f', 3, 64)
}

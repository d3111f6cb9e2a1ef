package fairshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"clovertrail.dev/admission/fairshare"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/urgency"
)

const (
	service  = domain.ServiceName("model")
	simStep  = 10 * time.Millisecond
	fanout   = 8                // boxes that a box sends its counts to
	perBox   = 5.0              // requests a second that a box sees at the usual rates
	overload = 45 * time.Second // when requests are refused from; the usual rates are known by then
)

var (
	class   urgency.Class
	started = time.Unix(1_800_000_000, 0)
)

// organisation is an organisation with its requests a second to all boxes, before the overload and in it.
type organisation struct {
	name          domain.OrganisationName
	usual, during float64
}

// equal returns n organisations at their usual rates, which add up to rate.
func equal(prefix string, n int, rate float64) []organisation {
	list := make([]organisation, n)
	for i := range list {
		list[i] = organisation{domain.OrganisationName(fmt.Sprint(prefix, i)), rate / float64(n), rate / float64(n)}
	}
	return list
}

// fleet is a set of boxes that exchange counts once a second. Requests arrive at random boxes. In the
// overload as many are admitted as come at the usual rates, and the share least is refused at least.
type fleet struct {
	rand      *rand.Rand
	boxes     []*fairshare.Shares
	orgs      []organisation
	least     float64
	hearUntil time.Duration // when messages between boxes stop
}

func newFleet(seed uint64, boxes int, orgs []organisation) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), orgs: orgs, hearUntil: math.MaxInt64}
	for range boxes {
		f.boxes = append(f.boxes, fairshare.New())
	}
	return f
}

// refuse returns the share of requests that must be refused in the overload.
func (f *fleet) refuse() float64 {
	usual, during := 0.0, 0.0
	for _, o := range f.orgs {
		usual += o.usual
		during += o.during
	}
	return max(f.least, 1-usual/during)
}

// run plays the load until the given time after the beginning of the overload, and returns the outcome of
// the requests after from.
func (f *fleet) run(from, until time.Duration) outcome {
	out := outcome{}
	for at := time.Duration(0); at < overload+until; at += simStep {
		now := started.Add(at)
		for i, b := range f.boxes {
			if (at+time.Duration(i)*simStep)%time.Second == 0 {
				f.send(i, at, now, b.Own(now))
			}
		}
		for _, o := range f.orgs {
			rate, refuse := o.usual, 0.0
			if at >= overload {
				rate, refuse = o.during, f.refuse()
			}
			for range f.arrivals(rate * simStep.Seconds()) {
				b := f.boxes[f.rand.IntN(len(f.boxes))]
				b.Requested(now, service, class, o.name)
				if p := b.Factor(now, service, class, o.name, refuse); at >= overload+from {
					out[o.name] = tally{out[o.name].requests + 1, out[o.name].refused + p}
				}
			}
		}
	}
	return out
}

// arrivals draws a Poisson number.
func (f *fleet) arrivals(mean float64) int {
	n := 0
	for p := f.rand.Float64(); p > math.Exp(-mean); p *= f.rand.Float64() {
		n++
	}
	return n
}

// send sends the counts of box i to some others.
func (f *fleet) send(i int, at time.Duration, now time.Time, counts []fairshare.Count) {
	if at >= f.hearUntil {
		return
	}
	for _, k := range f.rand.Perm(len(f.boxes) - 1)[:min(fanout, len(f.boxes)-1)] {
		f.boxes[(i+1+k)%len(f.boxes)].Receive(now, domain.BoxID(fmt.Sprint(i)), counts)
	}
}

// tally are the requests of an organisation, and how many of them are expected to be refused.
type tally struct{ requests, refused float64 }

// outcome is the result of a run by organisation.
type outcome map[domain.OrganisationName]tally

// refused returns the refused share of the requests of the organisations whose names begin with the prefix.
func (o outcome) refused(prefix string) float64 {
	var sum tally
	for name, t := range o {
		if strings.HasPrefix(string(name), prefix) {
			sum = tally{sum.requests + t.requests, sum.refused + t.refused}
		}
	}
	return sum.refused / max(sum.requests, 1)
}

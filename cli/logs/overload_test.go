package logs_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/cli/logs"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/core/urgency"
)

// shedLine returns the line of a request that a limiter refused, with the error as boxes make it.
func shedLine(request string, class urgency.Class) string {
	r := admission.Refusal{Group: "g0", Class: class, State: admission.State{Thresholds: admission.NewThresholds(0.8), Load: 0.75, Objective: 120 * time.Millisecond}}
	return fmt.Sprintf("time=2026-05-31T06:24:01.000Z level=WARN msg=\"request refused\" box=front-1 request=%s service=s class=%v kind=overloaded err=%q after=1ms\n",
		request, class, fault.New(fault.Overloaded, "%v", r))
}

// overloadLog has refusals at a limit, one for another reason, and waits with each kind of end.
func overloadLog() string {
	classes := urgency.NewClasses([]urgency.Priorities{{Route: 1}, {Route: 2}, {Route: 3}})
	second, third := classes.Of(urgency.Priorities{Route: 2}), classes.Of(urgency.Priorities{Route: 3})
	return shedLine("a", third) + shedLine("b", third) + shedLine("c", second) +
		`time=2026-05-31T06:24:01.100Z level=WARN msg="request refused" box=front-1 request=d service=s class=0/3 kind=overloaded err="overloaded: clovertrail: it would wait 2s" after=1ms
time=2026-05-31T06:24:02.000Z level=INFO msg="request queued" box=front-1 request=e service=s class=0/3 place=1 leaves_in=2s
time=2026-05-31T06:24:02.000Z level=INFO msg="request queued" box=front-1 request=f service=s class=1/3 place=2 leaves_in=2s
time=2026-05-31T06:24:02.000Z level=INFO msg="request queued" box=front-1 request=g service=s class=2/3 place=3 leaves_in=2s
time=2026-05-31T06:24:02.400Z level=INFO msg="queued request released" box=front-1 request=e service=s waited=400ms leaves_in=1.6s
time=2026-05-31T06:24:02.500Z level=INFO msg="queued request refused" box=front-1 request=f service=s reason=displaced waited=500ms leaves_in=1.5s
time=2026-05-31T06:24:03.200Z level=INFO msg="caller left" box=front-1 request=g service=s after=1.3s
`
}

// TestExplainOfOverload guards against a cause that does not state why this caller was refused and others were
// not, and one that hides that a caller left while it waited.
func TestExplainOfOverload(t *testing.T) {
	set := read(t, overloadLog())
	for request, want := range map[string]string{
		"c": "; it was a new caller of class 1/3, and group g0 has a load of 0.750 of its slots and a limit of 0.800; callers of class 1/3 are refused from ",
		"e": "; it was queued for 400ms until its group was open, at first in place 1",
		"f": "; it was queued for 500ms for its group to open, and refused as displaced, at first in place 2",
		"g": "the caller left before it was answered; it was queued for 1.2s until the last line, at first in place 3",
	} {
		if x, err := logs.Explain(set, request); err != nil || !strings.Contains(x.Cause(), want) {
			t.Errorf("request %s: got cause %q, error %v; want %q in it", request, x.Cause(), err, want)
		}
	}
	if x, err := logs.Explain(set, "d"); err != nil || strings.Contains(x.Cause(), "new caller") {
		t.Errorf("a refusal for another reason: got cause %q, error %v", x.Cause(), err)
	}
}

// TestReportOfOverload guards against refusals for other reasons that count as shedding, and waits without an
// outcome that are passed over.
func TestReportOfOverload(t *testing.T) {
	r := logs.NewReport(read(t, overloadLog()))
	if got := fmt.Sprint(r.Shed()); got != "[{2/3 2} {1/3 1}]" {
		t.Errorf("got refusals by class %s", got)
	}
	if got := fmt.Sprint(r.QueueOutcomes()); got != "[{refused as displaced 1} {released 1} {left by the caller, or still waiting 1}]" {
		t.Errorf("got outcomes of the queue %s", got)
	}
}

// TestSkewBySecond guards against a skew that ends with the second of its line, that a change which was not
// committed lowers, or that another group hides, and against values that cannot be plotted.
func TestSkewBySecond(t *testing.T) {
	const log = `time=2026-05-31T06:24:00.000Z level=INFO msg=started box=side-1
time=2026-05-31T06:24:01.100Z level=INFO msg="map proposed" box=side-1 group=g0 skew=2.5 expected=1.25
time=2026-05-31T06:24:02.100Z level=INFO msg="map change ended" box=side-1 group=g0 end=aborted
time=2026-05-31T06:24:04.100Z level=INFO msg="map proposed" box=side-1 group=g0 skew=2 expected=1.25
time=2026-05-31T06:24:04.200Z level=INFO msg="map proposed" box=side-2 group=g1 skew=1.5 expected=1
time=2026-05-31T06:24:04.600Z level=INFO msg="map change ended" box=side-1 group=g0 end=committed
time=2026-05-31T06:24:06.000Z level=INFO msg="map change ended" box=side-2 group=g1 end=committed
time=2026-05-31T06:24:07.000Z level=INFO msg="map change ended" box=side-3 group=g2 end=committed
time=2026-05-31T06:24:08.000Z level=INFO msg="map proposed" box=side-1 group=g2 skew=NaN expected=+Inf
time=2026-05-31T06:24:08.100Z level=INFO msg="map change ended" box=side-3 group=g2 end=committed
time=2026-05-31T06:24:09.000Z level=INFO msg=stopped box=side-1
`
	r := logs.NewReport(read(t, log))
	var got []float64
	for _, s := range r.Seconds() {
		got = append(got, s.Skew)
	}
	if want := "[0 2.5 2.5 2.5 2.5 1.5 1.5 1.25 1.25 1.25]"; fmt.Sprint(got) != want {
		t.Errorf("got skew by second %v, want %s", got, want)
	}
	plots := r.TextPlots(40)
	if last := plots[len(plots)-1]; !strings.Contains(last, "highest skew of a group") || !strings.Contains(last, "2.5 ") {
		t.Errorf("got plot %s", last)
	}
	if err := r.WriteSVG(&strings.Builder{}); err != nil {
		t.Error(err)
	}
}

package admission_test

import (
	"testing"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/domain"
)

// overloaded returns limiters of which group g is loaded far above its limit, and the time.
func overloaded() (*admission.Limiters, time.Time) {
	l, now := admission.NewLimiters(), start
	for now.Sub(start) < 3*time.Second {
		now = now.Add(118 * time.Millisecond)
		l.ObserveGap(now, "g", 118*time.Millisecond, gapObjective)
		l.ObserveGap(now, "", 118*time.Millisecond, gapObjective)
		l.ObserveGap(now, "plain", 118*time.Millisecond, 0)
		l.ObserveLoad(now, "g", 1, admission.Load{Requests: 180, Slots: 100})
	}
	return l, now
}

// TestAdmitRefusesNewCallersOnly guards against refusals of callers that were refused before, of all callers, or
// of requests to targets that do not step together or whose route has no objective.
func TestAdmitRefusesNewCallersOnly(t *testing.T) {
	l, now := overloaded()
	for name, tc := range map[string]struct {
		group  domain.GroupName
		caller admission.Caller
		random float64
		want   bool
	}{
		"a new caller":               {"g", admission.Caller{Remaining: callerTime}, 0.5, false},
		"one new caller in 20":       {"g", admission.Caller{Remaining: callerTime}, 0.96, true},
		"a returning caller":         {"g", admission.Caller{Remaining: 5 * time.Second, Returning: true}, 0, true},
		"a target without a group":   {"", admission.Caller{Remaining: callerTime}, 0, true},
		"a group without objectives": {"plain", admission.Caller{Remaining: callerTime}, 0, true},
	} {
		if _, ok := l.Admit(now, tc.group, tc.caller, tc.random); ok != tc.want {
			t.Errorf("%s: admitted %v, want %v", name, ok, tc.want)
		}
	}
}

// TestChangesAreReportedOnce guards against a log line for each refusal, and against a begin without an end.
func TestChangesAreReportedOnce(t *testing.T) {
	l, now := overloaded()
	var list []admission.Change
	for i := range 100 {
		if now = now.Add(200 * time.Millisecond); i < 30 {
			l.ObserveGap(now, "g", 118*time.Millisecond, gapObjective)
			l.ObserveLoad(now, "g", 1, admission.Load{Requests: 180, Slots: 100})
			l.Admit(now, "g", admission.Caller{Class: class(2-i%2, 3), Remaining: callerTime}, 0.5)
		}
		list = append(list, l.Changes(now)...)
	}
	if len(list) != 2 || list[0].Ended || !list[1].Ended || list[1].Shedding.Refused != 30 || list[1].Shedding.From != class(1, 3) {
		t.Errorf("changes %+v", list)
	}
	if limits := l.Limits(now); limits["g"] != 1 {
		t.Errorf("limits %v without gaps", limits)
	}
}

// BenchmarkAdmit measures a decision, with the load and a gap that come with it.
func BenchmarkAdmit(b *testing.B) {
	l, now := overloaded()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.ObserveGap(now, "g", 118*time.Millisecond, gapObjective)
		l.ObserveLoad(now, "g", 1, admission.Load{Requests: 180, Slots: 100})
		l.Admit(now, "g", admission.Caller{Remaining: callerTime}, 0.5)
	}
}

package admission_test

import (
	"time"

	"clovertrail.dev/admission"
)

// unlimited refuses nobody.
type unlimited struct{}

func newUnlimited() policy { return unlimited{} }

func (unlimited) ObserveGap(time.Time, time.Duration) {}
func (unlimited) Admit(time.Time, admission.Caller, admission.Load, float64) (time.Duration, bool) {
	return 0, true
}

// limited uses the limiters of the product.
type limited struct{ *admission.Limiters }

func newLimited() policy { return limited{admission.NewLimiters()} }

func (x limited) ObserveGap(now time.Time, gap time.Duration) {
	x.Limiters.ObserveGap(now, "g", gap, gapObjective)
}

func (x limited) Admit(now time.Time, c admission.Caller, l admission.Load, random float64) (time.Duration, bool) {
	x.ObserveLoad(now, "g", 1, l)
	r, ok := x.Limiters.Admit(now, "g", c, random)
	return r.RetryAfter, ok
}

// aimd reduces the limit by a tenth when a gap exceeds the objective, at most once in half a second, and
// else raises it by a twentieth of the slots a second.
type aimd struct {
	limit                  float64
	changedAt, decreasedAt time.Time
	appointments           *admission.Appointments
}

func newAIMD() policy { return &aimd{limit: 1, appointments: admission.NewAppointments()} }

func (a *aimd) ObserveGap(now time.Time, gap time.Duration) {
	switch {
	case gap <= gapObjective:
		a.limit = min(a.limit+0.05*min(now.Sub(a.changedAt), time.Second).Seconds(), 1)
	case now.Sub(a.decreasedAt) > 500*time.Millisecond:
		a.limit, a.decreasedAt = max(0.9*a.limit, 0.5), now
	}
	a.changedAt = now
}

func (a *aimd) Admit(now time.Time, c admission.Caller, l admission.Load, random float64) (time.Duration, bool) {
	share := admission.NewThresholds(a.limit).RefusedShare(c.Class, float64(l.Requests)/float64(l.Slots))
	if a.limit == 1 || c.Returning || l.Age > 1500*time.Millisecond || random >= share {
		return 0, true
	}
	return a.appointments.Assign(now, c.Remaining, c.Class, random/share), false
}

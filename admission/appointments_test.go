package admission_test

import (
	"testing"
	"time"

	"clovertrail.dev/admission"
	"clovertrail.dev/core/urgency"
)

var start = time.Unix(1000, 0)

// TestAppointmentsAreEven guards against refused callers that return together, later than they honour, or
// before more urgent ones.
func TestAppointmentsAreEven(t *testing.T) {
	for _, n := range []int{1, 3} {
		a := admission.NewAppointments()
		var mean [3]time.Duration
		bins := map[time.Duration]int{}
		for i := range 240 {
			now := start.Add(time.Duration(i/60) * time.Millisecond)
			c := class(i%n, n)
			after := a.Assign(now, fullTime, c, float64(i*37%240)/240)
			if after < fullTime/6 || after > fullTime/3 {
				t.Fatalf("class %v: after %v of %v", c, after, fullTime)
			}
			mean[i%n] += after / time.Duration(240/n)
			bins[after.Truncate(100*time.Millisecond)]++
		}
		for at, count := range bins {
			if count > 30 { // 240 callers in 13 bins of 100 ms
				t.Errorf("%d classes: %d callers return after %v", n, count, at)
			}
		}
		if n > 1 && (mean[0] > mean[1]-200*time.Millisecond || mean[1] > mean[2]-200*time.Millisecond) {
			t.Errorf("classes return after %v", mean)
		}
	}
	for _, remaining := range []time.Duration{-time.Second, 0, 1, time.Millisecond, 200 * time.Millisecond, time.Hour} {
		if after := admission.NewAppointments().Assign(start, remaining, urgency.Class{}, 0.999); after > max(remaining/3, 0) {
			t.Errorf("after %v of %v", after, remaining)
		}
	}
}

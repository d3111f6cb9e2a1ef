package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// endUnder adds the end of the nth target under 24 requests, each of which has twelve parts that others have had too, and four
// of its own.
func endUnder(r *quarantine.Register, n int) (now time.Time) {
	now = begin.Add(time.Duration(n) * 100 * time.Millisecond)
	id := domain.InstanceID(fmt.Sprint("t", n))
	for i := range 24 {
		r.Observe(now, quarantine.Observation{Digest: call.Digest(fmt.Sprint("work-", n, "-", i)), Target: id, At: now})
		for j := range 16 {
			part := fmt.Sprint("common-", (n*5+i*12+j)%200)
			if j >= 12 {
				part = fmt.Sprint("own-", n, "-", i, "-", j)
			}
			r.Observe(now, quarantine.Observation{Digest: call.DigestOfPart("s", part), Target: id, At: now})
		}
	}
	return now
}

// BenchmarkEndOfTarget measures what a target that ends costs a box whose register is full.
func BenchmarkEndOfTarget(b *testing.B) {
	r, n := quarantine.NewRegister(), 0
	for ; n < 20; n++ {
		endUnder(r, n)
	}
	for b.Loop() {
		endUnder(r, n)
		n++
	}
}

// BenchmarkMessage measures what the observations of a message cost just after six targets have ended.
func BenchmarkMessage(b *testing.B) {
	r, now := quarantine.NewRegister(), begin
	for n := range 6 {
		now = endUnder(r, n)
	}
	for b.Loop() {
		r.Latest(now, false)
		r.LeftOut(now, false)
		r.Cleared(now)
	}
}

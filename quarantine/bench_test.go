package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// BenchmarkEndOfTarget measures what a target that ends costs a box whose register is full: it ends under 24 requests, each
// of which has twelve parts that others have had too, and four of its own.
func BenchmarkEndOfTarget(b *testing.B) {
	r, now := quarantine.NewRegister(), begin
	end := func(n int) {
		now = now.Add(100 * time.Millisecond)
		for i := range 24 {
			w := domain.InstanceID(fmt.Sprint("t", n))
			r.Observe(now, quarantine.Observation{Digest: call.Digest(fmt.Sprint("work-", n, "-", i)), Target: w, At: now})
			for j := range 16 {
				part := fmt.Sprint("common-", (n*5+i*12+j)%200)
				if j >= 12 {
					part = fmt.Sprint("own-", n, "-", i, "-", j)
				}
				r.Observe(now, quarantine.Observation{Digest: call.DigestOfPart("s", part), Target: w, At: now})
			}
		}
	}
	for n := range 20 {
		end(n)
	}
	n := 20
	for b.Loop() {
		end(n)
		n++
	}
}

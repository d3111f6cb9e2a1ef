package fairshare_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/admission/fairshare"
	"clovertrail.dev/core/domain"
)

// TestSharesByLoadPattern guards against refusing organisations at their usual rate for the burst of
// another one. Without shares, each organisation is refused the same share as all requests. The shares of
// the organisations o* and x are measured from 3 to 10 s after the overload began.
func TestSharesByLoadPattern(t *testing.T) {
	const total, large = 37 * perBox, 432 * perBox
	small := func(rate float64) []organisation { return equal("o", 35, rate) }
	double := append(equal("o", 40, total/2), equal("x", 3, total/2)...)
	for i := range double {
		double[i].during *= 2
	}
	tests := []struct {
		name     string
		boxes    int
		orgs     []organisation
		least    float64       // least share of all requests that is refused
		hears    time.Duration // how long boxes receive messages of each other
		o        [2]float64    // bounds of the refused share of the organisations o*
		x        [2]float64    // and of the organisations x*
		meanWith float64       // how far the refused share of all requests may be from the required one
	}{
		{"one organisation bursts to five times its rate", 37, append(small(total*7/8), organisation{"x", total / 8, total * 5 / 8}), 0, math.MaxInt64, [2]float64{0, 0.1}, [2]float64{0.65, 0.8}, 0.02},
		{"the same, and a box hears nobody", 37, append(small(total*7/8), organisation{"x", total / 8, total * 5 / 8}), 0, 0, [2]float64{0, 0.25}, [2]float64{0.45, 0.8}, 0.02},
		{"few large and many small at their usual rates", 37, append(equal("o", 40, total/2), equal("x", 3, total/2)...), 1.0 / 3, math.MaxInt64, [2]float64{0.32, 0.35}, [2]float64{0.32, 0.35}, 0.01},
		{"the same as boxes lose each other", 37, append(equal("o", 40, total/2), equal("x", 3, total/2)...), 1.0 / 3, overload, [2]float64{0.31, 0.36}, [2]float64{0.31, 0.36}, 0.01},
		{"hundreds of small ones, a large one bursts", 37, append(equal("o", 333, total*0.9), organisation{"x", total * 0.1, total * 0.5}), 0, math.MaxInt64, [2]float64{0, 0.1}, [2]float64{0.65, 0.8}, 0.02},
		{"the same with 432 boxes that each hear eight", 432, append(equal("o", 332, large*7/8), organisation{"x", large / 8, large * 5 / 8}), 0, math.MaxInt64, [2]float64{0, 0.1}, [2]float64{0.65, 0.8}, 0.02},
		{"hundreds of small ones, a small one bursts", 37, append(equal("o", 333, total), organisation{"x", total / 334, total / 334 * 20}), 1.0 / 3, math.MaxInt64, [2]float64{0.28, 0.334}, [2]float64{0.55, 0.95}, 0.02},
		{"a new one is hot", 37, append(small(total), organisation{"x", 0, total / 2}), 0, math.MaxInt64, [2]float64{0, 0.1}, [2]float64{0.8, 0.98}, 0.03},
		{"all send twice as much", 37, double, 0, math.MaxInt64, [2]float64{0.48, 0.52}, [2]float64{0.48, 0.52}, 0.01},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			for seed := range uint64(2) {
				f := newFleet(seed, tc.boxes, tc.orgs)
				f.least, f.hearUntil = tc.least, tc.hears
				out := f.run(3*time.Second, 10*time.Second)
				o, x, all := out.refused("o"), out.refused("x"), out.refused("")
				t.Logf("seed %d: required %.3f, refused of all %.3f, of o* %.3f, of x* %.3f", seed, f.refuse(), all, o, x)
				if o < tc.o[0] || o > tc.o[1] || x < tc.x[0] || x > tc.x[1] || math.Abs(all-f.refuse()) > tc.meanWith {
					t.Errorf("seed %d: want o* within %v, x* within %v, all within %.2f of %.3f", seed, tc.o, tc.x, tc.meanWith, f.refuse())
				}
			}
		})
	}
}

// TestEachOrganisationConvergesToItsFairShare guards against an organisation whose refused share differs from
// that of others in the same position, after a few seconds in which 37 boxes exchanged counts once a second.
func TestEachOrganisationConvergesToItsFairShare(t *testing.T) {
	const total = 37 * perBox
	orgs := append(equal("o", 10, total*0.6), equal("s", 20, total*0.2)...)
	orgs = append(orgs, organisation{"x", total * 0.2, total})
	sums := outcome{}
	for seed := range uint64(3) {
		for name, add := range newFleet(seed, 37, orgs).run(3*time.Second, 8*time.Second) {
			sums[name] = tally{sums[name].requests + add.requests, sums[name].refused + add.refused}
		}
	}
	for name, sum := range sums {
		// Fair is a weight that admits all of the others, and the usual fifth of the burst.
		fair := map[bool]float64{true: 0.8, false: 0}[name == "x"]
		if got := sum.refused / sum.requests; math.Abs(got-fair) > 0.15 {
			t.Errorf("%s: refused %.3f, fair is %.3f", name, got, fair)
		}
	}
}

// feed records requests of two organisations for a while, the second of which bursts in the end.
func feed(s *fairshare.Shares, now time.Time) time.Time {
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		s.Requested(now, service, class, "a")
		if i%4 == 0 || i > 370 {
			s.Requested(now, service, class, "b")
		}
	}
	return now
}

// TestFactorWithoutKnowledgeIsTheRequiredShare guards against shares that follow from nothing: of a box
// that has just started, that was suspended, or whose setting is off, and of a service without requests.
func TestFactorWithoutKnowledgeIsTheRequiredShare(t *testing.T) {
	const refuse = 0.4
	off, known, fresh, short := fairshare.New(), fairshare.New(), fairshare.New(), fairshare.New()
	off.SetEnabled(false)
	now := feed(known, started)
	feed(off, started)
	fresh.Requested(now, service, class, "a")
	for i := range 100 {
		name := map[bool]domain.OrganisationName{true: "a", false: "b"}[i < 40]
		short.Requested(now.Add(time.Duration(i-100)*50*time.Millisecond), service, class, name)
	}
	tests := []struct {
		name   string
		shares *fairshare.Shares
		now    time.Time
		svc    domain.ServiceName
		same   bool
	}{
		{"burst", known, now, service, false},
		{"another service", known, now, "other", true},
		{"just started", fresh, now, service, true},
		{"started five seconds ago", short, now, service, true},
		{"setting off", off, now, service, true},
		{"suspended for two minutes", known, now.Add(2 * time.Minute), service, true},
	}
	for _, tc := range tests {
		a, b := tc.shares.Factor(tc.now, tc.svc, class, "a", refuse), tc.shares.Factor(tc.now, tc.svc, class, "b", refuse)
		if same := a == refuse && b == refuse; same != tc.same || a > b {
			t.Errorf("%s: %.3f and %.3f", tc.name, a, b)
		}
	}
	for _, refuse := range []float64{0, 1, -1, 2} {
		if got := known.Factor(now, service, class, "b", refuse); got != refuse {
			t.Errorf("%v must be refused: got %v", refuse, got)
		}
	}
	if off.Own(now) != nil {
		t.Error("counts are sent although the setting is off")
	}
}

// TestUsualRateIsThatOfTheLastMinute guards against a weight that follows from requests of long ago.
func TestUsualRateIsThatOfTheLastMinute(t *testing.T) {
	old, fresh := fairshare.New(), fairshare.New()
	for i := range 1000 {
		old.Requested(started.Add(time.Duration(i-9000)*10*time.Millisecond), service, class, "b")
	}
	now := feed(fresh, started)
	feed(old, started)
	if a, b := old.Factor(now, service, class, "b", 0.4), fresh.Factor(now, service, class, "b", 0.4); a != b {
		t.Errorf("refused with %.3f, %.3f without the requests of long ago", a, b)
	}
}

// TestCountsOfABoxAreSentOnce guards against requests that others count twice, or that are too old to be
// recent when they are sent.
func TestCountsOfABoxAreSentOnce(t *testing.T) {
	s := fairshare.New()
	s.Requested(started, service, class, "old")
	now := started.Add(10 * time.Second)
	s.Requested(now, service, class, "a")
	s.Requested(now, service, class, "a")
	s.Requested(now, service, class, "b")
	if got := s.Own(now); got != nil {
		t.Errorf("sent %v although the message before was sent less than a second ago", got)
	}
	want := []fairshare.Count{{Service: service, Organisation: "a", Requests: 2}, {Service: service, Organisation: "b", Requests: 1}}
	if got := s.Own(now.Add(time.Second)); !slices.Equal(got, want) {
		t.Errorf("sent %v, want %v", got, want)
	}
	if got := s.Own(now.Add(2 * time.Second)); len(got) != 0 {
		t.Errorf("sent %v again", got)
	}
}

// TestMessagesThatComeTooFastCountOnce guards against a box that sends its counts with every advert, of
// which there are dozens a second, and outweighs all others.
func TestMessagesThatComeTooFastCountOnce(t *testing.T) {
	once, often := fairshare.New(), fairshare.New()
	now := feed(once, started)
	feed(often, started)
	for i := range 40 {
		at := now.Add(time.Duration(i-40) * time.Second)
		counts := []fairshare.Count{{Service: service, Organisation: "a", Requests: 1 + i/39*20}}
		once.Receive(at, "box", counts)
		for range 30 {
			often.Receive(at, "box", counts)
		}
	}
	if a, b := once.Factor(now, service, class, "a", 0.5), often.Factor(now, service, class, "a", 0.5); a != b {
		t.Errorf("refused with %.3f and %.3f", a, b)
	}
}

// BenchmarkFactor measures a decision of a box that knows 333 organisations.
func BenchmarkFactor(b *testing.B) {
	f := newFleet(1, 37, append(equal("o", 332, 36*perBox), organisation{"x", perBox, perBox * 40}))
	f.run(0, 3*time.Second)
	now := started.Add(overload + 3*time.Second)
	for i := range 333 { // each has a recent request
		f.boxes[0].Requested(now, service, class, domain.OrganisationName(fmt.Sprint("o", i)))
	}
	for b.Loop() {
		f.boxes[0].Factor(now, service, class, "x", 0.3)
	}
}

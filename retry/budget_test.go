package retry_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/retry"
)

// failingLoad is a load of a service whose boxes each ask for a retry of a share of their requests.
type failingLoad struct {
	boxes     int
	bounds    retry.Bounds
	perSecond float64       // requests of each box
	failing   float64       // share of the requests that fail, from 0 to 1
	from      time.Duration // time from which requests fail; the boxes have saved up retries by then
	length    time.Duration
}

// outcome is the result of a load over all boxes.
type outcome struct {
	asked, allowed int
	over           float64 // largest number of retries in a window above what the bounds allow; negative if none
}

const loadStep = 100 * time.Millisecond

// play runs the load and compares the retries in each window with the bounds.
func (l failingLoad) play(budgets []retry.Budget, rnd *rand.Rand) outcome {
	requests, retries := []float64{0}, []float64{0} // cumulated, by step
	var out outcome
	for at := time.Duration(0); at < l.length; at += loadStep {
		now := begin.Add(at)
		sent, again := 0, 0
		for _, b := range budgets {
			if rnd.Float64() >= l.perSecond*loadStep.Seconds() {
				continue
			}
			sent++
			b.AddRequest(now)
			if at < l.from || rnd.Float64() >= l.failing {
				continue
			}
			out.asked++
			if b.SpendRetry(now) {
				again++
			}
		}
		out.allowed += again
		requests = append(requests, requests[len(requests)-1]+float64(sent))
		retries = append(retries, retries[len(retries)-1]+float64(again))
	}
	out.over = -l.bounds.Slack
	steps := int(l.bounds.Window / loadStep)
	for i := steps; i < len(retries); i++ {
		allowed := l.bounds.Share*l.mostRequests(requests, i, steps) + l.bounds.Slack
		out.over = max(out.over, retries[i]-retries[i-steps]-allowed)
	}
	return out
}

// mostRequests returns the requests of the window that ends at step i, of the window before it, or of the
// one half a window earlier, whichever has most.
func (failingLoad) mostRequests(requests []float64, i, steps int) float64 {
	most := 0.0
	for _, end := range []int{i, i - steps/2, i - steps} {
		if end >= 0 {
			most = max(most, requests[end]-requests[max(end-steps, 0)])
		}
	}
	return most
}

// wholeTokens allows a retry once a whole one has accumulated, and saves up at least the given number.
type wholeTokens struct {
	share, cap, perSecond, tokens float64
	last                          time.Time
}

func newWholeTokens(b retry.Bounds, least float64) *wholeTokens {
	const used = 0.8
	part := b.Slack * used / 2 / float64(b.Boxes)
	w := &wholeTokens{share: b.Share * used, cap: max(part, least), perSecond: part / b.Window.Seconds()}
	w.tokens = w.cap
	return w
}

func (w *wholeTokens) add(now time.Time, n float64) {
	if !w.last.IsZero() {
		n += now.Sub(w.last).Seconds() * w.perSecond
	}
	w.last, w.tokens = now, min(w.cap, w.tokens+n)
}

func (w *wholeTokens) AddRequest(now time.Time) { w.add(now, w.share) }

func (w *wholeTokens) SpendRetry(now time.Time) bool {
	w.add(now, 0)
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// strategies are the ways to divide a budget among boxes that were compared.
var strategies = []struct {
	name string
	new  func(b retry.Bounds, seed uint64) retry.Budget
}{
	{"whole retries", func(b retry.Bounds, _ uint64) retry.Budget { return newWholeTokens(b, 0) }},
	{"at least one each", func(b retry.Bounds, _ uint64) retry.Budget { return newWholeTokens(b, 1) }},
	{"fractions summed up", func(b retry.Bounds, seed uint64) retry.Budget {
		return retry.NewTokenBudget(b, rand.New(rand.NewPCG(seed, 1)), begin.Add(-b.Window))
	}},
}

// TestRestartedBoxesKeepToRetryBounds guards against boxes that are killed together, repeatedly, and then have as many
// unspent retries as if none had been made, and until they know each other as many as if each were the only one.
func TestRestartedBoxesKeepToRetryBounds(t *testing.T) {
	const window, healthy, length, alone = 10 * time.Second, 20 * time.Second, 40 * time.Second, 500 * time.Millisecond
	for _, tc := range []struct {
		name      string
		boxes     int
		perSecond int // requests to all boxes
		slack     float64
	}{{"8 boxes", 8, 85, 92}, {"37 boxes", 37, 220, 150}, {"432 boxes", 432, 1700, 600}} {
		t.Run(tc.name, func(t *testing.T) {
			for restarts := range 5 {
				rnd := rand.New(rand.NewPCG(uint64(restarts), 1))
				bounds := retry.Bounds{Share: 0.2, Slack: tc.slack, Window: window}
				boxes := make([]*retry.TokenBudget, tc.boxes)
				start := func(at time.Duration) {
					for i := range boxes {
						bounds.Boxes = 0
						boxes[i] = retry.NewTokenBudget(bounds, rnd, begin.Add(at))
					}
				}
				meet := func() {
					bounds.Boxes = tc.boxes
					for _, b := range boxes {
						b.SetBounds(bounds)
					}
				}
				start(0)
				restartAt, meetAt, retries := healthy, alone, []time.Duration(nil)
				for at := time.Duration(0); at < length; at += time.Second / time.Duration(tc.perSecond) {
					if at >= restartAt && restartAt < healthy+time.Duration(restarts)*window/4 {
						start(at)
						restartAt, meetAt = restartAt+window/4, at+alone
					}
					if meetAt > 0 && at >= meetAt {
						meet()
						meetAt = 0
					}
					b := boxes[rnd.IntN(len(boxes))]
					b.AddRequest(begin.Add(at))
					if at >= healthy && b.SpendRetry(begin.Add(at)) {
						retries = append(retries, at)
					}
				}
				allowed := int(bounds.Share*float64(tc.perSecond)*window.Seconds() + tc.slack)
				for i := range retries {
					end, _ := slices.BinarySearch(retries, retries[i]+window)
					if end-i > allowed {
						t.Fatalf("%d restarts: %d retries within %v, want at most %d", restarts, end-i, window, allowed)
					}
				}
				if len(retries) == 0 {
					t.Errorf("%d restarts: no retry was allowed", restarts)
				}
			}
		})
	}
}

// TestRetryBudgetIsSharedByManyBoxes guards against a budget whose parts are of no use to a box, and
// against parts that add up to more than the whole. Hundreds of boxes serve less than one request a
// second each: few requests fail all the time, or all requests fail after a quiet time in which each
// box has saved up retries. It logs what the ways that were compared come to.
func TestRetryBudgetIsSharedByManyBoxes(t *testing.T) {
	const seeds, window = 20, 10 * time.Second
	narrow := retry.Bounds{Share: 0.1, Slack: 10, Window: window}
	for _, tc := range []struct {
		name  string
		load  failingLoad
		least float64 // share of the asked retries that has to be allowed
	}{
		{"one box, all fail", failingLoad{boxes: 1, bounds: narrow, perSecond: 8, failing: 1}, 0.08},
		{"5 boxes, all fail", failingLoad{boxes: 5, bounds: narrow, perSecond: 8, failing: 1}, 0.07},
		{"8 boxes, all fail", failingLoad{boxes: 8, bounds: narrow, perSecond: 8, failing: 1}, 0.07},
		{"8 boxes, all fail after a quiet time", failingLoad{boxes: 8, bounds: narrow, perSecond: 1, failing: 1, from: 30 * time.Second}, 0.05},
		{"432 boxes, 1 in 100 fails", failingLoad{boxes: 432, bounds: retry.Bounds{Share: 0.2, Slack: 1040, Window: window}, perSecond: 0.7, failing: 0.01}, 0.95},
		{"432 boxes, all fail after a quiet time", failingLoad{boxes: 432, bounds: retry.Bounds{Share: 0.2, Slack: 1040, Window: window}, perSecond: 0.7, failing: 1, from: 30 * time.Second}, 0.15},
		{"1,000 boxes, 1 in 100 fails", failingLoad{boxes: 1000, bounds: retry.Bounds{Share: 0.2, Slack: 1040, Window: window}, perSecond: 0.7, failing: 0.01}, 0.6},
		{"1,000 boxes, few requests, all fail after a quiet time", failingLoad{boxes: 1000, bounds: retry.Bounds{Share: 0.2, Slack: 1040, Window: window}, perSecond: 0.17, failing: 1, from: 30 * time.Second}, 0.3},
		{"1,000 boxes, all fail after a quiet time", failingLoad{boxes: 1000, bounds: retry.Bounds{Share: 0.2, Slack: 1040, Window: window}, perSecond: 0.7, failing: 1, from: 30 * time.Second}, 0.1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := tc.load
			l.bounds.Boxes, l.length = l.boxes, 70*time.Second
			for _, s := range strategies {
				asked, allowed, over := 0, 0, -l.bounds.Slack
				for seed := range uint64(seeds) {
					budgets := make([]retry.Budget, l.boxes)
					for i := range budgets {
						budgets[i] = s.new(l.bounds, seed<<16+uint64(i))
					}
					o := l.play(budgets, rand.New(rand.NewPCG(seed, 2)))
					asked, allowed, over = asked+o.asked, allowed+o.allowed, max(over, o.over)
				}
				share := float64(allowed) / float64(max(asked, 1))
				t.Logf("%-19s allowed %.3f of %d, most above the bounds %.0f", s.name, share, asked, over)
				if s.name != "fractions summed up" {
					continue
				}
				if share < tc.least {
					t.Errorf("allowed %.3f of the retries that were asked for, want at least %.3f", share, tc.least)
				}
				if over > 0 {
					t.Errorf("%.0f more retries in a window than the bounds allow", over)
				}
			}
		})
	}
}

package routing_test

import (
	"testing"
	"time"

	"clovertrail.dev/routing"
)

// TestMeanAnswerIsOfWholeAnswers guards against a wait queue that refuses callers early because the group that
// stopped had held the streams of this box before it cut them or went on with them, or because the box has not seen an
// answer yet.
func TestMeanAnswerIsOfWholeAnswers(t *testing.T) {
	const usual, cut = 500 * time.Millisecond, 2 * time.Second
	b, options := newBalancer(), []routing.Option{option("a", "near", "g"), option("b", "near", "g")}
	if got := b.MeanAnswer(options); got != 0 {
		t.Errorf("mean duration %v without an answer, want 0", got)
	}
	for i := range 6 {
		whole, broken := b.Sent(start, options[i%2]), b.Sent(start, options[i%2])
		b.Answered(start.Add(usual), whole)
		b.Ended(start.Add(usual), whole)
		b.Ended(start.Add(cut), broken)
		b.Answered(start.Add(cut), broken)
	}
	if got := b.MeanAnswer(options); (got - usual).Abs() > time.Millisecond {
		t.Errorf("mean duration %v, want %v", got, usual)
	}
	held := b.Sent(start, options[0])
	b.Paused(held, 20*time.Millisecond)
	b.Paused(held, cut)
	b.Answered(start.Add(usual+cut), held)
	if got := b.MeanAnswer(options); (got - usual).Abs() > time.Millisecond {
		t.Errorf("mean duration %v after an answer that was interrupted for %v, want %v", got, cut, usual)
	}
	if n := b.InFlight("a") + b.InFlight("b"); n != 0 {
		t.Errorf("%d requests in flight, want 0", n)
	}
}

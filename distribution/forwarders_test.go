package distribution_test

import (
	"testing"
	"time"

	"clovertrail.dev/distribution"
)

func TestForwardersAlternateUntilFailureOrExpiry(t *testing.T) {
	f := distribution.NewForwarders()
	if got := f.Next(start); got != "" {
		t.Errorf("Next returned %q before any address was added", got)
	}
	f.Add(start, []string{"a", "b"})
	f.Add(start.Add(10*time.Second), []string{"c"})
	turns := func(now time.Time) map[string]int {
		m := map[string]int{}
		for range 6 {
			m[f.Next(now)]++
		}
		return m
	}
	if got := turns(start.Add(10 * time.Second)); got["a"] != 2 || got["b"] != 2 || got["c"] != 2 {
		t.Errorf("three forwarders: turns %v, want 2 each", got)
	}
	f.ReportFailure("b")
	if got := turns(start.Add(10 * time.Second)); got["a"] != 3 || got["c"] != 3 {
		t.Errorf("after b failed: turns %v, want 3 of a and c", got)
	}
	if got := turns(start.Add(20 * time.Second)); got["c"] != 6 {
		t.Errorf("after a expired: turns %v, want 6 of c", got)
	}
	f.Add(start.Add(21*time.Second), []string{"b"})
	if got := turns(start.Add(21 * time.Second)); got["b"] != 3 {
		t.Errorf("after b was added again: turns %v, want 3 of b", got)
	}
}

package distribution_test

import (
	"testing"
	"time"

	"clovertrail.dev/node/distribution"
)

func TestHelpersTakeTurnsUntilTheyFail(t *testing.T) {
	h := distribution.NewForwarders()
	if got := h.Next(begin); got != "" {
		t.Errorf("%q helps before any was named", got)
	}
	h.Add(begin, []string{"a", "b"})
	h.Add(begin.Add(10*time.Second), []string{"c"})
	turns := func(now time.Time) map[string]int {
		m := map[string]int{}
		for range 6 {
			m[h.Next(now)]++
		}
		return m
	}
	if got := turns(begin.Add(10 * time.Second)); got["a"] != 2 || got["b"] != 2 || got["c"] != 2 {
		t.Errorf("turns %v", got)
	}
	h.ReportFailure("b")
	if got := turns(begin.Add(10 * time.Second)); got["a"] != 3 || got["c"] != 3 {
		t.Errorf("turns after b failed %v", got)
	}
	if got := turns(begin.Add(20 * time.Second)); got["c"] != 6 {
		t.Errorf("turns when a has not been named for long %v", got)
	}
	h.Add(begin.Add(21*time.Second), []string{"b"})
	if got := turns(begin.Add(21 * time.Second)); got["b"] != 3 {
		t.Errorf("turns when b was named again %v", got)
	}
}

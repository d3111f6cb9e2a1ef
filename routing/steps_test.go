package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

// longestPause is the longest pause between two events that is in time.
const longestPause = 120 * time.Millisecond

// twoGroups returns two groups of two ranks with ten slots each.
func twoGroups() []routing.Option {
	var options []routing.Option
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		o := option(id, "near", id[:1])
		o.Slots = 10
		options = append(options, o)
	}
	return options
}

func TestPickPrefersGroupWithShorterSteps(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name     string
		pauses   map[string]time.Duration // by group
		slowdown map[string]float64       // of the group's first rank
		after    time.Duration            // from the reports until the pick
		want     domain.GroupName
	}{
		{name: "equal groups", want: "a"},
		{name: "longer pauses", pauses: map[string]time.Duration{"a": 90 * ms, "b": 60 * ms}, want: "b"},
		{name: "longer pauses, out of date", pauses: map[string]time.Duration{"a": 90 * ms, "b": 60 * ms}, after: 1100 * ms, want: "a"},
		{name: "a slow rank, no pauses recorded", slowdown: map[string]float64{"a": 3}, want: "b"},
		{name: "a slow rank in a group with short pauses", pauses: map[string]time.Duration{"a": 50 * ms, "b": 60 * ms}, slowdown: map[string]float64{"a": 3}, want: "a"},
		{name: "a slow rank in a group without pauses", pauses: map[string]time.Duration{"b": 60 * ms}, slowdown: map[string]float64{"a": 3}, want: "b"},
		{name: "one group without pauses", pauses: map[string]time.Duration{"b": 60 * ms}, want: "a"},
	}
	for _, tc := range tests {
		b := newBalancer()
		for _, o := range twoGroups() {
			r := routing.Report{Running: 4, Slowdown: 1}
			if slowdown, ok := tc.slowdown[string(o.Group)]; ok && o.ID == domain.InstanceID(o.Group)+"1" {
				r.Slowdown = slowdown
			}
			b.Report(start, o.ID, r)
			b.RecordPause(start, o, tc.pauses[string(o.Group)], longestPauseIf(tc.pauses, o))
		}
		if got, _ := b.Pick(start.Add(tc.after), "near", twoGroups()); got.Group != tc.want {
			t.Errorf("%s: picked group %s, want %s", tc.name, got.Group, tc.want)
		}
	}
}

// longestPauseIf returns 0 for a group without a pause, so that RecordPause ignores it.
func longestPauseIf(pauses map[string]time.Duration, o routing.Option) time.Duration {
	if _, ok := pauses[string(o.Group)]; !ok {
		return 0
	}
	return longestPause
}

// TestSingleLongPauseIsAveraged: by its last pause alone, group a would look slower than group b,
// which has one request more.
func TestSingleLongPauseIsAveraged(t *testing.T) {
	b := newBalancer()
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, o := range twoGroups() {
			b.RecordPause(now, o, 50*time.Millisecond, longestPause)
		}
	}
	a1, b1 := twoGroups()[0], twoGroups()[2]
	b.Sent(now, b1)
	now = now.Add(110 * time.Millisecond)
	b.RecordPause(now, a1, 110*time.Millisecond, longestPause)
	if got, _ := b.Pick(now, "near", twoGroups()); got.Group != "a" {
		t.Errorf("picked group %s, want a", got.Group)
	}
}

func TestForgetDropsLoadOfRemovedTargets(t *testing.T) {
	b := newBalancer()
	for _, o := range twoGroups() {
		b.Report(start, o.ID, routing.Report{Running: map[domain.GroupName]int{"a": 9, "b": 3}[o.Group]})
	}
	b.Forget(start, func(id domain.InstanceID) bool { return id != "a1" && id != "a2" })
	if got, _ := b.Pick(start, "near", twoGroups()); got.Group != "a" {
		t.Errorf("picked group %s: the load of removed targets still counts against group a", got.Group)
	}
}

func TestForgetDropsOldSteps(t *testing.T) {
	b := newBalancer()
	later := start.Add(2 * time.Minute)
	b.RecordPause(start, twoGroups()[0], time.Second, longestPause)
	b.RecordPause(later, twoGroups()[2], 50*time.Millisecond, longestPause)
	b.Forget(later, func(domain.InstanceID) bool { return true })
	if got, _ := b.Pick(start, "near", twoGroups()); got.Group != "a" { // at the time of the old pause, which would still be in use
		t.Errorf("picked group %s: the old pauses of group a are still in use", got.Group)
	}
}

func TestPickSkipsSlowRanks(t *testing.T) {
	ungrouped := []routing.Option{option("x1", "near", ""), option("x2", "near", "")}
	tests := []struct {
		name     string
		options  []routing.Option
		slowdown map[domain.InstanceID]float64
		skipped  []domain.InstanceID // ranks that get no requests
	}{
		{"no rank is slow", twoGroups(), nil, nil},
		{"one rank is slow", twoGroups(), map[domain.InstanceID]float64{"a2": 1.6}, []domain.InstanceID{"a2"}},
		{"one rank is slightly slower", twoGroups(), map[domain.InstanceID]float64{"a2": 1.2}, nil},
		{"all ranks of a group are equally slow", twoGroups(), map[domain.InstanceID]float64{"a1": 2, "a2": 2}, nil},
		{"both ranks are slow, one more than the other", twoGroups()[:2], map[domain.InstanceID]float64{"a1": 2, "a2": 4}, []domain.InstanceID{"a2"}},
		{"targets without a group", ungrouped, map[domain.InstanceID]float64{"x2": 2}, nil},
	}
	for _, tc := range tests {
		b := newBalancer()
		for _, o := range tc.options {
			slowdown := max(tc.slowdown[o.ID], 1)
			b.Report(start, o.ID, routing.Report{Slowdown: slowdown})
		}
		got := spread(b, tc.options, 40)
		for _, o := range tc.options {
			if skipped := slices.Contains(tc.skipped, o.ID); skipped != (got[o.ID] == 0) {
				t.Errorf("%s: %s got %d of 40 requests", tc.name, o.ID, got[o.ID])
			}
		}
	}
}

func TestIsStraggler(t *testing.T) {
	tooLong, inTime := 150*time.Millisecond, 60*time.Millisecond
	for name, tt := range map[string]struct {
		pause     time.Duration
		slowdowns map[domain.InstanceID]float64
		age       time.Duration // of the pauses
		limited   bool          // the other ranks have limits
		want      bool
	}{
		"slow rank, steps too long":    {tooLong, map[domain.InstanceID]float64{"a1": 4}, 0, false, true},
		"slow rank, steps in time":     {inTime, map[domain.InstanceID]float64{"a1": 4}, 0, false, false},
		"steps too long, no slow rank": {tooLong, nil, 0, false, false},
		"other rank is slow":           {tooLong, map[domain.InstanceID]float64{"a2": 4}, 0, false, false},
		"both ranks are slow":          {tooLong, map[domain.InstanceID]float64{"a1": 4, "a2": 4}, 0, false, false},
		"pauses out of date":           {tooLong, map[domain.InstanceID]float64{"a1": 4}, 2 * time.Second, false, false},
		"fast rank of another group":   {tooLong, map[domain.InstanceID]float64{"a1": 4, "b1": 1}, 0, false, true},
		"other ranks are limited":      {tooLong, map[domain.InstanceID]float64{"a1": 4}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer()
			options := twoGroups()
			for _, o := range options {
				b.Report(start, o.ID, routing.Report{Running: 4, Slowdown: max(tt.slowdowns[o.ID], 1)})
			}
			for range 5 {
				b.RecordPause(start, options[0], tt.pause, longestPause)
			}
			for i := range options[1:] {
				options[1+i].Limited = tt.limited
			}
			if got := b.IsStraggler(start.Add(tt.age), options[0], options); got != tt.want {
				t.Errorf("IsStraggler() = %v, want %v", got, tt.want)
			}
		})
	}
}

func TestIsStepping(t *testing.T) {
	const longest = 100 * time.Millisecond
	now := time.Unix(0, 0)
	b := routing.NewBalancer(rand.New(rand.NewPCG(1, 1)))
	rank := routing.Option{ID: "a", Group: "g", Slots: 4}
	if b.IsStepping(now, rank) {
		t.Error("a group without pauses counts as stepping")
	}
	for _, pause := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond} {
		for range 20 {
			now = now.Add(pause)
			b.RecordPause(now, rank, pause, longest)
		}
		if !b.IsStepping(now, rank) {
			t.Errorf("a group with pauses of %v does not count as stepping", pause)
		}
	}
	if b.IsStepping(now.Add(2*time.Second), rank) {
		t.Error("a group without pauses for 2 s counts as stepping")
	}
	if !b.IsStepping(now, routing.Option{ID: "b", Slots: 4}) {
		t.Error("a target without a group does not count as stepping")
	}
}

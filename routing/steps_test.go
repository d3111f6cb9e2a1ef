package routing_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/routing"
)

const gapAim = 120 * time.Millisecond

// twoGroups are two groups of two ranks with ten slots each.
func twoGroups() []routing.Option {
	var options []routing.Option
	for _, id := range []string{"a1", "a2", "b1", "b2"} {
		o := option(id, "near", id[:1])
		o.Slots = 10
		options = append(options, o)
	}
	return options
}

func TestTheGroupWithShorterStepsGetsMore(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name   string
		pauses map[string]time.Duration // by group
		pace   map[string]float64       // of its first rank
		after  time.Duration            // until it is asked
		want   domain.GroupName
	}{
		{name: "equal but for the name", want: "a"},
		{name: "longer pauses", pauses: map[string]time.Duration{"a": 90 * ms, "b": 60 * ms}, want: "b"},
		{name: "longer pauses a while ago", pauses: map[string]time.Duration{"a": 90 * ms, "b": 60 * ms}, after: 1100 * ms, want: "a"},
		{name: "a slow rank, nothing seen", pace: map[string]float64{"a": 3}, want: "b"},
		{name: "a slow rank whose group makes up for it", pauses: map[string]time.Duration{"a": 50 * ms, "b": 60 * ms}, pace: map[string]float64{"a": 3}, want: "a"},
		{name: "a slow rank in a group of which nothing was seen", pauses: map[string]time.Duration{"b": 60 * ms}, pace: map[string]float64{"a": 3}, want: "b"},
		{name: "nothing seen of one group", pauses: map[string]time.Duration{"b": 60 * ms}, want: "a"},
	}
	for _, tc := range tests {
		b := newBalancer()
		for _, o := range twoGroups() {
			r := routing.Report{Running: 4, Slowdown: 1}
			if pace, ok := tc.pace[string(o.Group)]; ok && o.ID == domain.InstanceID(o.Group)+"1" {
				r.Slowdown = pace
			}
			b.Report(start, o.ID, r)
			b.RecordPause(start, o, tc.pauses[string(o.Group)], gapAimIf(tc.pauses, o))
		}
		if got, _ := b.Pick(start.Add(tc.after), "near", twoGroups()); got.Group != tc.want {
			t.Errorf("%s: group %s", tc.name, got.Group)
		}
	}
}

// gapAimIf is 0, so that nothing is taken, for a group without a pause.
func gapAimIf(pauses map[string]time.Duration, o routing.Option) time.Duration {
	if _, ok := pauses[string(o.Group)]; !ok {
		return 0
	}
	return gapAim
}

// TestOneLongPauseDoesNotOutweighManyShortOnes: taken by itself the last pause of group a
// would send requests to b, which has one request more.
func TestOneLongPauseDoesNotOutweighManyShortOnes(t *testing.T) {
	b := newBalancer()
	now := start
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		for _, o := range twoGroups() {
			b.RecordPause(now, o, 50*time.Millisecond, gapAim)
		}
	}
	a1, b1 := twoGroups()[0], twoGroups()[2]
	b.Sent(now, b1)
	now = now.Add(110 * time.Millisecond)
	b.RecordPause(now, a1, 110*time.Millisecond, gapAim)
	if got, _ := b.Pick(now, "near", twoGroups()); got.Group != "a" {
		t.Errorf("group %s was chosen", got.Group)
	}
}

func TestWhatIsGoneIsForgotten(t *testing.T) {
	b := newBalancer()
	for _, o := range twoGroups() {
		b.Report(start, o.ID, routing.Report{Running: map[domain.GroupName]int{"a": 9, "b": 3}[o.Group]})
	}
	b.Forget(start, func(id domain.InstanceID) bool { return id != "a1" && id != "a2" })
	if got, _ := b.Pick(start, "near", twoGroups()); got.Group != "a" {
		t.Errorf("the load of targets that are gone keeps requests from group a: %s", got.Group)
	}
}

func TestStepsSeenLongAgoAreForgotten(t *testing.T) {
	b := newBalancer()
	later := start.Add(2 * time.Minute)
	b.RecordPause(start, twoGroups()[0], time.Second, gapAim)
	b.RecordPause(later, twoGroups()[2], 50*time.Millisecond, gapAim)
	b.Forget(later, func(domain.InstanceID) bool { return true })
	if got, _ := b.Pick(start, "near", twoGroups()); got.Group != "a" { // asked as of then
		t.Errorf("the steps of group a are still known: %s was chosen", got.Group)
	}
}

func TestSlowRanksAreLeftOut(t *testing.T) {
	alone := []routing.Option{option("x1", "near", ""), option("x2", "near", "")}
	tests := []struct {
		name    string
		options []routing.Option
		pace    map[domain.InstanceID]float64
		left    []domain.InstanceID // those that get nothing
	}{
		{"all at the usual pace", twoGroups(), nil, nil},
		{"one rank is slow", twoGroups(), map[domain.InstanceID]float64{"a2": 1.6}, []domain.InstanceID{"a2"}},
		{"one rank is hardly slower", twoGroups(), map[domain.InstanceID]float64{"a2": 1.2}, nil},
		{"all of a group are slow alike", twoGroups(), map[domain.InstanceID]float64{"a1": 2, "a2": 2}, nil},
		{"both are slow, one more so", twoGroups()[:2], map[domain.InstanceID]float64{"a1": 2, "a2": 4}, []domain.InstanceID{"a2"}},
		{"targets that stand alone", alone, map[domain.InstanceID]float64{"x2": 2}, nil},
	}
	for _, tc := range tests {
		b := newBalancer()
		for _, o := range tc.options {
			pace := max(tc.pace[o.ID], 1)
			b.Report(start, o.ID, routing.Report{Slowdown: pace})
		}
		got := spread(b, tc.options, 40)
		for _, o := range tc.options {
			if left := slices.Contains(tc.left, o.ID); left != (got[o.ID] == 0) {
				t.Errorf("%s: %s got %d of 40", tc.name, o.ID, got[o.ID])
			}
		}
	}
}

func TestARankDragsWhoseGroupIsLateForItsSake(t *testing.T) {
	late, inTime := 150*time.Millisecond, 60*time.Millisecond
	for name, tt := range map[string]struct {
		pause time.Duration
		paces map[domain.InstanceID]float64
		seen  time.Duration // ago
		// limited reports that the other ranks name limits.
		limited bool
		want    bool
	}{
		"slow and late":              {late, map[domain.InstanceID]float64{"a1": 4}, 0, false, true},
		"slow and in time":           {inTime, map[domain.InstanceID]float64{"a1": 4}, 0, false, false},
		"late but not for its sake":  {late, nil, 0, false, false},
		"the other rank is slow":     {late, map[domain.InstanceID]float64{"a2": 4}, 0, false, false},
		"both are slow":              {late, map[domain.InstanceID]float64{"a1": 4, "a2": 4}, 0, false, false},
		"late a while ago":           {late, map[domain.InstanceID]float64{"a1": 4}, 2 * time.Second, false, false},
		"a rank of another group is": {late, map[domain.InstanceID]float64{"a1": 4, "b1": 1}, 0, false, true},
		"the others name limits":     {late, map[domain.InstanceID]float64{"a1": 4}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer()
			options := twoGroups()
			for _, o := range options {
				b.Report(start, o.ID, routing.Report{Running: 4, Slowdown: max(tt.paces[o.ID], 1)})
			}
			for range 5 {
				b.RecordPause(start, options[0], tt.pause, gapAim)
			}
			for i := range options[1:] {
				options[1+i].Limited = tt.limited
			}
			if got := b.IsStraggler(start.Add(tt.seen), options[0], options); got != tt.want {
				t.Errorf("got %v", got)
			}
		})
	}
}

func TestAGroupIsSeenToStep(t *testing.T) {
	const aim = 100 * time.Millisecond
	now := time.Unix(0, 0)
	b := routing.NewBalancer(rand.New(rand.NewPCG(1, 1)))
	rank := routing.Option{ID: "a", Group: "g", Slots: 4}
	if b.IsStepping(now, rank) {
		t.Error("a group of which nothing was seen steps")
	}
	for _, pause := range []time.Duration{60 * time.Millisecond, 150 * time.Millisecond} {
		for range 20 {
			now = now.Add(pause)
			b.RecordPause(now, rank, pause, aim)
		}
		if !b.IsStepping(now, rank) {
			t.Errorf("does not step, with pauses of %v", pause)
		}
	}
	if b.IsStepping(now.Add(2*time.Second), rank) {
		t.Error("a group that stands still steps")
	}
	if !b.IsStepping(now, routing.Option{ID: "b", Slots: 4}) {
		t.Error("a target that stands alone does not")
	}
}

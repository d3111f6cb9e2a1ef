package local_test

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/local"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
)

// shiftInterval is the time between two shifts of the demand of a group under hard load.
const shiftInterval = 2700 * time.Millisecond

// shiftingShape returns the shape of a group whose demand moves half of each layer's experts to other
// places of the sorted shape at the interval.
func shiftingShape(interval time.Duration) standin.GroupShape {
	const layers, experts, shifts = 4, 24, 20
	start := time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC) // of fake time
	places := make([][][]int, shifts)                    // by shift and layer: the place of each expert
	rnd := rand.New(rand.NewPCG(11, 0))
	for s := range places {
		for l := range layers {
			order := rnd.Perm(experts)
			if s > 0 {
				order = append([]int(nil), places[s-1][l]...)
				moved := rnd.Perm(experts)[:experts/2]
				first := order[moved[0]]
				for i := range len(moved) - 1 {
					order[moved[i]] = order[moved[i+1]]
				}
				order[moved[len(moved)-1]] = first
			}
			places[s] = append(places[s], order)
		}
	}
	shares := make([]float64, experts)
	total := 0.0
	for place := range shares {
		shares[place] = 1 / (1 + float64(place)/3)
		total += shares[place]
	}
	return standin.GroupShape{
		Name: "g0", Ranks: 12, Layers: layers, Experts: experts, Slots: 4, Staging: 2,
		StepTime: 60 * time.Millisecond, CopyTime: 40 * time.Millisecond, ExpertShare: 0.85,
		Demand: func(at time.Time, layer, expert int) float64 {
			shift := int(at.Sub(start)/interval) % shifts
			return shares[places[shift][layer][expert]] / total
		},
	}
}

// shiftRun is the outcome of some seconds of a group with shiftingShape.
type shiftRun struct {
	before, after standin.Stats
	log           string
	metrics       string
}

// skew returns the mean skew of the steps.
func (r shiftRun) skew() float64 { return meanSkew(r.before, r.after) }

func (r shiftRun) copies() int { return r.after.Copies - r.before.Copies }
func (r shiftRun) orders() int { return r.after.Orders - r.before.Orders }

// meanSkew returns the mean skew of the steps between the statistics.
func meanSkew(before, after standin.Stats) float64 {
	sum := after.Skew*float64(after.Steps) - before.Skew*float64(before.Steps)
	return sum / float64(after.Steps-before.Steps)
}

// metric returns the value of a series in the text format of the metrics; 0 if there is none.
func (r shiftRun) metric(series string) float64 {
	for line := range strings.Lines(r.metrics) {
		if name, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok && name == series {
			x, _ := strconv.ParseFloat(value, 64)
			return x
		}
	}
	return 0
}

// durations returns how long the map changes took that ended as given.
func (r shiftRun) durations(end string) (list []time.Duration) {
	for line := range strings.Lines(r.log) {
		if !strings.Contains(line, `msg="map change ended"`) || !strings.Contains(line, " end="+end+" ") {
			continue
		}
		_, rest, _ := strings.Cut(line, " after=")
		if d, err := time.ParseDuration(strings.Fields(rest)[0]); err == nil {
			list = append(list, d)
		}
	}
	return list
}

// shiftCase is a run of a group with shiftingShape.
type shiftCase struct {
	linkMbps float64 // 0.3 makes the coordinator use relays, and read the counts rarely in calm times
	interval time.Duration
	noReads  bool // shift_reads is off
	fault    func(*standin.Group)
}

// run runs the group for 15 s after its first maps, with the fault, and returns the outcome.
func (c shiftCase) run(t *testing.T) (r shiftRun) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		shape, log := shiftingShape(c.interval), &logBuffer{}
		sys, err := local.Start(local.Layout{
			Halls: []domain.HallName{"hall-1", "hall-2"}, Entries: 2, Group: &shape, Bounds: bounds(), Memory: true, LinkMbps: c.linkMbps, Log: log,
			Agent: func(s *process.AgentSettings) { s.ShiftReads = !c.noReads },
		})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		r.before = sys.Group().Stats()
		if c.fault != nil {
			c.fault(sys.Group())
		}
		time.Sleep(15 * time.Second)
		r.after = sys.Group().Stats()
		var metrics strings.Builder
		sys.Metrics().Write(&metrics)
		r.metrics = metrics.String()
		if err := sys.Close(); err != nil {
			t.Error(err)
		}
		r.log = log.text.String()
		if r.after.Violation != "" {
			t.Error(r.after.Violation)
		}
	})
	return r
}

// TestShiftsAreDetectedByLongSteps: while a map suits the demand, the counts of a large group are read
// rarely, and a shift shows only in the next read unless a long step causes one.
func TestShiftsAreDetectedByLongSteps(t *testing.T) {
	with := shiftCase{linkMbps: 0.3, interval: shiftInterval}.run(t)
	without := shiftCase{linkMbps: 0.3, interval: shiftInterval, noReads: true}.run(t)
	t.Logf("skew %.3f with, %.3f without; %d and %d copies, %d and %d orders", with.skew(), without.skew(), with.copies(), without.copies(), with.orders(), without.orders())
	if with.skew() > without.skew()-0.02 {
		t.Errorf("mean skew %.3f, and %.3f if long steps cause no reads", with.skew(), without.skew())
	}
	if got := strings.Count(with.log, `cause="long step"`); got < 8 || strings.Contains(without.log, `cause="long step"`) {
		t.Errorf("%d lines of map changes name a long step as their cause, want at least two for each of five shifts, and none without reads", got)
	}
	if got := with.metric(`clovertrail_shift_response_seconds_count{reason="g0"}`); got < 4 {
		t.Errorf("%v responses to shifts are counted, want at least 4", got)
	}
}

// TestOrdersUnansweredWhileDemandShifts: engines leave one order in ten unanswered and carry it out late.
// Neither the responses of the other engines nor the group may wait for it, and no map change fails.
func TestOrdersUnansweredWhileDemandShifts(t *testing.T) {
	for _, linkMbps := range []float64{1000, 0.3} {
		r := shiftCase{linkMbps: linkMbps, interval: shiftInterval, fault: func(g *standin.Group) { g.SetUnansweredOrders(10, 700*time.Millisecond) }}.run(t)
		took, sum := r.durations("committed"), time.Duration(0)
		for _, d := range took {
			sum += d
		}
		t.Logf("link of %v Mbit/s: skew %.3f, %d copies, %d orders, held for %v, committed after %v", linkMbps, r.skew(), r.copies(), r.orders(), r.after.HoldTime-r.before.HoldTime, took)
		if len(took) < 7 || sum/time.Duration(len(took)) > 195*time.Millisecond || r.skew() > 1.3 || r.after.HoldTime-r.before.HoldTime > 100*time.Millisecond {
			t.Errorf("link of %v Mbit/s: skew %.3f, map changes committed after %v, steps held for %v", linkMbps, r.skew(), took, r.after.HoldTime-r.before.HoldTime)
		}
		if failed := r.durations("not_prepared"); len(failed) > 0 {
			t.Errorf("link of %v Mbit/s: %d map changes ended since a rank had not prepared", linkMbps, len(failed))
		}
	}
}

// TestRanksTurnSlow: ranks become 4.4 times slower for 8 s, and the map must relieve them before the next
// read of the counts, and be as before after they have recovered.
func TestRanksTurnSlow(t *testing.T) {
	for _, tc := range []struct {
		slow    int
		noReads bool // long steps cause no reads
		first   float64
	}{{1, false, 1.7}, {4, false, 2.7}, {1, true, 2.2}, {4, true, 3.9}} {
		slow := tc.slow
		var stats [5]standin.Stats
		r := shiftCase{linkMbps: 0.3, interval: time.Hour, noReads: tc.noReads, fault: func(g *standin.Group) {
			set := func(slowdown float64) {
				for rank := range slow {
					g.SetSlowdown(rank+3, slowdown)
				}
			}
			for i, wait := range []time.Duration{0, time.Second, 7 * time.Second, time.Second, 3 * time.Second} {
				time.Sleep(wait)
				stats[i] = g.Stats()
				switch i {
				case 0:
					set(4.4)
				case 2:
					set(1)
				}
			}
		}}.run(t)
		first, slowed, recovered := meanSkew(stats[0], stats[1]), meanSkew(stats[1], stats[2]), meanSkew(stats[3], stats[4])
		t.Logf("%d slow ranks, reads after long steps: %v: skew %.2f in the first second, then %.2f; %.2f from a second after the recovery", slow, !tc.noReads, first, slowed, recovered)
		if even := 12 / (12 - float64(slow) + float64(slow)/4.4); slowed > 1.35*even || recovered > 1.3 {
			t.Errorf("%d slow ranks: skew %.2f from the second second on, want at most 1.35 times the %.2f of even steps; %.2f after the recovery, want at most 1.3", slow, slowed, even, recovered)
		}
		if first > tc.first {
			t.Errorf("%d slow ranks: skew %.2f in the first second, want at most %.2f", slow, first, tc.first)
		}
		if !strings.Contains(r.log, "cause=slowdowns") && !strings.Contains(r.log, `cause="long step"`) {
			t.Errorf("%d slow ranks: no map change is caused by their slowdowns", slow)
		}
	}
}

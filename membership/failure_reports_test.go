package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// ranksOf returns a roster of the box with n ranks of a group.
func ranksOf(box domain.BoxID, n int, spread float64) *membership.Roster {
	p := membership.DefaultRosterPolicy(drain)
	p.Spread = spread
	r := membership.NewRoster(box, p)
	for i := range n {
		g := &domain.Rank{Group: "g", Epoch: 1, Number: i, Size: n, Open: true}
		id := rankID(i)
		r.ApplyUpdate(start, membership.TargetUpdate{ID: id, At: pos(store.Revision(i + 1)), Target: target(string(id), domain.TargetReady, g)})
	}
	return r
}

func rankID(i int) domain.InstanceID { return domain.InstanceID(fmt.Sprintf("r%03d", i)) }

func by(box domain.BoxID, rank int, at time.Time) membership.FailureReport {
	return membership.FailureReport{Target: rankID(rank), By: box, At: at}
}

func TestFailureReportsOfSeveralBoxesEjectTarget(t *testing.T) {
	const ranks = 9
	at := start.Add
	tests := []struct {
		name     string
		events   func(r *membership.Roster)
		after    time.Duration
		suspects int
	}{
		{"one box", func(r *membership.Roster) { r.ReportFailure(start, rankID(0)) }, 0, 0},
		{"the same box many times", func(r *membership.Roster) {
			for i := range 9 {
				r.ReceiveFailureReport(start, by("b1", 0, at(time.Duration(i))))
			}
		}, 0, 0},
		{"three boxes", func(r *membership.Roster) {
			r.ReportFailure(start, rankID(0))
			r.ReceiveFailureReport(start, by("b1", 0, start))
			r.ReceiveFailureReport(start, by("b2", 0, start))
		}, 0, 1},
		{"three boxes, one of which reported long ago", func(r *membership.Roster) {
			r.ReceiveFailureReport(start, by("b1", 0, at(-3*time.Second)))
			r.ReportFailure(start, rankID(0))
			r.ReceiveFailureReport(start, by("b2", 0, start))
		}, 0, 0},
		{"the target has served this box since", func(r *membership.Roster) {
			r.ReportFailure(start, rankID(0))
			r.Succeeded(start, rankID(0))
			r.ReceiveFailureReport(start, by("b1", 0, start))
			r.ReceiveFailureReport(start, by("b2", 0, start))
		}, 0, 0},
		{"after the ejection", func(r *membership.Roster) {
			for _, b := range []domain.BoxID{"b1", "b2", "b3"} {
				r.ReceiveFailureReport(start, by(b, 0, start))
			}
		}, 9 * time.Second, 0},
		{"one report is enough on probation", func(r *membership.Roster) {
			for _, b := range []domain.BoxID{"b1", "b2", "b3"} {
				r.ReceiveFailureReport(start, by(b, 0, start))
			}
			r.ReceiveFailureReport(at(5*time.Second), by("b4", 0, at(5*time.Second)))
		}, 6 * time.Second, 1},
		{"most targets are reported", func(r *membership.Roster) {
			for _, b := range []domain.BoxID{"b1", "b2", "b3"} {
				for i := range ranks {
					r.ReceiveFailureReport(start, by(b, ranks-1-i, start))
				}
			}
		}, 0, 0},
		{"a target that is not listed", func(r *membership.Roster) {
			for _, b := range []domain.BoxID{"b1", "b2", "b3"} {
				r.ReceiveFailureReport(start, membership.FailureReport{Target: "nobody", By: b, At: start})
			}
		}, 0, 0},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := ranksOf("b0", ranks, 0)
			tc.events(r)
			n := 0
			for _, s := range standings(r, at(tc.after)) {
				if s == membership.Suspect {
					n++
				}
			}
			if n != tc.suspects {
				t.Errorf("%d suspect targets, want %d", n, tc.suspects)
			}
		})
	}
}

func TestFailureReportsAreBoundedInNumberAndAge(t *testing.T) {
	const ranks, boxes, limit = 90, 30, 40
	r := ranksOf("b0", ranks, 0)
	for i := range ranks {
		for b := range boxes {
			r.ReceiveFailureReport(start, by(domain.BoxID(fmt.Sprintf("b%d", b+1)), i, start))
		}
	}
	if n := len(r.FailureReports(start)); n != limit {
		t.Errorf("%d failure reports are sent, want 40", n)
	}
	if n := len(r.FailureReports(start.Add(time.Minute))); n != 0 {
		t.Errorf("%d failure reports are sent after a minute, want none", n)
	}
}

// fleetOf simulates boxes that share the ranks of a group. The first few ranks hang; the simulation
// counts the requests sent to them.
type fleetOf struct {
	boxes, ranks, hanging int
	perSecond             int
	exchanges             bool // whether boxes exchange failure reports
	rnd                   *rand.Rand
}

func (f fleetOf) wasted(length time.Duration) int {
	const (
		tick    = 10 * time.Millisecond
		overdue = 600 * time.Millisecond // wait after which a box reports a failure
		round   = 500 * time.Millisecond // between two exchanges of a box with others
		peers   = 8                      // boxes in a round
	)
	var rosters []*membership.Roster
	for i := range f.boxes {
		rosters = append(rosters, ranksOf(domain.BoxID(fmt.Sprintf("b%d", i)), f.ranks, f.rnd.Float64()))
	}
	waiting := map[time.Time][][2]int{}
	wasted, due := 0, 0.0
	exchange := func(now time.Time, from int) {
		for range peers {
			to := f.rnd.IntN(f.boxes)
			for _, pair := range [][2]int{{from, to}, {to, from}} {
				for _, x := range rosters[pair[0]].FailureReports(now) {
					rosters[pair[1]].ReceiveFailureReport(now, x)
				}
			}
		}
	}
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		for due += float64(f.perSecond) * tick.Seconds(); due >= 1; due-- {
			box := f.rnd.IntN(f.boxes)
			rank := f.pick(rosters[box], now)
			if rank < f.hanging {
				wasted++
				waiting[now.Add(overdue)] = append(waiting[now.Add(overdue)], [2]int{box, rank})
				continue
			}
			rosters[box].Succeeded(now, rankID(rank))
		}
		for _, w := range waiting[now] {
			rosters[w[0]].Failed(now, rankID(w[1]))
			if notify, _ := rosters[w[0]].ReportFailure(now, rankID(w[1])); notify && f.exchanges {
				exchange(now, w[0])
			}
		}
		for box := range rosters {
			if f.exchanges && now.Sub(start)%round == time.Duration(box)*tick {
				exchange(now, box)
			}
		}
	}
	return wasted
}

// pick chooses at random among the ranks of the best standing, as callers' load does over time.
func (f fleetOf) pick(r *membership.Roster, now time.Time) int {
	list := r.Ranked(now, "s")
	best := 0
	for best < len(list) && list[best].Standing == list[0].Standing {
		best++
	}
	var n int
	if _, err := fmt.Sscanf(string(list[f.rnd.IntN(best)].Target.ID()), "r%d", &n); err != nil {
		panic(err) // ids are made above
	}
	return n
}

// TestExchangedFailureReportsFindHangingTargets guards against hanging targets that stay in use
// because no box sends enough requests to one of them to detect it alone. An eighth of 63 ranks
// hang for 7 s while 38 boxes send 224 requests a second: each box sends each rank one request in
// ten seconds. The numbers are those of a fleet of a hundred boxes at its usual load; a wait of
// 0.6 s is one and a half times the time within which callers expect responses.
func TestExchangedFailureReportsFindHangingTargets(t *testing.T) {
	f := fleetOf{boxes: 38, ranks: 63, hanging: 8, perSecond: 224}
	const length = 7 * time.Second
	f.rnd = rand.New(rand.NewPCG(1, 2))
	without := f.wasted(length)
	f.exchanges, f.rnd = true, rand.New(rand.NewPCG(1, 2))
	with := f.wasted(length)
	if share := float64(with) / float64(without); share > 0.35 {
		t.Errorf("%d requests wasted with exchange of failure reports, %d without: share %.2f, want at most 0.35", with, without, share)
	}
}

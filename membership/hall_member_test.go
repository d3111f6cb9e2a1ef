package membership_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// ranksIn returns ranks of a group of the hall.
func ranksIn(hall domain.HallName, ranks int) []domain.Target {
	var list []domain.Target
	for i := range ranks {
		f := target(fmt.Sprintf("r%03d", i), domain.TargetReady, &domain.Rank{Group: "g", Epoch: 1, Number: i, Size: ranks, Open: true}).Fields()
		f.Hall = hall
		t, err := domain.NewTarget(f)
		if err != nil {
			panic(err)
		}
		list = append(list, t)
	}
	return list
}

// member returns the box of the given number in a hall of the boxes numbered from 0, and its duties.
func member(number, boxes, sharers int, ranks []domain.Target) (*membership.HallMember, membership.Duties) {
	m := membership.NewHallMember(domain.BoxID(fmt.Sprintf("b%02d", number)), "near")
	return m, m.Update(membership.HallNeighbours{Others: hallOf(boxes, number), BoundSharers: sharers, Ranks: ranks})
}

func TestDutiesOfHallMember(t *testing.T) {
	for _, tt := range []struct {
		name          string
		number, boxes int
		targets       int // in the own hall
		role          membership.Role
		first         bool
		all           bool // uses all targets
		hubs          []string
		hubsPerTarget int
	}{
		{"a small hall", 0, 12, 10, membership.Standalone, false, true, nil, membership.HubsPerHall},
		{"the first hub, few targets", 0, 30, 10, membership.Hub, true, true, nil, 3},
		{"the second hub, few targets", 1, 30, 10, membership.Hub, false, true, []string{"b00 first"}, 3},
		{"the first hub, many targets", 0, 30, 100, membership.Hub, true, true, []string{"b01", "b02"}, 1},
		{"the first hub, two hubs to each target", 0, 30, 80, membership.Hub, true, true, []string{"b01", "b02"}, 2},
		{"the third hub, many targets", 2, 30, 100, membership.Hub, false, true, []string{"b00 first", "b01"}, 1},
		{"a follower", 3, 30, 100, membership.Follower, false, false, nil, membership.HubsPerHall},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, d := member(tt.number, tt.boxes, 432, append(ranksIn("near", tt.targets), ranksIn("far", 500)...))
			var hubs []string
			for _, q := range d.Hubs {
				name := string(q.Hub.Box)
				if q.IsFirst {
					name += " first"
				}
				hubs = append(hubs, name)
			}
			if d.Role != tt.role || d.Before != membership.Standalone || d.Subset.All() != tt.all || !reflect.DeepEqual(hubs, tt.hubs) {
				t.Errorf("duties %+v, queries hubs %v", d, hubs)
			}
			if !m.HasRole(tt.role) || m.IsFirstHub() != tt.first || m.HubsPerTarget() != tt.hubsPerTarget {
				t.Errorf("first hub %v, %d hubs per target", m.IsFirstHub(), m.HubsPerTarget())
			}
		})
	}
}

// TestFollowingTheStoreForTheHall covers who relies on a hub to follow the store, and what a box reports to others.
func TestFollowingTheStoreForTheHall(t *testing.T) {
	const stale = time.Second // a hub is relied on for less than that
	for _, tt := range []struct {
		name          string
		number, boxes int
		answer        func(m *membership.HallMember)
		after         time.Duration // since the answer
		healthy       bool          // whether the store answers this box
		relies, tells bool
	}{
		{"nothing received, store answers", 5, 30, func(*membership.HallMember) {}, 0, true, false, false},
		{"a follower, its hub follows", 5, 30, peerAnswer("near", true), stale / 2, false, true, false},
		{"a follower, its hub followed long ago", 5, 30, peerAnswer("near", true), stale, false, false, false},
		{"a follower, its hub does not follow", 5, 30, peerAnswer("near", false), 0, false, false, false},
		{"a follower, its hub does not follow any more", 5, 30, func(m *membership.HallMember) { peerAnswer("near", true)(m); peerAnswer("near", false)(m) }, 0, false, false, false},
		{"a follower, a box of another hall follows", 5, 30, peerAnswer("far", true), 0, false, false, false},
		{"a hub, the first one follows", 1, 30, hubAnswer(true, true), stale / 2, false, true, true},
		{"a hub, another than the first one follows", 1, 30, hubAnswer(false, true), 0, false, false, false},
		{"a hub, store answers", 1, 30, func(*membership.HallMember) {}, 0, true, false, true},
		{"a hall without hubs", 1, 5, peerAnswer("near", true), 0, false, false, false},
		{"a hall without hubs, store answers", 1, 5, func(*membership.HallMember) {}, 0, true, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := member(tt.number, tt.boxes, 30, nil)
			tt.answer(m)
			now := start.Add(tt.after)
			if relies, tells := m.HubFollowsStore(now), m.ReportsFollowing(now, tt.healthy); relies != tt.relies || tells != tt.tells {
				t.Errorf("relies on a hub: %v, tells others that it follows: %v", relies, tells)
			}
		})
	}
}

func peerAnswer(hall domain.HallName, follows bool) func(*membership.HallMember) {
	return func(m *membership.HallMember) {
		m.PeerAnswered(start, membership.PeerQuery{Hall: hall, Box: contact("b00", 1)}, follows)
	}
}

func hubAnswer(first, follows bool) func(*membership.HallMember) {
	return func(m *membership.HallMember) {
		m.HubAnswered(start, membership.HubQuery{Hub: contact("b00", 1), IsFirst: first}, follows)
	}
}

func TestLostHubsAreReportedOnce(t *testing.T) {
	m, d := member(1, 30, 30, nil)
	q := d.Hubs[0]
	for i, step := range []struct{ failed, changed bool }{
		{false, false}, {true, true}, {true, false}, {false, true}, {false, false}, {true, true},
	} {
		var changed bool
		if step.failed {
			changed = m.HubFailed(q)
		} else {
			changed = m.HubAnswered(start, q, true)
		}
		if changed != step.changed {
			t.Errorf("step %d: change %v, want %v", i, changed, step.changed)
		}
	}
}

// TestStoreFollowersOfHubs checks that hubs of different halls count the halls, and take different positions.
func TestStoreFollowersOfHubs(t *testing.T) {
	m, _ := member(0, 30, 30, nil)
	for _, h := range []domain.HallName{"near", "far", "other"} {
		if !m.Watch(h) || m.Watch(h) {
			t.Errorf("hall %s is not added once", h)
		}
	}
	if boxes, position, ok := m.StoreFollowers(); boxes != 3 || position != 1 || !ok {
		t.Errorf("%d boxes follow the store, position %d, hub %v; want three, the second, true", boxes, position, ok)
	}
	if got := m.Unlisted(map[domain.HallName]bool{"far": true}); !reflect.DeepEqual(got, []domain.HallName{"other"}) {
		t.Errorf("stops watching %v, want only the hall without targets that is not the own one", got)
	}
	if boxes, position, _ := m.StoreFollowers(); boxes != 2 || position != 1 {
		t.Errorf("%d boxes follow the store, position %d; want two, the second", boxes, position)
	}
	follower, _ := member(5, 30, 30, nil)
	if _, _, ok := follower.StoreFollowers(); ok {
		t.Error("a follower counts as one of the hubs that follow the store")
	}
}

func TestQueriesAboutHalls(t *testing.T) {
	for _, tt := range []struct {
		name   string
		number int
		hall   domain.HallName
		query  bool
		all    bool // requests the targets of all halls
		part   bool // requests a part of the targets
	}{
		{"a hub, its own hall", 0, "near", false, true, false},
		{"a hub, another hall", 0, "far", true, false, false},
		{"a follower, its own hall", 5, "near", true, true, true},
		{"a follower, another hall that no hub has reported on", 5, "far", true, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			m, _ := member(tt.number, 30, 432, nil)
			m.Watch("near")
			m.Watch("far")
			query, pause := m.ShouldQueryPeer(start, tt.hall, 30)
			want := membership.QueryInterval
			if !tt.query {
				want = membership.MaxReportAge(membership.QueryInterval) / 2
			}
			if query != tt.query || pause != want {
				t.Errorf("queries %v, pause %v, want %v and %v", query, pause, tt.query, want)
			}
			reachable := hallOf(30, 29)
			slices.Reverse(reachable)
			q, ok := m.QueryTo(tt.hall, reachable)
			if !ok || q.Box.Box > "b02" || q.Hall != tt.hall || q.All != tt.all || q.Subset.All() == tt.part {
				t.Errorf("query %+v, want one to a hub", q)
			}
			if m.PeerFailed(q); !m.PeerAnswered(start, q, false) || m.PeerAnswered(start, q, false) || !m.PeerFailed(q) {
				t.Error("want a change of the reporter at the first answer, and a loss at the next failure")
			}
			if _, ok := m.QueryTo(tt.hall, nil); ok {
				t.Error("queries a box though none is reachable")
			}
		})
	}
}

// TestTargetsThatHallMembersQuery checks that the hubs of a hall together query each of its targets, and the
// other boxes none of which there are fresh reports.
func TestTargetsThatHallMembersQuery(t *testing.T) {
	ranks := ranksIn("near", 100)
	queried := map[domain.InstanceID]int{}
	for number := range 30 {
		m, _ := member(number, 30, 30, ranks)
		for _, r := range ranks {
			m.Received("near", r.ID(), start)
		}
		for id := range m.TargetsToQuery(start, ranks, 30) {
			queried[id]++
		}
		if n := len(m.TargetsToQuery(start.Add(time.Minute), ranks, 30)); n != len(ranks) {
			t.Errorf("box %d queries %d targets without fresh reports, want all", number, n)
		}
	}
	for _, r := range ranks {
		if n := queried[r.ID()]; n != 1 {
			t.Errorf("%d boxes query %s, want one", n, r.ID())
		}
	}
}

// TestFollowersOfLargeFleetsQueryTheirSubset checks that a follower without reports queries only targets that it uses.
func TestFollowersOfLargeFleetsQueryTheirSubset(t *testing.T) {
	ranks := ranksIn("near", 100)
	m, d := member(5, 30, 432, ranks)
	got := m.TargetsToQuery(start, ranks, 432)
	if want := d.Subset.Select(ranks); !reflect.DeepEqual(got, want) || len(got) == len(ranks) {
		t.Errorf("queries %d targets, want the %d that it uses", len(got), len(want))
	}
}

func TestHallMemberForgetsTargets(t *testing.T) {
	ranks := ranksIn("far", 1)
	m, _ := member(0, 5, 5, ranks)
	q, _ := m.QueryTo("far", hallOf(3, -1))
	m.PeerAnswered(start, q, false)
	m.Received("far", ranks[0].ID(), start)
	if n := len(m.TargetsToQuery(start, ranks, 5)); n != 0 {
		t.Errorf("queries %d targets that were reported just now", n)
	}
	m.Forget(func(domain.InstanceID) bool { return false })
	if n := len(m.TargetsToQuery(start, ranks, 5)); n != 1 {
		t.Errorf("queries %d targets, want the one that was forgotten", n)
	}
}

// TestHubReportedDecidesOnGrace checks that a removal received through a hub that does not follow the store
// does not end the use of the target at once.
func TestHubReportedDecidesOnGrace(t *testing.T) {
	for _, tt := range []struct {
		name    string
		reports []bool
		usable  bool
	}{
		{"the hub follows the store", []bool{true}, false},
		{"the hub does not follow it", []bool{true, false}, true},
		{"the hub follows it again", []bool{false, true}, true}, // entries may lapse until the store has recovered
	} {
		r := membership.NewRoster("self", membership.DefaultRosterPolicy(2*time.Second))
		r.ApplyUpdate(start, ready("a", 1))
		for _, follows := range tt.reports {
			r.HubReported(start, follows)
		}
		r.ApplyUpdate(start, gone("a", 2))
		if usable := len(r.Ranked(start, "s")) > 0; usable != tt.usable {
			t.Errorf("%s: usable %v, want %v", tt.name, usable, tt.usable)
		}
	}
}

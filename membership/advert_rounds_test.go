package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
)

// roundsWith returns the rounds of a box that has just received a report from each of the boxes.
func roundsWith(boxes int) (*membership.AdvertRounds, *membership.Boxes) {
	b := newBoxes()
	for i := range boxes {
		b.Receive(start, contact(fmt.Sprintf("b%d", i), 1), "near", membership.StoreProgress{}, false)
	}
	return membership.NewAdvertRounds("near", b), b
}

func TestBeginDecidesWhatAdvertsHave(t *testing.T) {
	ms := time.Millisecond
	r, _ := roundsWith(2)
	for i, tt := range []struct {
		at             time.Duration // since the first round
		full, allWorks bool
		nextFull       time.Duration
	}{
		{0, true, true, 500 * ms},
		{100 * ms, false, false, 500 * ms},
		{499 * ms, false, false, 500 * ms},
		{500 * ms, true, false, 1000 * ms},
		{1700 * ms, true, false, 2200 * ms},
		{2100 * ms, false, false, 2200 * ms},
		{3000 * ms, true, true, 3500 * ms},
		{3100 * ms, false, false, 3500 * ms},
		{6001 * ms, true, true, 6501 * ms},
		{6101 * ms, false, false, 6501 * ms},
	} {
		got := r.Begin(start.Add(tt.at), nil)
		if got.Full != tt.full || got.AllWorks != tt.allWorks || !r.NextFullAt().Equal(start.Add(tt.nextFull)) {
			t.Errorf("round %d: %+v, next full round at %v", i, got, r.NextFullAt().Sub(start))
		}
	}
}

// TestSeedsAreSentAdverts covers a box that knows no other, and one that has peers and may still have lost a part of
// the system.
func TestSeedsAreSentAdverts(t *testing.T) {
	for _, tt := range []struct {
		name  string
		peers int
		seeds []string
		at    []time.Duration
		want  []int // seeds that are sent an advert in each round
	}{
		{"no peers", 0, []string{"s1", "s2"}, []time.Duration{0, time.Second, 2 * time.Second}, []int{2, 2, 2}},
		{"peers", 2, []string{"s1", "s2"}, []time.Duration{0, time.Second, 5 * time.Second, 5001 * time.Millisecond, 6 * time.Second}, []int{2, 0, 0, 2, 0}},
		{"no seeds", 0, nil, []time.Duration{0, time.Second}, []int{0, 0}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r, _ := roundsWith(tt.peers)
			for i, at := range tt.at {
				seeds, peers := 0, 0
				for _, a := range r.Begin(start.Add(at), tt.seeds).Adverts {
					switch seed := slices.Contains(tt.seeds, a.Address); {
					case seed == a.Counts:
						t.Errorf("round %d: advert %+v, want counts only for peers", i, a)
					case seed:
						seeds++
					default:
						peers++
					}
				}
				if seeds != tt.want[i] || peers != tt.peers {
					t.Errorf("round %d: adverts to %d seeds and %d peers, want %d and %d", i, seeds, peers, tt.want[i], tt.peers)
				}
			}
		})
	}
}

// TestFullRoundsOfLargeFleetsReplaceANeighbour checks that a box of a large fleet keeps its neighbours in rounds for
// updates only.
func TestFullRoundsOfLargeFleetsReplaceANeighbour(t *testing.T) {
	r, _ := roundsWith(100)
	var before []membership.AdvertTo
	for i, at := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 600 * time.Millisecond} {
		round := r.Begin(start.Add(at), nil)
		if same := slices.Equal(round.Adverts, before); len(round.Adverts) != membership.AdvertFanout || same == round.Full {
			t.Errorf("round %d: full %v, same neighbours %v", i, round.Full, same)
		}
		before = round.Adverts
	}
}

func TestChangesOfBoundSharersAreReportedOnce(t *testing.T) {
	r, b := roundsWith(0)
	for i, tt := range []struct {
		at            time.Duration
		joins         string // a box that reports itself before the round
		before, after int
		changed       bool
	}{
		{0, "", 1, 1, false},
		{time.Second, "", 1, 1, false},
		{3 * time.Second, "", 1, 1, true}, // the box has settled: the number is known
		{4 * time.Second, "", 1, 1, false},
		{5 * time.Second, "a", 1, 2, true},
		{6 * time.Second, "", 2, 2, false},
		{30 * time.Second, "", 2, 1, true},
	} {
		now := start.Add(tt.at)
		if tt.joins != "" {
			b.Receive(now, contact(tt.joins, 1), "near", membership.StoreProgress{}, false)
		}
		got := r.Begin(now, nil)
		if got.SharersBefore != tt.before || got.Sharers != tt.after || got.SharersChanged != tt.changed || r.BoundSharers() != tt.after {
			t.Errorf("round %d: %+v", i, got)
		}
	}
}

// TestPullPeerAfterDelay checks that a box leaves the store time to send an update before it pulls it from a peer, and
// counts anew after it has caught up.
func TestPullPeerAfterDelay(t *testing.T) {
	r, b := roundsWith(1)
	older, newer := membership.StoreProgress{Targets: pos(1)}, membership.StoreProgress{Targets: pos(2)}
	b.Receive(start, contact("b0", 1), "near", newer, false)
	ms := time.Millisecond
	for i, tt := range []struct {
		at          time.Duration
		own         membership.StoreProgress
		began, pull bool
	}{
		{0, newer, false, false},
		{100 * ms, older, true, false},
		{150 * ms, older, false, false},
		{200 * ms, older, false, true},
		{300 * ms, older, false, false}, // pulled just now
		{500 * ms, older, false, true},
		{600 * ms, newer, false, false},
		{900 * ms, older, true, false},
	} {
		now := start.Add(tt.at)
		began := r.TrackBehind(now, tt.own)
		c, pull := r.PullPeer(now, tt.own)
		if began != tt.began || pull != tt.pull || pull != (c.Box == "b0") {
			t.Errorf("step %d: began to be behind %v, pulls %v from %s", i, began, pull, c.Box)
		}
	}
}

func TestAllLimitsAreRequestedUntilSettledBoxReplies(t *testing.T) {
	r, _ := roundsWith(0)
	for i, tt := range []struct {
		settled, needs bool // whether the replying box is settled, and what holds afterwards
	}{{false, true}, {true, false}, {false, false}} {
		r.Replied(membership.ShareReport{Settled: tt.settled})
		if r.NeedsAllLimits() != tt.needs {
			t.Errorf("reply %d: needs all limits %v", i, r.NeedsAllLimits())
		}
	}
}

func TestIsolatedWithoutReportsFromOtherHalls(t *testing.T) {
	for _, tt := range []struct {
		name     string
		hall     domain.HallName // of the other box; empty for none
		after    time.Duration
		isolated bool
	}{
		{"no other box", "", time.Minute, false},
		{"a box of its own hall", "near", 3 * time.Second, false},
		{"a box of another hall", "far", membership.ReachableFor, false},
		{"a box of another hall is silent", "far", membership.ReachableFor + 1, true},
		{"a box of another hall was silent for long", "far", membership.BoundSharerTimeout + 1, false},
	} {
		r, b := roundsWith(0)
		if tt.hall != "" {
			b.Receive(start, contact("a", 1), tt.hall, membership.StoreProgress{}, false)
		}
		if got := r.Isolated(start.Add(tt.after)); got != tt.isolated {
			t.Errorf("%s: isolated %v", tt.name, got)
		}
	}
}

func TestTrialBoxes(t *testing.T) {
	r, _ := roundsWith(2)
	r.Begin(start, nil)
	for _, tt := range []struct {
		name    string
		after   time.Duration
		leaving bool
		boxes   int
	}{
		{"just started", time.Second, false, 0},
		{"settled, the others are silent", 2 * time.Second, false, 1},
		{"leaving", 2 * time.Second, true, 0},
	} {
		if got := r.TrialBoxes(start.Add(tt.after), tt.leaving); len(got) != tt.boxes {
			t.Errorf("%s: %v, want %d", tt.name, got, tt.boxes)
		}
	}
}

func TestEvacuationsListSince(t *testing.T) {
	e := membership.NewEvacuations()
	e.ApplyChanges(pos(9), []membership.EvacuationUpdate{begun("a", 1, 3), begun("b", 1, 5), ended("a", 1, 6)})
	if at, list, lacks := e.ListSince(pos(5)); !lacks || at != pos(6) || len(list) != 1 || list[0].Hall != "b" {
		t.Errorf("for a box at 5: lacks %v, %v at %v", lacks, list, at)
	}
	if _, list, lacks := e.ListSince(pos(6)); lacks || list != nil {
		t.Errorf("for a box at 6: lacks %v, %v", lacks, list)
	}
}

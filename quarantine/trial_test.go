package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
)

// alone is the fleet of a box without others, which always has its turn.
var alone = quarantine.Fleet{Self: "b-0", Reached: []domain.BoxID{"b-0"}, Known: 1}

// TestTrialBegins guards against work that stays in quarantine though it is harmless, and against trials
// that come too early, twice, or beside one of another box. The work's quarantine is from second 0 to 120.
func TestTrialBegins(t *testing.T) {
	const claimed = 72 * time.Second
	claim := func(r *quarantine.Register) {
		r.ObserveClaim(begin.Add(claimed), quarantine.Claim{Digest: fatal, After: claimed})
	}
	own := func(r *quarantine.Register) { r.BeginTrial(begin.Add(claimed), fatal, alone) }
	ownEnded := func(r *quarantine.Register) {
		own(r)
		r.EndTrial(begin.Add(claimed), fatal, true)
	}
	minority := quarantine.Fleet{Self: "b-0", Reached: []domain.BoxID{"b-0", "b-1"}, Known: 4}
	for _, tc := range []struct {
		name   string
		before func(*quarantine.Register) // what happened; may be nil
		at     time.Duration
		fleet  quarantine.Fleet
		want   bool
	}{
		{"first half of the quarantine", nil, 59 * time.Second, alone, false},
		{"second half of the quarantine", nil, time.Minute, alone, true},
		{"second half of a turn", nil, time.Minute + 3*time.Second, alone, false},
		{"quarantine over", nil, 2 * time.Minute, alone, false},
		{"box has just started or is leaving", nil, time.Minute, quarantine.Fleet{Self: "b-0", Known: 1}, false},
		{"half of the boxes reached", nil, time.Minute, minority, false},
		{"boxes forgotten since the quarantine began", func(r *quarantine.Register) { r.NoteBoxes(fatal, 2) }, time.Minute, alone, false},
		{"another box tries", claim, claimed + 11*time.Second, alone, false},
		{"another box tried and has no result", claim, claimed + 12*time.Second, alone, true},
		{"this box tries, for long", own, claimed + 30*time.Second, alone, false},
		{"this box tried and has no result", ownEnded, claimed + 11*time.Second, alone, false},
		{"this box tried long ago and has no result", ownEnded, claimed + 12*time.Second, alone, true},
		{"the target of the trial ended", func(r *quarantine.Register) {
			ownEnded(r)
			observe(r, ended(fatal, "c", claimed))
		}, claimed + 9*time.Minute, alone, false},
		{"half of the longer quarantine over", func(r *quarantine.Register) {
			ownEnded(r)
			observe(r, ended(fatal, "c", claimed))
		}, claimed + 10*time.Minute, alone, true},
		{"served by the trial", func(r *quarantine.Register) {
			own(r)
			observe(r, served(claimed))
		}, claimed + 20*time.Second, alone, false},
		{"claim from the future", func(r *quarantine.Register) {
			r.ObserveClaim(begin, quarantine.Claim{Digest: fatal, After: time.Hour})
		}, time.Minute, alone, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := observe(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", 0))
			if tc.before != nil {
				tc.before(r)
			}
			if got := r.BeginTrial(begin.Add(tc.at), fatal, tc.fleet); got != tc.want {
				t.Errorf("trial begins = %v, want %v", got, tc.want)
			}
			if r.BeginTrial(begin.Add(tc.at), fatal, tc.fleet) {
				t.Error("a second trial begins beside the first")
			}
		})
	}
}

// TestOneBoxHasTheTurn guards against boxes that all try a popular work at the moment at which that is due,
// before any of them has received the claim of another's trial, and against boxes that never get a turn.
func TestOneBoxHasTheTurn(t *testing.T) {
	const boxes = 37
	var names []domain.BoxID
	for i := range boxes {
		names = append(names, domain.BoxID(fmt.Sprint("b-", i)))
	}
	owners := map[domain.BoxID]bool{}
	for turn := range 10 {
		trying := 0
		for _, self := range names {
			r := observe(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", 0))
			if r.BeginTrial(begin.Add(time.Minute+time.Duration(turn)*6*time.Second), fatal, quarantine.Fleet{Self: self, Reached: names, Known: boxes}) {
				trying++
				owners[self] = true
			}
		}
		if trying != 1 {
			t.Errorf("turn %d: %d boxes try the work, want 1", turn, trying)
		}
	}
	if len(owners) < 5 {
		t.Errorf("%d boxes share 10 turns", len(owners))
	}
}

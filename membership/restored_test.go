package membership_test

import (
	"testing"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/store"
)

// in returns the update with its position moved into the era.
func in(era store.Era, u membership.TargetUpdate) membership.TargetUpdate {
	u.At = store.PositionOf(era, u.At.Revision())
	return u
}

// TestRestoreFromOlderBackupKeepsTargets guards against targets that left and get work again, and
// against running targets that get none, because the store was restored from a backup that was
// taken before they left or started.
func TestRestoreFromOlderBackupKeepsTargets(t *testing.T) {
	const settled = 20 * time.Second
	secondEra := func(u membership.TargetUpdate) membership.TargetUpdate { return in(2, u) }
	tests := []struct {
		name   string
		before []membership.TargetUpdate // changes of the first era
		backup []membership.TargetUpdate // the first list after the restore
		after  []membership.TargetUpdate // changes after that list
		listed []membership.TargetUpdate // a list long after the restore
		soon   bool                      // whether the target is used two seconds after the restore
		late   bool                      // whether the target is used after the later list
	}{
		{
			name: "nothing changed", before: []membership.TargetUpdate{ready("a", 30)},
			backup: []membership.TargetUpdate{ready("a", 30)}, listed: []membership.TargetUpdate{ready("a", 30)}, soon: true, late: true,
		},
		{
			name: "it was removed", before: []membership.TargetUpdate{ready("a", 30), gone("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, listed: nil,
		},
		{
			name: "it was removed, and its entry is removed again", before: []membership.TargetUpdate{ready("a", 30), gone("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, after: []membership.TargetUpdate{gone("a", 45)}, listed: nil,
		},
		{
			name: "its entry had lapsed, and the target writes it again", before: []membership.TargetUpdate{ready("a", 30), gone("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, after: []membership.TargetUpdate{ready("a", 45)}, listed: []membership.TargetUpdate{ready("a", 45)}, soon: true, late: true,
		},
		{
			name: "its entry had lapsed, and the backup's entry remains", before: []membership.TargetUpdate{ready("a", 30), gone("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, listed: []membership.TargetUpdate{ready("a", 30)}, late: true,
		},
		{
			name: "it was leaving", before: []membership.TargetUpdate{ready("a", 30), leaving("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, listed: []membership.TargetUpdate{ready("a", 30)},
		},
		{
			name: "it was leaving, and reports that again", before: []membership.TargetUpdate{ready("a", 30), leaving("a", 50)},
			backup: []membership.TargetUpdate{ready("a", 30)}, after: []membership.TargetUpdate{leaving("a", 41)}, listed: []membership.TargetUpdate{leaving("a", 41)},
		},
		{
			name: "it started after the backup, and writes its entry again", before: []membership.TargetUpdate{ready("a", 50)},
			after: []membership.TargetUpdate{ready("a", 42)}, listed: []membership.TargetUpdate{ready("a", 42)}, soon: true, late: true,
		},
		{
			name: "it started after the backup, and never writes its entry again", before: []membership.TargetUpdate{ready("a", 50)}, soon: true,
		},
		{
			name: "it leaves after the restore", before: []membership.TargetUpdate{ready("a", 30)},
			backup: []membership.TargetUpdate{ready("a", 30)}, after: []membership.TargetUpdate{leaving("a", 41)}, listed: []membership.TargetUpdate{leaving("a", 41)},
		},
		{
			name: "it starts after the restore", after: []membership.TargetUpdate{ready("a", 41)}, listed: []membership.TargetUpdate{ready("a", 41)}, soon: true, late: true,
		},
		{
			name: "it is known from the backup only", backup: []membership.TargetUpdate{ready("a", 30)}, listed: []membership.TargetUpdate{ready("a", 30)}, soon: true, late: true,
		},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := newRoster()
			r.ApplyList(start, pos(1), nil)
			for _, u := range tc.before {
				r.ApplyUpdate(start, u)
			}
			restored := start.Add(time.Minute)
			r.StoreUnavailable(restored)
			r.ApplyList(restored, store.PositionOf(2, 40), mapped(tc.backup, secondEra))
			for _, u := range mapped(tc.after, secondEra) {
				r.ApplyUpdate(restored.Add(time.Second), u)
			}
			if got := mayBeUsed(r, restored.Add(2*time.Second), "a"); got != tc.soon {
				t.Errorf("two seconds after the restore used: %v", got)
			}
			r.ApplyList(restored.Add(settled), store.PositionOf(2, 60), mapped(tc.listed, secondEra))
			if got := mayBeUsed(r, restored.Add(settled), "a"); got != tc.late {
				t.Errorf("after the later list used: %v", got)
			}
		})
	}
}

func mapped(list []membership.TargetUpdate, f func(membership.TargetUpdate) membership.TargetUpdate) []membership.TargetUpdate {
	var out []membership.TargetUpdate
	for _, u := range list {
		out = append(out, f(u))
	}
	return out
}

// TestSecondRestoreDoesNotReviveTargets guards against a second restore after which entries of the
// first restored list count as later changes.
func TestSecondRestoreDoesNotReviveTargets(t *testing.T) {
	r := newRoster()
	r.ApplyList(start, pos(60), []membership.TargetUpdate{ready("running", 20), ready("left", 30)})
	r.ApplyUpdate(start, gone("left", 61))
	for i, era := range []store.Era{2, 3} {
		now := start.Add(time.Duration(i+1) * 500 * time.Millisecond)
		r.ApplyList(now, store.PositionOf(era, 40), []membership.TargetUpdate{in(era, ready("running", 20)), in(era, ready("left", 30))})
		if mayBeUsed(r, now, "left") || !mayBeUsed(r, now, "running") {
			t.Errorf("era %d: %v", era, standings(r, now))
		}
	}
	if r.ApplyList(start.Add(2*time.Second), pos(90), []membership.TargetUpdate{ready("left", 30)}) != nil {
		t.Error("a late list of the first era was applied")
	}
	r.ApplyUpdate(start.Add(2*time.Second), in(2, leaving("running", 90)))
	if at := r.At(); at != store.PositionOf(3, 40) {
		t.Errorf("a late change of the second era moved the list to %v", at)
	}
	if mayBeUsed(r, start.Add(2*time.Second), "running") {
		t.Error("used although it reported in the second era that it was leaving")
	}
}

// TestRestoreKeepsLaterFormation guards against a restored entry of a group's earlier formation
// that replaces the entry of the later one.
func TestRestoreKeepsLaterFormation(t *testing.T) {
	r := newRoster()
	entry := func(at store.Position, epoch uint64) membership.TargetUpdate {
		rank := &domain.Rank{Group: "g", Epoch: epoch, Number: 0, Size: 1, Open: true}
		return membership.TargetUpdate{ID: "a", At: at, Target: target("a", domain.TargetReady, rank)}
	}
	epoch := func() uint64 {
		x, _ := r.Get("a")
		rank, _ := x.Rank()
		return rank.Epoch
	}
	r.ApplyList(start, pos(50), []membership.TargetUpdate{entry(pos(50), 2)})
	r.ApplyList(start, store.PositionOf(2, 40), []membership.TargetUpdate{entry(store.PositionOf(2, 30), 1)})
	if epoch() != 2 {
		t.Errorf("epoch %d after the restore, want 2", epoch())
	}
	r.ApplyUpdate(start, entry(store.PositionOf(2, 41), 3))
	if epoch() != 3 {
		t.Errorf("epoch %d after the entry was written again, want 3", epoch())
	}
}

package quarantine_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 400, 0) }

var begin = time.Unix(1_800_000_000, 0)

const fatal call.Digest = "fatal"

// ended is the word that a target ended under the work so long after begin.
func ended(d call.Digest, target string, after time.Duration) quarantine.Observation {
	return quarantine.Observation{Digest: d, Target: domain.InstanceID(target), At: begin.Add(after)}
}

// served is the word that the fatal work was served after all.
func served(after time.Duration) quarantine.Observation {
	return quarantine.Observation{Digest: fatal, At: begin.Add(after)}
}

// taking gives the register the observations, each as it happens.
func taking(r *quarantine.Register, observations ...quarantine.Observation) *quarantine.Register {
	for _, w := range observations {
		r.Observe(w.At, w)
	}
	return r
}

// TestWhenWorkIsBarred: the incident was work that ended a target with each try; beside it ran
// work that was hit once, or is asked for by many.
func TestWhenWorkIsBarred(t *testing.T) {
	for _, tc := range []struct {
		name         string
		observations []quarantine.Observation
		at           time.Duration // of the question
		want         time.Duration // end of its quarantine; 0 for none
	}{
		{"nothing is known", nil, 0, 0},
		{"one target ended", []quarantine.Observation{ended(fatal, "a", 0)}, 0, 0},
		{"two ended", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", time.Second)}, time.Second, 121 * time.Second},
		{"one ended, told twice", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "a", time.Second)}, time.Second, 0},
		{"one target ended again under its id", []quarantine.Observation{ended(fatal, "a@1", 0), ended(fatal, "a@2", time.Second)}, time.Second, 121 * time.Second},
		{"other work", []quarantine.Observation{ended(fatal, "a", 0), ended("other", "b", 0)}, 0, 0},
		{"two ended, the quarantine is over", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, 2 * time.Minute, 0},
		{"and a third ended then", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0), ended(fatal, "c", 2*time.Minute)}, 2 * time.Minute, 22 * time.Minute},
		{"and a fourth", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0), ended(fatal, "c", 2*time.Minute), ended(fatal, "d", 22*time.Minute)},
			22 * time.Minute, 222 * time.Minute},
		{"two ended, it was served between", []quarantine.Observation{ended(fatal, "a", 0), served(time.Second), ended(fatal, "b", 2*time.Second)}, 2 * time.Second, 0},
		{"two ended, it was served after", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0), served(time.Second)}, time.Second, 0},
		{"served lately, three ended", []quarantine.Observation{served(0), ended(fatal, "a", time.Second), ended(fatal, "b", time.Second), ended(fatal, "c", time.Second)}, time.Second, 0},
		{"served lately, four ended", []quarantine.Observation{served(0), ended(fatal, "a", time.Second), ended(fatal, "b", time.Second), ended(fatal, "c", time.Second), ended(fatal, "d", time.Second)},
			time.Second, 121 * time.Second},
		{"served long ago, two ended", []quarantine.Observation{served(0), ended(fatal, "a", 2*time.Minute), ended(fatal, "b", 2*time.Minute)}, 2 * time.Minute, 4 * time.Minute},
		{"served before two ended, told late", []quarantine.Observation{ended(fatal, "a", 2*time.Second), ended(fatal, "b", 2*time.Second), served(time.Second)}, 3 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := taking(quarantine.NewRegister(), tc.observations...)
			until, barred := r.QuarantinedUntil(begin.Add(tc.at), fatal)
			if barred != (tc.want > 0) {
				t.Fatalf("barred %v, until %v", barred, until.Sub(begin))
			}
			if barred && until.Sub(begin) != tc.want {
				t.Errorf("until %v, want %v", until.Sub(begin), tc.want)
			}
		})
	}
}

// TestWhatAWordChanges: boxes are told at once, and a line is logged, only of what is new.
func TestWhatAWordChanges(t *testing.T) {
	r := quarantine.NewRegister()
	for i, tc := range []struct {
		word quarantine.Observation
		want quarantine.Change
	}{
		{served(0), quarantine.Unchanged},
		{ended(fatal, "a", 2*time.Minute), quarantine.Updated},
		{ended(fatal, "a", 2*time.Minute), quarantine.Unchanged},
		{ended(fatal, "b", 2*time.Minute), quarantine.Quarantined},
		{ended(fatal, "c", 2*time.Minute), quarantine.Quarantined},
		{served(3 * time.Minute), quarantine.Released},
		{served(3 * time.Minute), quarantine.Unchanged},
		{ended(fatal, "d", time.Minute), quarantine.Unchanged},
	} {
		if got := r.Observe(tc.word.At, tc.word); got != tc.want {
			t.Errorf("word %d changed %d, want %d", i, got, tc.want)
		}
	}
}

// TestBoxesAgree: whatever the order in which two boxes hear what ended when, and however
// often, they bar the same work until the same time.
func TestBoxesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var observations []quarantine.Observation
		for range rapid.IntRange(1, 12).Draw(rt, "observations") {
			d := rapid.SampledFrom([]call.Digest{"x", "y"}).Draw(rt, "work")
			target := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "target")
			observations = append(observations, ended(d, target, time.Duration(len(observations))*time.Second))
		}
		first := map[string]bool{} // a target ends once
		kept := observations[:0]
		for _, w := range observations {
			if key := string(w.Digest) + string(w.Target); !first[key] {
				first[key] = true
				kept = append(kept, w)
			}
		}
		one := taking(quarantine.NewRegister(), kept...)
		other := quarantine.NewRegister()
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 0))
		now := begin.Add(time.Minute)
		for range 2 {
			for _, i := range rnd.Perm(len(kept)) {
				other.Observe(now, kept[i])
			}
		}
		for _, d := range []call.Digest{"x", "y"} {
			a, aBarred := one.QuarantinedUntil(now, d)
			b, bBarred := other.QuarantinedUntil(now, d)
			if !a.Equal(b) || aBarred != bBarred {
				rt.Fatalf("%s: until %v, %v against %v, %v", d, a, aBarred, b, bBarred)
			}
		}
	})
}

// TestABoxThatWasCutOffLearnsWhatIsBarred: of quarantines all is told now and then as long as
// they last, of the rest only what is new, and never more than fits into a message.
func TestABoxThatWasCutOffLearnsWhatIsBarred(t *testing.T) {
	r := taking(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", 0), ended("hit once", "a", 0))
	now := begin.Add(time.Minute)
	late := taking(quarantine.NewRegister())
	for _, w := range r.Latest(now, true) {
		late.Observe(now, w)
	}
	if _, barred := late.QuarantinedUntil(now, fatal); !barred {
		t.Error("a box that was cut off does not know of the quarantine")
	}
	if n := len(r.Latest(now, true)); n != 2 {
		t.Errorf("%d observations are told, of two ended targets", n)
	}
	if n := len(r.Latest(now, false)); n != 0 {
		t.Errorf("%d observations are told over and over", n)
	}
	if n := len(r.Latest(begin.Add(time.Second), false)); n != 3 {
		t.Errorf("%d observations are told while all is new", n)
	}
	for i := range 100 {
		r.Observe(now, ended(call.Digest(fmt.Sprint("hit ", i)), "c", time.Minute))
	}
	if n := len(r.Latest(now, true)); n != 40 {
		t.Errorf("%d observations in a message", n)
	}
}

// TestARegisterIsBounded: a storm that hits thousands of works does not fill the box's
// memory, and does not push out what is in quarantine.
func TestARegisterIsBounded(t *testing.T) {
	r := taking(quarantine.NewRegister(), ended(fatal, "a", 0), ended(fatal, "b", 0))
	const most = 1024
	for i := range 3 * most {
		at := time.Duration(i) * time.Millisecond
		r.Observe(begin.Add(at), ended(call.Digest(fmt.Sprint("hit ", i)), "c", at))
	}
	known := 0
	for i := range 3 * most {
		known += r.EndedTargets(call.Digest(fmt.Sprint("hit ", i)))
	}
	if known > most {
		t.Errorf("%d works are remembered", known)
	}
	if _, barred := r.QuarantinedUntil(begin.Add(time.Minute), fatal); !barred {
		t.Error("the quarantine was forgotten")
	}
}

// TestARecordBringsAQuarantineBack: what the store keeps is enough for a box that knows
// nothing, until it is over.
func TestARecordBringsAQuarantineBack(t *testing.T) {
	r := taking(quarantine.NewRegister(), ended(fatal, "a@7", 0), ended(fatal, "b", time.Second))
	raw, err := json.Marshal(quarantine.NewRecord(r.Observations(fatal)))
	if err != nil {
		t.Fatal(err)
	}
	var back quarantine.Record
	if err := json.Unmarshal(raw, &back); err != nil {
		t.Fatal(err)
	}
	now := begin.Add(time.Minute)
	other := quarantine.NewRegister()
	for _, w := range back.Observations(now, now) {
		other.Observe(now, w)
	}
	until, barred := other.QuarantinedUntil(now, fatal)
	if want, _ := r.QuarantinedUntil(now, fatal); !barred || !until.Equal(want) {
		t.Errorf("barred %v until %v, want %v", barred, until, want)
	}
	if back.Expired(begin.Add(time.Hour)) || !back.Expired(begin.Add(2*time.Hour)) {
		t.Error("the record is over too early, or never")
	}
	for _, bad := range []string{"", "{}", `{"digest":"x"}`, `{"digest":"","ended":{"a":1}}`, `{"digest":"x","ended":[]}`} {
		if json.Unmarshal([]byte(bad), &back) == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

package quarantine_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/core/call"
	"clovertrail.dev/quarantine"
)

// lifted returns the lift of the fatal work at begin+after.
func lifted(after time.Duration) quarantine.Lift {
	return quarantine.Lift{Digest: fatal, At: begin.Add(after)}
}

// TestLiftWinsAgainstOlderEnds guards against a quarantine that comes back after an operator lifted it, as
// boxes that were cut off send ends from before, and against work that is not protected any more after it.
func TestLiftWinsAgainstOlderEnds(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before []quarantine.Observation // known as the lift is received
		after  []quarantine.Observation // received later
		want   quarantine.Change
		ends   int // that count in the end; negative if they do not suffice, as the work was served lately
	}{
		{"in quarantine", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, nil, quarantine.Lifted, 0},
		{"the same ends come back", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, quarantine.Lifted, 0},
		{"other older ends come", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, []quarantine.Observation{ended(fatal, "c", time.Second), ended(fatal, "d", time.Minute)}, quarantine.Lifted, 0},
		{"ends come after the lift only", nil, []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, quarantine.Updated, 0},
		{"one end", []quarantine.Observation{ended(fatal, "a", 0)}, nil, quarantine.Updated, 0},
		{"two targets end afterwards", []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", 0)}, []quarantine.Observation{ended(fatal, "c", 2*time.Minute), ended(fatal, "d", 2*time.Minute)}, quarantine.Lifted, 2},
		{"served before, two targets end afterwards", []quarantine.Observation{ended(fatal, "a", 0), served(50 * time.Second), ended(fatal, "b", 55*time.Second)}, []quarantine.Observation{ended(fatal, "c", 105*time.Second), ended(fatal, "d", 105*time.Second)}, quarantine.Updated, -2},
		{"served before any target ended, and an older record of that", []quarantine.Observation{served(70 * time.Second), served(10 * time.Second)}, []quarantine.Observation{ended(fatal, "c", 65*time.Second)}, quarantine.Updated, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := observe(quarantine.NewRegister(), tc.before...)
			now := begin.Add(time.Minute)
			if got := r.ObserveLift(now, lifted(time.Minute)); got != tc.want {
				t.Errorf("change %d, want %d", got, tc.want)
			}
			if r.ObserveLift(now, lifted(time.Minute)) != quarantine.Unchanged || r.ObserveLift(now, lifted(30*time.Second)) != quarantine.Unchanged {
				t.Error("a lift that is known, or an older one, is a change")
			}
			for _, o := range tc.after {
				r.Observe(begin.Add(2*time.Minute), o)
			}
			_, quarantined := r.QuarantinedUntil(begin.Add(2*time.Minute), fatal)
			if n := r.EndedTargets(fatal); n != max(tc.ends, -tc.ends) || quarantined != (tc.ends > 1) {
				t.Errorf("%d ends count, quarantined = %v, want %d ends", n, quarantined, tc.ends)
			}
		})
	}
}

// TestLiftsAgreeInAnyOrder checks that boxes agree on a work whatever the order in which they receive the
// ends of its targets, its lifts and when it was served.
func TestLiftsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const span = 100 // seconds, less than a quarantine lasts
		now := begin.Add(span * time.Second)
		var steps []func(*quarantine.Register)
		for i := range rapid.IntRange(1, 8).Draw(rt, "steps") {
			at := time.Duration(rapid.IntRange(0, span).Draw(rt, "at")) * time.Second
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				steps = append(steps, func(r *quarantine.Register) { r.ObserveLift(now, lifted(at)) })
			case 1:
				steps = append(steps, func(r *quarantine.Register) { r.Observe(now, served(at)) })
			default:
				steps = append(steps, func(r *quarantine.Register) { r.Observe(now, ended(fatal, string(rune('a'+i)), at)) })
			}
		}
		one, other := quarantine.NewRegister(), quarantine.NewRegister()
		for _, s := range steps {
			s(one)
		}
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "order"), 0))
		for range 2 {
			for _, i := range rnd.Perm(len(steps)) {
				steps[i](other)
			}
		}
		x, xQuarantined := one.QuarantinedUntil(now, fatal)
		y, yQuarantined := other.QuarantinedUntil(now, fatal)
		if xQuarantined != yQuarantined || xQuarantined && !x.Equal(y) {
			rt.Fatalf("quarantined until %v, %v in one register and %v, %v in the other", x, xQuarantined, y, yQuarantined)
		}
	})
}

// TestBoxThatMissedReleaseLearnsIt guards against a box that was cut off, or restarted and read old records,
// and keeps a work in quarantine that was lifted or served long ago: boxes that receive its observations
// answer with the release. It also guards against boxes that send each other the same release for ever,
// since a message takes time and its contents seem later at each box.
func TestBoxThatMissedReleaseLearnsIt(t *testing.T) {
	for name, release := range map[string]func(m *model, b *modelBox){
		"lifted": func(m *model, b *modelBox) {
			b.register.ObserveLift(m.now, quarantine.Lift{Digest: fatal, At: m.now})
		},
		"served": func(m *model, b *modelBox) {
			b.register.Observe(m.now, quarantine.Observation{Digest: fatal, At: m.now})
		},
	} {
		t.Run(name, func(t *testing.T) {
			m := newModel(1, 8)
			m.boxes[7].part = 1
			release(m, m.boxes[0])
			for m.now.Sub(begin) < 20*time.Second {
				m.step(0)
			}
			if n, cutOff := m.quarantined(0), m.quarantined(1); n != 0 || cutOff != 1 {
				t.Errorf("in quarantine at %d boxes and %d that are cut off, want only one that is cut off", n, cutOff)
			}
			for _, b := range m.boxes[:7] {
				if len(b.register.Latest(m.now, false)) > 0 || len(b.register.Lifts(m.now)) > 0 {
					t.Errorf("%s still sends the release", b.name)
				}
			}
			m.boxes[7].part = 0
			for m.now.Sub(begin) < 30*time.Second {
				m.step(0)
			}
			if n := m.quarantined(0); n != 0 {
				t.Errorf("in quarantine at %d boxes after the cut, want none", n)
			}
		})
	}
}

// TestLiftRecord checks what boxes read from the stored record of a lift, whose time is that of the
// operator's clock: a clock that is ahead must not clear ends again each time that the record is read.
func TestLiftRecord(t *testing.T) {
	ends := []quarantine.Observation{ended(fatal, "a", 0), ended(fatal, "b", time.Second)}
	for _, tc := range []struct {
		name    string
		at      time.Duration // by the operator's clock
		ends    []quarantine.Observation
		read    time.Duration
		want    time.Duration // when the work is lifted; negative for not at all
		expired bool
	}{
		{"read at once", time.Minute, ends, time.Minute, time.Minute, false},
		{"read later", time.Minute, ends, time.Hour, time.Minute, false},
		{"read as no end can be older", time.Minute, ends, 50 * time.Hour, time.Minute, true},
		{"operator's clock a little ahead", time.Minute + 9*time.Second, ends, time.Minute, time.Minute, false},
		{"operator's clock far ahead", time.Hour, ends, time.Minute, time.Second, false},
		{"operator's clock behind", -time.Hour, ends, time.Minute, time.Second + time.Millisecond, false},
		{"without ends", time.Minute, nil, time.Hour, time.Minute, false},
		{"without ends, clock far ahead", time.Hour, nil, time.Minute, -1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			raw, err := json.Marshal(quarantine.NewLiftRecord(fatal, begin.Add(tc.at), tc.ends))
			var r quarantine.Record
			if err != nil || json.Unmarshal(raw, &r) != nil {
				t.Fatalf("record %s, error %v", raw, err)
			}
			read := begin.Add(tc.read)
			got, ok := r.Lift(read, read)
			if ok != (tc.want >= 0) || ok && !got.At.Equal(begin.Add(tc.want)) {
				t.Errorf("lifted = %v at begin+%v, want begin+%v", ok, got.At.Sub(begin), tc.want)
			}
			if r.Expired(read) != tc.expired {
				t.Errorf("expired = %v", r.Expired(read))
			}
		})
	}
	first := quarantine.NewRecord(ends)
	again := quarantine.NewRecord([]quarantine.Observation{ended(fatal, "c", 0), ended(fatal, "d", 0)})
	if first.Name() == again.Name() {
		t.Errorf("the record of another quarantine of the work has the name of the first, %s, and would not be written", first.Name())
	}
}

// TestRestoredStoreGetsLiftsBack checks which lifts a box writes again after the store was restored from a
// backup: those that the store lacks, also if other boxes read the time of the same lift by other clocks.
func TestRestoredStoreGetsLiftsBack(t *testing.T) {
	r := quarantine.NewRegister()
	r.ObserveLift(begin.Add(time.Minute), lifted(time.Minute))
	for name, tc := range map[string]struct {
		stored quarantine.Lift
		want   int
	}{
		"no lift":                {quarantine.Lift{}, 1},
		"the lift":               {lifted(time.Minute - 9*time.Second), 0},
		"an earlier lift":        {lifted(30 * time.Second), 1},
		"a lift of another work": {quarantine.Lift{Digest: call.Digest("other"), At: begin.Add(time.Minute)}, 1},
	} {
		stored := quarantine.NewRegister()
		stored.ObserveLift(begin.Add(time.Minute), tc.stored)
		if got := r.LiftsToPersist(begin.Add(time.Minute), stored); len(got) != tc.want {
			t.Errorf("%s in the store: %v to write, want %d", name, got, tc.want)
		}
	}
	if got := r.LiftsToPersist(begin.Add(50*time.Hour), quarantine.NewRegister()); len(got) != 0 {
		t.Errorf("%v to write though no end can be older", got)
	}
}

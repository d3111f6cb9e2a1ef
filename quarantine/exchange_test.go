package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"clovertrail.dev/core/call"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/store"
)

func newExchange(first bool) *quarantine.Exchange {
	return quarantine.NewExchange(rand.New(rand.NewPCG(1, 2)), func(t time.Time) time.Time { return t }, first)
}

// bothEnded returns the observations of two ends under the work.
func bothEnded(d call.Digest) []quarantine.Observation {
	return []quarantine.Observation{ended(d, "a", 0), ended(d, "b", time.Second)}
}

// TestEffectsOfObservations covers what follows from an observation of this box and from the same one of another.
func TestEffectsOfObservations(t *testing.T) {
	now := begin.Add(time.Second)
	for _, tt := range []struct {
		name        string
		before      []quarantine.Observation // of other boxes
		observation quarantine.Observation
		change      quarantine.Change
		own, other  quarantine.Effects // without what was observed
	}{
		{
			"a first end", nil, ended(fatal, "a", 0), quarantine.Updated,
			quarantine.Effects{Notify: true}, quarantine.Effects{},
		},
		{
			"an end that is known", bothEnded(fatal)[:1], ended(fatal, "a", 0), quarantine.Unchanged,
			quarantine.Effects{}, quarantine.Effects{},
		},
		{
			"the end that puts the work in quarantine", bothEnded(fatal)[:1], ended(fatal, "b", time.Second), quarantine.Quarantined,
			quarantine.Effects{Notify: true, Write: true, Quarantined: []call.Digest{fatal}, Surveys: bothEnded(fatal)[1:]},
			quarantine.Effects{Notify: true, Quarantined: []call.Digest{fatal}},
		},
		{
			"the work is served", bothEnded(fatal), served(time.Second + 1), quarantine.Released,
			quarantine.Effects{Notify: true, Write: true}, quarantine.Effects{},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			own, other := newExchange(false), newExchange(false)
			own.ObserveOthers(now, tt.before)
			other.ObserveOthers(now, tt.before)
			list := []quarantine.Observation{tt.observation}
			for _, x := range []struct {
				box       string
				got, want quarantine.Effects
			}{{"own", own.ObserveOwn(now, list), tt.own}, {"of another box", other.ObserveOthers(now, list), tt.other}} {
				g, w := x.got, x.want
				if g.Notify != w.Notify || g.Write != w.Write || !slices.Equal(g.Quarantined, w.Quarantined) || !slices.Equal(g.Surveys, w.Surveys) || len(g.Dropped) > 0 {
					t.Errorf("%s: %+v, want %+v", x.box, g, w)
				}
				if len(g.Observed) != 1 || g.Observed[0].Change != tt.change || g.Observed[0].Observation != tt.observation {
					t.Errorf("%s: observed %+v, want the change %v", x.box, g.Observed, tt.change)
				}
				if len(g.Surveys) > 0 && !g.SurveyAt.Equal(now.Add(quarantine.SurveyDelay)) {
					t.Errorf("%s: asks other targets at %v", x.box, g.SurveyAt)
				}
				if in := g.Observed[0].Until.After(now); in != (tt.change == quarantine.Quarantined) {
					t.Errorf("%s: quarantine until %v", x.box, g.Observed[0].Until)
				}
			}
		})
	}
}

// TestNextWriteOfExchange follows the record of a quarantine from the observation until the store has it.
func TestNextWriteOfExchange(t *testing.T) {
	x := newExchange(false)
	now := begin.Add(time.Second)
	if _, due, next := x.NextWrite(now); due || !next.Equal(now.Add(quarantine.RetryInterval)) {
		t.Errorf("without a record: due %v, next %v", due, next)
	}
	x.ObserveOwn(now, bothEnded(fatal))
	_, due, next := x.NextWrite(now)
	if due || !next.After(now) || !next.Before(now.Add(quarantine.RetryInterval)) {
		t.Fatalf("before the quarantine has settled: due %v, next %v", due, next)
	}
	for range 2 { // a failed call is tried again
		if r, due, _ := x.NextWrite(next); !due || r.Digest() != fatal {
			t.Errorf("once it has settled: due %v, record of %s", due, r.Digest())
		}
	}
	x.Written()
	if _, due, _ := x.NextWrite(next); due {
		t.Error("the record is written again")
	}
}

func TestRecordsThatDoNotFitAreReported(t *testing.T) {
	x := newExchange(false)
	dropped, now := 0, begin.Add(time.Second)
	for i := range 70 {
		e := x.ObserveOwn(now, bothEnded(call.Digest(fmt.Sprint("work", i))))
		if dropped += len(e.Dropped); e.Write == (len(e.Dropped) > 0) {
			t.Errorf("work %d: writes %v, dropped %v", i, e.Write, e.Dropped)
		}
	}
	if dropped != 6 {
		t.Errorf("%d records dropped, want those beyond the 64 that may be pending", dropped)
	}
}

func TestReadDue(t *testing.T) {
	later := begin.Add(time.Minute)
	for _, tt := range []struct {
		name     string
		first    bool // the system starts for the first time
		read     bool // the records were read
		works    bool // this box has a work in quarantine
		era      store.Era
		isolated bool
		want     bool
	}{
		{"not read yet", false, false, false, 1, false, true},
		{"the first start of the system", true, false, false, 1, false, false},
		{"read", false, true, false, 1, false, false},
		{"read, isolated", false, true, false, 1, true, true},
		{"restored, nothing to compare", false, true, false, 2, false, false},
		{"restored, a work in quarantine", false, true, true, 2, false, true},
		{"not restored, a work in quarantine", false, true, true, 1, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := newExchange(tt.first)
			x.ReadDue(begin, 1, false)
			if tt.read {
				x.MarkRead(begin, nil, quarantine.StoredRecords{})
			}
			if tt.works {
				x.ObserveOthers(begin.Add(time.Second), bothEnded(fatal))
			}
			x.ReadDue(begin.Add(2*time.Second), tt.era, false) // observes the era; the comparison is due seconds later
			if got := x.ReadDue(later, tt.era, tt.isolated); got != tt.want {
				t.Errorf("reads the records: %v", got)
			}
		})
	}
}

// TestMarkReadWritesLostRecordsAgain checks that a box writes the records that a restored store lacks, once and not
// before the comparison is due.
func TestMarkReadWritesLostRecordsAgain(t *testing.T) {
	name := quarantine.NewRecord(bothEnded(fatal)).Name()
	for _, tt := range []struct {
		name     string
		restored bool
		names    map[string]bool
		missing  int
	}{
		{"not restored", false, nil, 0},
		{"restored with the record", true, map[string]bool{name: true}, 0},
		{"restored without the record", true, nil, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			x := newExchange(false)
			x.ReadDue(begin, 1, false)
			x.ObserveOthers(begin.Add(time.Second), bothEnded(fatal))
			now := begin.Add(time.Minute)
			if tt.restored {
				x.ReadDue(begin.Add(2*time.Second), 2, false)
			}
			x.ReadDue(now, 1, false)
			missing, e := x.MarkRead(now, tt.names, quarantine.StoredRecords{})
			if len(missing) != tt.missing || e.Write != (tt.missing > 0) {
				t.Errorf("missing %v, effects %+v", missing, e)
			}
			if r, due, _ := x.NextWrite(now); due != (tt.missing > 0) || due && r.Name() != name {
				t.Errorf("writes %v: %s", due, r.Name())
			}
			if again, _ := x.MarkRead(now, tt.names, quarantine.StoredRecords{}); len(again) > 0 {
				t.Errorf("writes %v again", again)
			}
		})
	}
}

func TestClearedEndsReleaseWork(t *testing.T) {
	x := newExchange(false)
	now := begin.Add(time.Second)
	x.ObserveOthers(now, bothEnded(fatal))
	released := x.ObserveCleared(now, []quarantine.Observation{ended("unknown", "a", 0), ended(fatal, "b", time.Second), ended(fatal, "b", time.Second)})
	if len(released) != 1 || released[0].Digest != fatal || released[0].Target != "" || released[0].Change != quarantine.Released || released[0].Ended != 1 {
		t.Errorf("released %+v", released)
	}
	if _, quarantined := x.Register().QuarantinedUntil(now, fatal); quarantined {
		t.Error("the work is still in quarantine")
	}
}

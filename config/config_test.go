package config_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/store"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 200, 0) }

var start = time.Unix(1_800_000_000, 0)

func org(t interface{ Fatal(...any) }, name string, rate float64) domain.Organisation {
	o, err := domain.NewOrganisation(domain.OrganisationName(name), rate)
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// record keeps the head and checkpoints as the platform would, for one writer
// after another.
type record struct {
	objects map[string][]byte
	version store.Version
}

// propose drives the operation against the store and the replica.
func (s *record) propose(op config.Operation, r *config.Replica) (config.Outcome, error) {
	p := config.NewProposal(op, start.Add(time.Hour))
	for cmd := p.Start(); ; {
		switch c := cmd.(type) {
		case config.ReadHead:
			h := s.head()
			s.catchUp(r)
			cmd = p.HeadRead(start, h, s.version, r, nil)
		case config.WriteCheckpoint:
			s.objects[c.Key] = c.Value
			cmd = p.CheckpointWritten(start, nil)
		case config.WriteHead:
			s.version++
			s.objects[config.HeadKey] = c.Value
			cmd = p.HeadWritten(start, nil)
		case config.Finish:
			return c.Outcome, c.Err
		}
	}
}

// head is the head; the zero one before the first write.
func (s *record) head() config.Head {
	h, err := config.DecodeHead(s.objects[config.HeadKey])
	if err != nil {
		return config.Head{}
	}
	return h
}

// catchUp brings the replica to the head, through the checkpoint if need be.
func (s *record) catchUp(r *config.Replica) {
	h := s.head()
	if errors.Is(r.Apply(h.Changes()), config.ErrGap) {
		snap, err := config.DecodeSnapshot(s.objects[config.CheckpointKey(h.Checkpoint())])
		if err == nil {
			r.Install(snap)
			_ = r.Apply(h.Changes()) // a gap shows as a wrong number
		}
	}
}

func TestReplicaThatSleptCatchesUp(t *testing.T) {
	s := &record{objects: map[string][]byte{}}
	writer, sleeper := config.NewReplica(), config.NewReplica()
	for i := range 400 {
		op := config.Write(config.OperationID(fmt.Sprintf("op-%d", i)), org(t, fmt.Sprintf("org-%d", i%50), float64(i)))
		if _, err := s.propose(op, writer); err != nil {
			t.Fatal(err)
		}
	}
	s.catchUp(sleeper)
	if sleeper.Seq() != 400 || len(sleeper.List(domain.KindOrganisation)) != 50 {
		t.Errorf("at %d with %d organisations", sleeper.Seq(), len(sleeper.List(domain.KindOrganisation)))
	}
	if _, ok := sleeper.Done("op-399"); !ok {
		t.Error("the last operation is not remembered")
	}
	if len(s.objects[config.HeadKey]) > 100_000 {
		t.Errorf("the head has grown to %d bytes", len(s.objects[config.HeadKey]))
	}
}

func TestProposal(t *testing.T) {
	s := &record{objects: map[string][]byte{}}
	r := config.NewReplica()
	league := config.NewKey(domain.KindOrganisation, "league")
	steps := []struct {
		name string
		op   config.Operation
		want fault.Kind
		seq  config.Seq
	}{
		{"create", config.Write("1", org(t, "league", 1)).IfVersion(0), "", 1},
		{"create again", config.Write("2", org(t, "league", 1)).IfVersion(0), fault.VersionConflict, 0},
		{"update", config.Write("3", org(t, "league", 2)).IfVersion(1), "", 2},
		{"update at an old version", config.Write("4", org(t, "league", 3)).IfVersion(1), fault.VersionConflict, 0},
		{"the same operation again", config.Write("3", org(t, "league", 2)).IfVersion(1), "", 2},
		{"its id for another object", config.Write("3", org(t, "other", 2)), fault.BadRequest, 0},
		{"delete", config.Remove("5", league), "", 3},
		{"delete again", config.Remove("6", league), fault.NotFound, 0},
		{"the deletion again", config.Remove("5", league), "", 3},
		{"create after the deletion", config.Write("7", org(t, "league", 9)).IfVersion(0), "", 4},
	}
	for _, tc := range steps {
		out, err := s.propose(tc.op, r)
		if fault.KindOf(err) != tc.want || out.Version() != tc.seq {
			t.Errorf("%s: %d, %v; want %d, %s", tc.name, out.Version(), err, tc.seq, tc.want)
		}
	}
}

func TestProposalWhoseAnswerIsLost(t *testing.T) {
	tests := []struct {
		name   string
		landed bool
		late   bool // the deadline passes before the head can be read again
		want   fault.Kind
		writes int
	}{
		{"it was written", true, false, "", 1},
		{"it was not written", false, false, "", 2},
		{"nobody can tell in time", true, true, fault.OutcomeUnknown, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			s := &record{objects: map[string][]byte{}}
			r := config.NewReplica()
			p := config.NewProposal(config.Write("1", org(t, "league", 1)), start.Add(time.Second))
			now, writes := start, 0
			for cmd := p.Start(); ; {
				switch c := cmd.(type) {
				case config.ReadHead:
					h := s.head()
					s.catchUp(r)
					cmd = p.HeadRead(now, h, s.version, r, nil)
				case config.WriteHead:
					writes++
					err := error(nil)
					if writes == 1 {
						err = store.ErrUnknownOutcome
					}
					if writes > 1 || tc.landed {
						s.version++
						s.objects[config.HeadKey] = c.Value
					}
					if tc.late {
						now = now.Add(time.Minute)
					}
					cmd = p.HeadWritten(now, err)
				case config.Finish:
					if fault.KindOf(c.Err) != tc.want || writes != tc.writes {
						t.Errorf("%v after %d writes", c.Err, writes)
					}
					return
				}
			}
		})
	}
}

// TestReplicasOnlyMoveForward offers changes and snapshots in any order.
func TestReplicasOnlyMoveForward(t *testing.T) {
	s := &record{objects: map[string][]byte{}}
	w := config.NewReplica()
	var all []config.Change
	snaps := []config.Snapshot{w.Snapshot()}
	for i := range 30 {
		if _, err := s.propose(config.Write(config.OperationID(fmt.Sprint(i)), org(t, "league", float64(i))), w); err != nil {
			t.Fatal(err)
		}
		s.catchUp(w)
		h := s.head()
		all = h.Changes()
		snaps = append(snaps, w.Snapshot())
	}
	rapid.Check(t, func(rt *rapid.T) {
		r := config.NewReplica()
		for range 40 {
			before := r.Seq()
			if rapid.Bool().Draw(rt, "snapshot") {
				r.Install(snaps[rapid.IntRange(0, 30).Draw(rt, "at")])
			} else {
				from := rapid.IntRange(0, 29).Draw(rt, "from")
				_ = r.Apply(all[from:rapid.IntRange(from, 30).Draw(rt, "to")])
			}
			if r.Seq() < before {
				rt.Fatalf("went back from %d to %d", before, r.Seq())
			}
			if i, ok := r.Get(domain.KindOrganisation, "league"); r.Seq() > 0 && (!ok || i.Version() != r.Seq()) {
				rt.Fatalf("at %d the object has version %d", r.Seq(), i.Version())
			}
		}
	})
}

func TestFollower(t *testing.T) {
	pace := config.DefaultPace()
	later := start.Add(100 * time.Millisecond)
	watcher := func(now time.Time, f *config.Follower) bool {
		_, ok := f.Next(now).(config.WatchPlatform)
		return ok
	}
	a, b := config.NewFollower("e-a", "h", pace), config.NewFollower("e-b", "h", pace)
	for _, f := range []*config.Follower{a, b} {
		f.PlatformAnswered(start, nil)
	}
	a.PeerHeard(start, "e-b", "h", 0, true)
	b.PeerHeard(start, "e-a", "h", 0, true)
	if watcher(later, a) == watcher(later, b) {
		t.Error("not exactly one box of the hall watches")
	}
	silent := start.Add(pace.PeerSilence + time.Second)
	if !watcher(silent, a) || !watcher(silent, b) {
		t.Error("a box that hears nobody does not watch for itself")
	}
	a.PeerHeard(silent, "e-b", "h", 5, true)
	if s, ok := a.Next(silent).(config.AskPeer); !ok || s.Peer != "e-b" {
		t.Errorf("a peer that is ahead is not asked: %T", a.Next(silent))
	}
	a.PeerAsked(silent, "e-b", errors.New("cut"))
	if _, ok := a.Next(silent).(config.AskPeer); ok {
		t.Error("a peer that just failed is asked again at once")
	}
}

func TestReturnOfThePlatformIsNoStampede(t *testing.T) {
	times := map[time.Time]int{}
	for i := range 40 {
		f := config.NewFollower(domain.BoxID(fmt.Sprintf("e-%d", i)), "h", config.DefaultPace())
		for range 5 {
			f.PlatformAnswered(start, store.ErrUnavailable)
		}
		if r, ok := f.Next(start).(config.Rest); ok {
			times[r.Until.Truncate(100*time.Millisecond)]++
		}
	}
	for at, n := range times {
		if n > 10 {
			t.Errorf("%d of 40 boxes call within 100 ms at %s", n, at)
		}
	}
	if len(times) < 8 {
		t.Errorf("the calls fall into %d tenths of a second", len(times))
	}
}

func FuzzDecodeHead(f *testing.F) {
	f.Add([]byte(`{"seq":1,"checkpoint":0,"changes":[{"seq":1,"op":"a","kind":"rule","name":"r","deleted":true,"at":"2026-12-02T00:00:00Z"}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		h, err := config.DecodeHead(raw)
		if err != nil {
			return
		}
		r := config.NewReplica()
		if err := r.Apply(h.Changes()); err == nil && r.Seq() > h.Seq() {
			t.Errorf("applied up to %d of a head at %d", r.Seq(), h.Seq())
		}
	})
}

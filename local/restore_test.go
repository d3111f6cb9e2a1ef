package local_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// restoreCase is one way in which the store comes back from an older copy.
type restoreCase struct {
	name          string
	lostVersions  int           // versions acknowledged after the copy was taken
	outage        time.Duration // of the store, before it comes back
	laterChanges  int           // changes after the restore and before the one that is judged
	times         int           // restores in a row; 0 for one
	header        func(era uint64) []string
	boxes         int  // 0 for the usual few
	silentWatches bool // watches of the configuration go silent as the store is restored
	hallIsolated  bool // the boxes of one hall reach the store, those of the other only these
	restartsBox   bool // a box is killed as the store comes back, and starts again
	relists       bool // a target is listed over and over, so that revisions pass those of before at once
}

func evenEras(era uint64) []string {
	if era%2 == 0 {
		return []string{fmt.Sprint(era)}
	}
	return nil
}

func damagedEras() func(era uint64) []string {
	answers := 0
	return func(era uint64) []string {
		if answers++; answers%100 == 30 {
			return []string{fmt.Sprint(era + 900)}
		}
		return []string{fmt.Sprint(era)}
	}
}

var restoreCases = []restoreCase{
	{name: "one version lost", lostVersions: 1, outage: time.Second},
	{name: "eight versions lost", lostVersions: 8, outage: 2500 * time.Millisecond},
	{name: "nothing lost", outage: time.Second},
	{name: "without an outage", lostVersions: 4},
	{name: "revisions have passed those of before", lostVersions: 3, relists: true},
	{name: "the change that is judged passes the revisions of before", lostVersions: 3, laterChanges: 3, outage: time.Second},
	{name: "twice in a row", lostVersions: 5, times: 2, outage: time.Second},
	{name: "three times, each without an outage", lostVersions: 3, times: 3},
	{name: "answers never state the era", lostVersions: 6, outage: time.Second, header: func(uint64) []string { return nil }},
	{name: "answers of the second era do not state it", lostVersions: 6, outage: time.Second, times: 2, header: func(era uint64) []string {
		if era == 2 {
			return nil
		}
		return []string{fmt.Sprint(era)}
	}},
	{name: "eras that are no numbers", lostVersions: 6, outage: time.Second, header: func(era uint64) []string { return []string{fmt.Sprint("era ", era)} }},
	{name: "only some eras are stated", lostVersions: 6, outage: time.Second, times: 2, header: evenEras},
	{name: "one answer in a hundred states a damaged era", lostVersions: 6, outage: time.Second, header: damagedEras()},
	{name: "half of the boxes are cut off from the store", lostVersions: 6, outage: time.Second, hallIsolated: true},
	{name: "watches of the configuration go silent", lostVersions: 6, silentWatches: true, boxes: 12},
	{name: "forty boxes, in halls with hubs", lostVersions: 6, outage: time.Second, boxes: 40},
	{name: "a box starts as the store comes back", lostVersions: 6, outage: time.Second, restartsBox: true},
}

// TestConfigurationIsInForceAfterARestore guards against acknowledged configurations that are
// ignored, or reverted, because the store came back from an older copy and gives out again
// revisions that boxes have seen, and against boxes that press the store with calls meanwhile.
func TestConfigurationIsInForceAfterARestore(t *testing.T) {
	for _, way := range restoreCases {
		t.Run(way.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.operator, sc.entries = 1, 0, way.operate, way.boxes
			sc.run(t, func(_ *local.System, h *history) {
				for _, f := range h.violations {
					t.Error(f)
				}
			})
		})
	}
}

// maxCallsPerBox bounds the calls of a box within the bound of a configuration, with several changes,
// refusals and listings in it. One that asks without a pause makes hundreds.
const maxCallsPerBox = 20

// storeDelay is how long an answer of the store takes.
const storeDelay = 4 * time.Millisecond

func (way restoreCase) operate(s *local.System, h *history) {
	s.Store.SetTrouble(standin.Sound, storeDelay)
	if way.header != nil {
		s.Store.SetEraHeader(way.header)
	}
	if way.silentWatches {
		s.Store.HoldWatches("config")
	}
	served := map[string]int{} // by life of a box
	if way.hallIsolated {
		s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Refused)
		defer s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Open)
	}
	way.configure(s, h) // so that the copy holds one that is in force
	for range max(way.times, 1) {
		way.restore(s, h, served)
		before := s.Store.Calls()
		version := way.configure(s, h)
		for range way.laterChanges {
			version = way.configure(s, h)
		}
		time.Sleep(bounds().ConfigApply.Std())
		if calls := s.Store.Calls() - before; calls > maxCallsPerBox*len(s.Entries()) {
			h.addViolation("%d calls to the store of %d boxes", calls, len(s.Entries()))
		}
		for _, e := range s.Entries() {
			if r := (scenario{}).send(s, h, e, standin.VersionPath(version)); !r.Right {
				h.addViolation("%s answers %d on the route of version %d after the bound", e.Name(), r.Status, version)
			}
			served[e.StartID()] = version
		}
	}
}

// restore takes a copy of the store, lets it lose versions, and brings the copy back.
func (way restoreCase) restore(s *local.System, h *history, served map[string]int) {
	held := s.Store.Copy()
	version := 0
	for range way.lostVersions {
		version = way.configure(s, h)
	}
	time.Sleep(time.Second)
	for _, e := range s.Entries() {
		if version > 0 {
			served[e.StartID()] = version
		}
	}
	s.Store.SetTrouble(standin.Silent, 0)
	time.Sleep(way.outage)
	if way.restartsBox {
		e := s.Entries()[0]
		e.Kill()
		_ = e.Start() // it does not run, so that it can be started
	}
	s.Store.Restore(held)
	for range 2 * way.lostVersions {
		if way.relists {
			_ = s.Targets()[0].Relist() // an object of the test's own, which the store takes
		}
	}
	s.Store.SetTrouble(standin.Sound, storeDelay)
	time.Sleep(way.outage)
	for _, e := range s.Entries() {
		before := served[e.StartID()]
		if before > 0 && !(scenario{}).send(s, h, e, standin.VersionPath(before)).Right {
			h.addViolation("%s served version %d and does not know its route after the restore", e.Name(), before)
		}
	}
}

// configure writes the next version and gives boxes a moment to take it.
func (way restoreCase) configure(s *local.System, h *history) int {
	version, err := s.Configure()
	if err != nil {
		h.addViolation("%v", err)
	}
	time.Sleep(100 * time.Millisecond)
	return version
}

// TestTargetsAfterARestore guards against leaving targets that get new work, and living ones that
// get none, because the store came back from an older copy.
func TestTargetsAfterARestore(t *testing.T) {
	leave := func(s *local.System) { _ = s.Targets()[0].MarkLeaving() }
	again := func(s *local.System) { _ = s.Targets()[0].Restart() }
	list := func(s *local.System) { _ = s.Targets()[0].Relist() }
	listOthers := func(s *local.System) {
		for range 8 {
			_ = s.Targets()[1].Relist()
		}
	}
	none := func(*local.System) {}
	for _, tc := range []struct {
		name   string
		before func(*local.System) // after the copy was taken
		at     func(*local.System) // as the store comes back
		later  func(*local.System) // a second after that
		left   bool                // the target left before the restore
		stays  bool                // the target lives throughout
		cut    bool                // one hall is cut off from the store
	}{
		{name: "it leaves after the restore", before: listOthers, at: none, later: leave},
		{name: "it leaves right at the restore", before: listOthers, at: leave, later: none},
		{name: "it leaves after the restore, and half of the boxes hear it from others", before: listOthers, at: none, later: leave, cut: true},
		{name: "it had left, and is ready in the copy", before: leave, at: none, later: leave, left: true},
		{name: "it had left, and revisions have passed those of before", before: leave, at: listOthers, later: leave, left: true},
		{name: "its entry had gone, and is in the copy", before: func(s *local.System) { s.Targets()[0].Unlist() }, at: none, later: func(s *local.System) { s.Targets()[0].Unlist() }, left: true},
		{name: "it started after the copy, and writes again", before: again, at: none, later: list, stays: true},
		{name: "it lives throughout", before: listOthers, at: none, later: none, stays: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var left, restored time.Time
			sc := busyScenario()
			sc.paths, sc.length, sc.seed = []string{"/again/x", "/once/x"}, 16*time.Second, 1
			sc.operator = func(s *local.System, _ *history) {
				s.Store.SetTrouble(standin.Sound, storeDelay)
				if tc.cut {
					s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Refused)
				}
				time.Sleep(time.Second)
				held := s.Store.Copy()
				tc.before(s)
				left = time.Now()
				time.Sleep(2 * time.Second)
				s.Store.SetTrouble(standin.Busy, storeDelay)
				time.Sleep(time.Second)
				s.Store.Restore(held)
				tc.at(s)
				if !tc.left {
					left = time.Now()
				}
				s.Store.SetTrouble(standin.Sound, storeDelay)
				restored = time.Now()
				time.Sleep(time.Second)
				tc.later(s)
				if !tc.left {
					left = time.Now()
				}
			}
			sc.run(t, func(s *local.System, _ *history) {
				late, since := 0, map[time.Duration]bool{} // by seconds after the restore
				for _, r := range s.Runs() {
					if r.Target != s.Targets()[0].ID() {
						continue
					}
					if r.At.Sub(left) > bounds().Drain.Std() {
						late++
					}
					if r.At.After(restored) {
						since[r.At.Sub(restored).Truncate(time.Second)] = true
					}
				}
				if !tc.stays && late > 0 {
					t.Errorf("%d requests reached it after it had left", late)
				}
				for second := range 6 {
					if tc.stays && !since[time.Duration(second)*time.Second] {
						t.Errorf("no request reached it in second %d after the restore", second)
					}
				}
			})
		})
	}
}

// TestQuarantinesAreWrittenAgainAfterARestore guards against work that crashes its targets and is
// sent on, once all boxes have died, because the store lost what they had written there.
func TestQuarantinesAreWrittenAgainAfterARestore(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kills    bool // the box that found the work dies before the restore
		restores int
		cut      bool // halls lose each other before the restore
	}{
		{"all boxes live", false, 1, false}, {"the box that found it has died", true, 1, false},
		{"twice", false, 2, false}, {"halls are cut from each other", false, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.paths, sc.fatalBody = 1, 24*time.Second, []string{"/again/y"}, fatalText
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetTrouble(standin.Sound, storeDelay)
				held := s.Store.Copy()
				e := entry(s, 0)
				s.SendRequest(context.Background(), e, standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Body: fatalText, Within: 2 * time.Second})
				time.Sleep(2 * time.Second)
				if len(s.Store.Names("quarantine")) == 0 {
					h.addViolation("nothing was kept, so the test shows nothing")
				}
				if tc.kills {
					e.Kill()
				}
				if tc.cut {
					cutHalls(s)
					time.Sleep(6 * time.Second) // until boxes count as cut off
				}
				for range tc.restores {
					s.Store.Restore(held)
					before := s.Store.Calls()
					time.Sleep(time.Second)
					if calls := s.Store.Calls() - before; calls > 20*len(s.Entries()) {
						h.addViolation("%d calls of %d boxes in the first second", calls, len(s.Entries()))
					}
				}
				time.Sleep(8 * time.Second)
				if len(s.Store.Names("quarantine")) == 0 {
					h.addViolation("the quarantine was not written again")
				}
				killAll(s)
				time.Sleep(3 * time.Second)
				before := len(s.Runs())
				s.SendRequest(context.Background(), entry(s, 1), standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Body: fatalText, Within: 2 * time.Second})
				for _, r := range s.Runs()[before:] {
					if r.Body == fatalText {
						h.addViolation("%s ran it again", r.Target)
					}
				}
			}
			sc.run(t, func(_ *local.System, h *history) {
				for _, f := range h.violations {
					t.Error(f)
				}
			})
		})
	}
}

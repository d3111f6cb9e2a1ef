package local_test

import (
	"cmp"
	"context"
	"fmt"
	"testing"
	"time"

	"clovertrail.dev/local"
	"clovertrail.dev/platform/standin"
)

// restoreCase describes how the store is restored from an older backup.
type restoreCase struct {
	name          string
	lostVersions  int                       // versions acknowledged after the backup was taken
	calm          time.Duration             // how long nothing changes before the outage; 0 for a second
	outage        time.Duration             // how long the store is unavailable before the restore; the test waits as long after it
	laterChanges  int                       // changes after the restore and before the one that is checked
	times         int                       // restores in a row; 0 for one
	header        func(era uint64) []string // values of the header with the era; nil for the usual one
	boxes         int                       // number of entry boxes; 0 for the scenario's default
	silentWatches bool                      // watches of the configuration get no response after the restore
	cutHall       bool                      // only the boxes of one hall can reach the store; those of the other hall only reach these
	restartsBox   bool                      // a box is killed and started again right before the restore
	relists       bool                      // a target is relisted repeatedly, so that revisions exceed those from before the restore at once
}

// evenEras states only even eras.
func evenEras(era uint64) []string {
	if era%2 == 0 {
		return []string{fmt.Sprint(era)}
	}
	return nil
}

// damagedEras states a wrong era in one response of a hundred.
func damagedEras() func(era uint64) []string {
	responses := 0
	return func(era uint64) []string {
		if responses++; responses%100 == 30 {
			return []string{fmt.Sprint(era + 900)}
		}
		return []string{fmt.Sprint(era)}
	}
}

var restoreCases = []restoreCase{
	{name: "one version lost", lostVersions: 1, outage: time.Second},
	{name: "eight versions lost", lostVersions: 8, outage: 2500 * time.Millisecond},
	{name: "the change that is checked has the revision after which all boxes watch", lostVersions: 1, calm: 2 * time.Second, outage: 800 * time.Millisecond},
	{name: "nothing lost", outage: time.Second},
	{name: "without an outage", lostVersions: 4},
	{name: "revisions exceed those before the restore", lostVersions: 3, relists: true},
	{name: "the change that is checked exceeds the revisions before the restore", lostVersions: 3, laterChanges: 3, outage: time.Second},
	{name: "twice in a row", lostVersions: 5, times: 2, outage: time.Second},
	{name: "three times, each without an outage", lostVersions: 3, times: 3},
	{name: "responses never state the era", lostVersions: 6, outage: time.Second, header: func(uint64) []string { return nil }},
	{name: "responses of the second era do not state it", lostVersions: 6, outage: time.Second, times: 2, header: func(era uint64) []string {
		if era == 2 {
			return nil
		}
		return []string{fmt.Sprint(era)}
	}},
	{name: "eras that are not numbers", lostVersions: 6, outage: time.Second, header: func(era uint64) []string { return []string{fmt.Sprint("era ", era)} }},
	{name: "only some eras are stated", lostVersions: 6, outage: time.Second, times: 2, header: evenEras},
	{name: "one response in a hundred states a wrong era", lostVersions: 6, outage: time.Second, header: damagedEras()},
	{name: "half of the boxes are cut off from the store", lostVersions: 6, outage: time.Second, cutHall: true},
	{name: "watches of the configuration get no response", lostVersions: 6, silentWatches: true, boxes: 12},
	{name: "forty boxes, in halls with hubs", lostVersions: 6, outage: time.Second, boxes: 40},
	{name: "a box starts as the store is restored", lostVersions: 6, outage: time.Second, restartsBox: true},
}

// TestConfigurationAppliesAfterRestore guards against acknowledged configurations that are ignored or
// reverted because the store was restored from an older backup and assigns revisions again that boxes
// have seen already, and against boxes that overload the store with calls meanwhile.
func TestConfigurationAppliesAfterRestore(t *testing.T) {
	for _, c := range restoreCases {
		t.Run(c.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.operator, sc.entries = 1, 0, c.operate, c.boxes
			sc.run(t, func(_ *local.System, h *history) {
				for _, f := range h.violations {
					t.Error(f)
				}
			})
		})
	}
}

// maxCallsPerBox limits the calls of a box to the store within bounds().ConfigApply, which include
// several changes, refusals and listings. A box that calls without a pause makes hundreds.
const maxCallsPerBox = 20

// storeDelay is the response time of the store.
const storeDelay = 4 * time.Millisecond

// operate restores the store, changes the configuration, and checks that the last version is in force
// at all boxes within bounds().ConfigApply. It does so for each restore of the case.
func (c restoreCase) operate(s *local.System, h *history) {
	s.Store.SetFailureMode(standin.Healthy, storeDelay)
	if c.header != nil {
		s.Store.SetEraHeader(c.header)
	}
	if c.silentWatches {
		s.Store.HangWatches("config")
	}
	served := map[string]int{} // version, by StartID of the box
	if c.cutHall {
		s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Refused)
		defer s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Open)
	}
	c.configure(s, h) // so that the backup holds a version in force
	for range max(c.times, 1) {
		c.restore(s, h, served)
		before := s.Store.Calls()
		version := c.configure(s, h)
		for range c.laterChanges {
			version = c.configure(s, h)
		}
		time.Sleep(bounds().ConfigApply.Std())
		if calls := s.Store.Calls() - before; calls > maxCallsPerBox*len(s.Entries()) {
			h.addViolation("%d boxes made %d calls to the store, want at most %d each", len(s.Entries()), calls, maxCallsPerBox)
		}
		for _, e := range s.Entries() {
			if r := (scenario{}).send(s, h, e, standin.VersionPath(version)); !r.Correct {
				h.addViolation("%s answers %d on the route of version %d after the bound on applying it", e.Name(), r.Status, version)
			}
			served[e.StartID()] = version
		}
	}
}

// restore takes a backup of the store, writes versions that are then lost, and restores the backup.
// After it, boxes must still have the versions that they have served.
func (c restoreCase) restore(s *local.System, h *history, served map[string]int) {
	backup := s.Store.Snapshot()
	version := 0
	for range c.lostVersions {
		version = c.configure(s, h)
	}
	time.Sleep(cmp.Or(c.calm, time.Second))
	for _, e := range s.Entries() {
		if version > 0 {
			served[e.StartID()] = version
		}
	}
	s.Store.SetFailureMode(standin.Unresponsive, 0)
	time.Sleep(c.outage)
	if c.restartsBox {
		e := s.Entries()[0]
		e.Kill()
		_ = e.Start() // cannot fail on a network in memory
	}
	s.Store.Restore(backup)
	for range 2 * c.lostVersions {
		if c.relists {
			_ = s.Targets()[0].Relist() // the store accepts every object of the tests
		}
	}
	s.Store.SetFailureMode(standin.Healthy, storeDelay)
	time.Sleep(c.outage)
	for _, e := range s.Entries() {
		before := served[e.StartID()]
		if before > 0 && !(scenario{}).send(s, h, e, standin.VersionPath(before)).Correct {
			h.addViolation("%s served the route of version %d and does not serve it after the restore", e.Name(), before)
		}
	}
}

// configure writes the next version and waits 100 ms for the boxes to apply it.
func (c restoreCase) configure(s *local.System, h *history) int {
	version, err := s.Configure()
	if err != nil {
		h.addViolation("%v", err)
	}
	time.Sleep(100 * time.Millisecond)
	return version
}

// TestTargetsAfterRestore guards against leaving targets that get new requests, and running targets
// that get none, because the store was restored from an older backup.
func TestTargetsAfterRestore(t *testing.T) {
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
		before func(*local.System) // runs after the backup was taken
		at     func(*local.System) // runs right after the restore
		later  func(*local.System) // runs a second after that
		left   bool                // the target left before the restore
		stays  bool                // the target runs throughout
		cut    bool                // one hall cannot reach the store
	}{
		{name: "it leaves after the restore", before: listOthers, at: none, later: leave},
		{name: "it leaves right at the restore", before: listOthers, at: leave, later: none},
		{name: "it leaves after the restore, and half of the boxes receive that from others", before: listOthers, at: none, later: leave, cut: true},
		{name: "it had left, and is ready in the backup", before: leave, at: none, later: leave, left: true},
		{name: "it had left, and revisions exceed those before the restore", before: leave, at: listOthers, later: leave, left: true},
		{name: "its entry had been removed, and is in the backup", before: func(s *local.System) { s.Targets()[0].Unlist() }, at: none, later: func(s *local.System) { s.Targets()[0].Unlist() }, left: true},
		{name: "it restarted after the backup, and is relisted", before: again, at: none, later: list, stays: true},
		{name: "it runs throughout", before: listOthers, at: none, later: none, stays: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var left, restored time.Time
			sc := busyScenario()
			sc.paths, sc.length, sc.seed = []string{"/again/x", "/once/x"}, 16*time.Second, 1
			sc.operator = func(s *local.System, _ *history) {
				s.Store.SetFailureMode(standin.Healthy, storeDelay)
				if tc.cut {
					s.Network.SetLink(s.Halls()[1], local.StoreHall, local.Refused)
				}
				time.Sleep(time.Second)
				backup := s.Store.Snapshot()
				tc.before(s)
				left = time.Now()
				time.Sleep(2 * time.Second)
				s.Store.SetFailureMode(standin.Unavailable, storeDelay)
				time.Sleep(time.Second)
				s.Store.Restore(backup)
				tc.at(s)
				if !tc.left {
					left = time.Now()
				}
				s.Store.SetFailureMode(standin.Healthy, storeDelay)
				restored = time.Now()
				time.Sleep(time.Second)
				tc.later(s)
				if !tc.left {
					left = time.Now()
				}
			}
			sc.run(t, func(s *local.System, _ *history) {
				late, requested := 0, map[time.Duration]bool{} // whether a request ran, by seconds after the restore
				for _, r := range s.Runs() {
					if r.Target != s.Targets()[0].ID() {
						continue
					}
					if r.At.Sub(left) > bounds().Drain.Std() {
						late++
					}
					if r.At.After(restored) {
						requested[r.At.Sub(restored).Truncate(time.Second)] = true
					}
				}
				if !tc.stays && late > 0 {
					t.Errorf("%d requests reached the target later than %v after it had left", late, bounds().Drain.Std())
				}
				for second := range 6 {
					if tc.stays && !requested[time.Duration(second)*time.Second] {
						t.Errorf("no request reached the target in second %d after the restore", second)
					}
				}
			})
		})
	}
}

// TestQuarantinesAreRewrittenAfterRestore guards against requests that crash targets and are sent again
// after all boxes have restarted, because a restore of the store lost the quarantines that the boxes
// had written.
func TestQuarantinesAreRewrittenAfterRestore(t *testing.T) {
	for _, tc := range []struct {
		name     string
		kills    bool // the box that quarantined the request dies before the restore
		restores int
		cut      bool // halls are cut from each other before the restore
	}{
		{"all boxes keep running", false, 1, false}, {"the box that quarantined it has died", true, 1, false},
		{"twice", false, 2, false}, {"halls are cut from each other", false, 1, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sc := busyScenario()
			sc.seed, sc.length, sc.paths, sc.fatalBody = 1, 24*time.Second, []string{"/again/y"}, fatalText
			sc.operator = func(s *local.System, h *history) {
				s.Store.SetFailureMode(standin.Healthy, storeDelay)
				backup := s.Store.Snapshot()
				e := entry(s, 0)
				s.SendRequest(context.Background(), e, standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Body: fatalText, Timeout: 2 * time.Second})
				time.Sleep(2 * time.Second)
				if len(s.Store.Names("quarantine")) == 0 {
					h.addViolation("no quarantine was written to the store, so the run tests nothing")
				}
				if tc.kills {
					e.Kill()
				}
				if tc.cut {
					cutHalls(s)
					time.Sleep(6 * time.Second) // until boxes count as isolated
				}
				for range tc.restores {
					s.Store.Restore(backup)
					before := s.Store.Calls()
					time.Sleep(time.Second)
					if calls := s.Store.Calls() - before; calls > 20*len(s.Entries()) {
						h.addViolation("%d boxes made %d calls in the first second after the restore, want at most 20 each", len(s.Entries()), calls)
					}
				}
				time.Sleep(8 * time.Second)
				if len(s.Store.Names("quarantine")) == 0 {
					h.addViolation("the quarantine was not written to the store again after the restore")
				}
				killAll(s)
				time.Sleep(3 * time.Second)
				before := len(s.Runs())
				s.SendRequest(context.Background(), entry(s, 1), standin.Request{ID: h.nextID(), Path: "/again/x", Key: apiKey, Body: fatalText, Timeout: 2 * time.Second})
				for _, r := range s.Runs()[before:] {
					if r.Body == fatalText {
						h.addViolation("%s ran the quarantined request again", r.Target)
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

package follow_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/call"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/membership"
	"clovertrail.dev/quarantine"
	"clovertrail.dev/store"
	"clovertrail.dev/store/follow"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 400, 0) }

const (
	targets     store.Kind = "targets"
	documents   store.Kind = "configurations"
	evacuations store.Kind = "evacuations"
	quarantines store.Kind = "quarantines"
)

var kinds = []store.Kind{targets, documents, evacuations, quarantines}

// changedKinds has the kinds that are removed too more often.
var changedKinds = []store.Kind{targets, targets, targets, evacuations, evacuations, evacuations, documents, quarantines}

// pagedStore is a store that lists in pages, and calls betweenPages between two of them.
type pagedStore struct {
	revision     store.Revision
	records      map[store.Kind]map[string]store.Record
	history      []store.Event
	betweenPages func()
}

func newPagedStore() *pagedStore {
	return &pagedStore{records: map[store.Kind]map[string]store.Record{}, betweenPages: func() {}}
}

func (s *pagedStore) put(k store.Kind, name, spec string) {
	s.revision++
	r := store.Record{Kind: k, Name: name, At: pos(s.revision), Spec: []byte(spec)}
	if s.records[k] == nil {
		s.records[k] = map[string]store.Record{}
	}
	s.records[k][name] = r
	s.history = append(s.history, store.Event{Record: r})
}

func (s *pagedStore) remove(k store.Kind, name string) {
	if _, ok := s.records[k][name]; !ok {
		return
	}
	s.revision++
	delete(s.records[k], name)
	s.history = append(s.history, store.Event{Record: store.Record{Kind: k, Name: name, At: pos(s.revision)}, Removed: true})
}

// list returns the records as a client reads them page by page, at the position of the first page.
func (s *pagedStore) list(k store.Kind, pageSize int) store.Listing {
	l := store.Listing{At: pos(s.revision)}
	for last := ""; ; s.betweenPages() {
		names := slices.DeleteFunc(slices.Sorted(maps.Keys(s.records[k])), func(name string) bool { return name <= last })
		page := names[:min(pageSize, len(names))]
		for _, name := range page {
			l.Records = append(l.Records, s.records[k][name])
		}
		if len(page) == len(names) {
			return l
		}
		last = page[len(page)-1]
	}
}

func (s *pagedStore) watch(k store.Kind, since store.Position) store.Changes {
	c := store.Changes{At: pos(s.revision)}
	for _, e := range s.history {
		if e.Record.Kind == k && e.Record.At.After(since) {
			c.Events = append(c.Events, e)
		}
	}
	return c
}

// change makes a random change of a record.
func (s *pagedStore) change(rt *rapid.T) {
	number := rapid.IntRange(0, 5).Draw(rt, "record")
	name := fmt.Sprintf("x-%d", number)
	switch k := rapid.SampledFrom(changedKinds).Draw(rt, "kind"); {
	case k == documents:
		s.put(k, "current", strconv.Itoa(int(s.revision)+1))
	case k == quarantines:
		s.put(k, name, strconv.Itoa(number))
	case rapid.Bool().Draw(rt, "remove"):
		s.remove(k, name)
	default:
		s.put(k, name, rapid.SampledFrom([]string{"ready", "leaving"}).Draw(rt, "state"))
	}
}

func (s *pagedStore) changes(rt *rapid.T, most int) {
	for range rapid.IntRange(0, most).Draw(rt, "changes") {
		s.change(rt)
	}
}

// follower is a box that follows the store, or receives targets and evacuations from another box.
type follower struct {
	roster       *membership.Roster
	holder       catalog.Holder
	register     *quarantine.Register
	machines     map[store.Kind]*follow.Follower
	lists, calls int
}

func newBox() *follower {
	b := &follower{
		roster:   membership.NewRoster("self", membership.DefaultRosterPolicy(2*time.Second)),
		register: quarantine.NewRegister(), machines: map[store.Kind]*follow.Follower{},
	}
	for i, k := range kinds {
		b.machines[k] = follow.New(timing, rand.New(rand.NewPCG(uint64(i), 7)))
	}
	return b
}

// known returns the position up to which the box has the records.
func (b *follower) known(k store.Kind) store.Position {
	switch k {
	case targets:
		return b.roster.At()
	case evacuations:
		return b.roster.Evacuations().At()
	case documents:
		return b.holder.Edition().At
	default:
		return store.Position{}
	}
}

// step executes the next command for the kind, and reports whether the store returned records or changes.
func (b *follower) step(s *pagedStore, k store.Kind, pageSize int) bool {
	f := b.machines[k]
	f.CaughtUpFromPeers(start, b.known(k))
	switch c := f.Next(start).(type) {
	case follow.List:
		b.lists++
		b.calls++
		l := s.list(k, pageSize)
		f.Listed(start, l.At, nil)
		b.applyList(k, l)
		return true
	case follow.Watch:
		b.calls++
		changes := s.watch(k, c.Since)
		if f.Watched(start, changes.At, nil) && len(changes.Events) > 0 {
			f.Changed(start)
			b.applyChanges(k, changes)
		}
		return len(changes.Events) > 0
	}
	return false
}

func (b *follower) applyList(k store.Kind, l store.Listing) {
	events := make([]store.Event, 0, len(l.Records))
	for _, r := range l.Records {
		events = append(events, store.Event{Record: r})
	}
	switch k {
	case targets:
		b.roster.ApplyList(start, l.At, targetUpdates(events))
	case evacuations:
		b.roster.Evacuations().ApplyList(start, l.At, evacuationUpdates(events))
	default:
		b.applyRecords(k, events)
	}
}

func (b *follower) applyChanges(k store.Kind, c store.Changes) {
	switch k {
	case targets:
		b.roster.ApplyChanges(start, c.At, targetUpdates(c.Events))
	case evacuations:
		b.roster.Evacuations().ApplyChanges(c.At, evacuationUpdates(c.Events))
	default:
		b.applyRecords(k, c.Events)
	}
}

// applyRecords applies records of which removals do not matter.
func (b *follower) applyRecords(k store.Kind, events []store.Event) {
	records := map[string]quarantine.Record{}
	for _, e := range events {
		if k == documents {
			_, _ = b.holder.Offer(e.Record.Spec, e.Record.At, decodeDocument) // an older one is ignored
		} else {
			records[e.Record.Name] = quarantineRecord(string(e.Record.Spec))
		}
	}
	for _, o := range quarantine.NewStoredRecords(start, start, records).Observations() {
		b.register.Observe(start, o)
	}
}

func targetUpdates(events []store.Event) (list []membership.TargetUpdate) {
	for _, e := range events {
		u := membership.TargetUpdate{ID: domain.InstanceID(e.Record.Name), At: e.Record.At}
		if !e.Removed {
			state := domain.TargetReady
			if string(e.Record.Spec) == "leaving" {
				state = domain.TargetLeaving
			}
			t, err := domain.NewTarget(domain.TargetFields{ID: u.ID, Service: "s", Address: "10.0.0.1:1", Hall: "near", State: state, Slots: 4})
			if err != nil {
				panic(err) // the fields are constant
			}
			u.Target = &t
		}
		list = append(list, u)
	}
	return list
}

func evacuationUpdates(events []store.Event) (list []membership.EvacuationUpdate) {
	for _, e := range events {
		list = append(list, membership.EvacuationUpdate{Hall: domain.HallName(e.Record.Name), At: e.Record.At, Active: !e.Removed})
	}
	return list
}

func decodeDocument(raw []byte) (*catalog.Catalog, error) {
	version, err := strconv.Atoi(string(raw))
	if err != nil {
		return nil, err
	}
	return catalog.New(catalog.Document{Version: catalog.Version(version)})
}

func digestOf(number string) call.Digest { return call.Digest("digest-" + number) }

func quarantineRecord(number string) quarantine.Record {
	var list []quarantine.Observation
	for _, id := range []domain.InstanceID{"a", "b"} {
		list = append(list, quarantine.Observation{Digest: digestOf(number), Target: id + domain.InstanceID(number), At: start.Add(-time.Second)})
	}
	return quarantine.NewRecord(list)
}

// pullFrom receives the targets and evacuations that the other box has and this one lacks, as they are sent
// between boxes.
func (b *follower) pullFrom(other *follower) {
	if l, lacks := other.roster.ListSince(b.roster.Newest(), true); lacks {
		b.roster.ApplyFromPeer(start, l)
	}
	if e := other.roster.Evacuations(); e.Newest().After(b.roster.Evacuations().Newest()) {
		b.roster.Evacuations().ApplyList(start, e.Newest(), e.All())
	}
}

// catchUp follows the kinds until the store has no changes left.
func (b *follower) catchUp(s *pagedStore, list []store.Kind) {
	for _, k := range list {
		for b.step(s, k, 2) {
		}
	}
}

// checkShared compares what other boxes pull with the store.
func (b *follower) checkShared(rt *rapid.T, s *pagedStore, box string) {
	believed, stored := map[string]string{}, map[string]string{}
	for _, u := range b.roster.All() {
		believed[string(u.ID)] = map[domain.TargetState]string{domain.TargetReady: "ready", domain.TargetLeaving: "leaving"}[u.Target.State()]
	}
	for name, r := range s.records[targets] {
		stored[name] = string(r.Spec)
	}
	if !reflect.DeepEqual(believed, stored) {
		rt.Errorf("%s: targets %v, the store has %v", box, believed, stored)
	}
	var halls []string
	for _, u := range b.roster.Evacuations().All() {
		halls = append(halls, string(u.Hall))
	}
	if evacuated := slices.Sorted(maps.Keys(s.records[evacuations])); !slices.Equal(halls, evacuated) {
		rt.Errorf("%s: evacuates %v, the store has %v", box, halls, evacuated)
	}
}

func (b *follower) check(rt *rapid.T, s *pagedStore, box string) {
	b.checkShared(rt, s, box)
	if got, want := string(b.holder.Raw()), string(s.records[documents]["current"].Spec); got != want {
		rt.Errorf("%s: version %s in force, the store has %s", box, got, want)
	}
	for name, r := range s.records[quarantines] {
		if b.register.EndedTargets(digestOf(string(r.Spec))) != 2 {
			rt.Errorf("%s: lacks the quarantine record %s", box, name)
		}
	}
}

// TestChangesBetweenPagesOfListingAreDelivered guards against watches that start after the position of the first page:
// a change made while the later pages were read would never be delivered.
func TestChangesBetweenPagesOfListingAreDelivered(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, box := newPagedStore(), newBox()
		s.changes(rt, 15)
		s.betweenPages = func() { s.changes(rt, 4) }
		order := rapid.Permutation(kinds).Draw(rt, "order")
		for _, k := range order {
			box.step(s, k, rapid.IntRange(1, 3).Draw(rt, "records per page"))
		}
		s.betweenPages = func() {}
		batches := rapid.IntRange(0, 2).Draw(rt, "later batches")
		for range batches {
			box.catchUp(s, order)
			s.changes(rt, 3)
		}
		box.catchUp(s, order)
		box.check(rt, s, "box")
		// Each kind is listed once, and watched for the changes between pages, for each later batch, and for those to come.
		if most := len(kinds) * (3 + 2*batches); box.lists != len(kinds) || box.calls > most {
			rt.Errorf("%d listings and %d calls, want %d and at most %d", box.lists, box.calls, len(kinds), most)
		}
	})
}

// TestChangesBetweenPagesReachOtherBoxes guards against a box that reports to others, after a listing in pages, that it has
// all changes up to one of which it lacks earlier ones.
func TestChangesBetweenPagesReachOtherBoxes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, box, fed, follows := newPagedStore(), newBox(), newBox(), newBox()
		shared := rapid.Permutation([]store.Kind{targets, evacuations}).Draw(rt, "order")
		s.changes(rt, 15)
		if rapid.Bool().Draw(rt, "box has listed") {
			box.catchUp(s, shared)
			fed.pullFrom(box)
		}
		for _, k := range shared {
			if rapid.Bool().Draw(rt, "history lost") {
				box.machines[k].Watched(start, store.Position{}, store.ErrHistoryLost)
			}
		}
		s.betweenPages = func() { s.changes(rt, 4) }
		for _, k := range shared {
			box.step(s, k, rapid.IntRange(1, 3).Draw(rt, "records per page"))
		}
		s.betweenPages = func() {}
		fed.pullFrom(box)
		follows.pullFrom(box)
		box.catchUp(s, shared)
		follows.catchUp(s, shared)
		fed.pullFrom(box)
		box.checkShared(rt, s, "box")
		follows.checkShared(rt, s, "box that goes on from what it was sent")
		fed.checkShared(rt, s, "box that is sent all")
	})
}

// TestChangeBelowRecordOfLaterPage is the shortest case of TestChangesBetweenPagesOfListingAreDelivered.
func TestChangeBelowRecordOfLaterPage(t *testing.T) {
	s, box := newPagedStore(), newBox()
	for _, name := range []string{"a", "b", "c"} {
		s.put(targets, name, "ready")
		s.put(evacuations, name, "")
	}
	s.betweenPages = func() {
		s.put(targets, "a", "leaving")
		s.put(targets, "c", "leaving")
	}
	box.step(s, targets, 2)
	s.betweenPages = func() {
		s.remove(evacuations, "a")
		s.put(evacuations, "d", "")
	}
	box.step(s, evacuations, 2)
	s.betweenPages = func() {}
	box.catchUp(s, []store.Kind{targets, evacuations})
	for _, u := range box.roster.All() {
		if want := u.ID == "b"; (u.Target.State() == domain.TargetReady) != want {
			t.Errorf("target %s is %v", u.ID, u.Target.State())
		}
	}
	if box.roster.Evacuations().Active("a") || !box.roster.Evacuations().Active("d") {
		t.Errorf("evacuates %v, want b, c and d", box.roster.Evacuations().All())
	}
}

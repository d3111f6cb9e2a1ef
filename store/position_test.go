package store_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"clovertrail.dev/store"
	"clovertrail.dev/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 400, 0) }

func drawPosition(rt *rapid.T) store.Position {
	return store.PositionOf(store.Era(rapid.IntRange(0, 3).Draw(rt, "era")), store.Revision(rapid.IntRange(0, 5).Draw(rt, "revision")))
}

// TestPositionsAreOrderedByEraThenRevision guards against revisions that are compared although
// the store was restored between them.
func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	rising := []store.Position{
		{}, store.PositionOf(0, 7), store.PositionOf(1, 0), store.PositionOf(1, 60), store.PositionOf(2, 1), store.PositionOf(2, 59), store.PositionOf(3, 1),
	}
	for i, p := range rising {
		for j, q := range rising {
			if p.After(q) != (i > j) || (p.Compare(q) == 0) != (i == j) {
				t.Errorf("%v against %v", p, q)
			}
		}
	}
	rapid.Check(t, func(rt *rapid.T) {
		p, q := drawPosition(rt), drawPosition(rt)
		if p.Compare(q) != -q.Compare(p) || store.Later(p, q) != store.Later(q, p) || p.After(store.Later(p, q)) {
			rt.Errorf("%v against %v", p, q)
		}
		raw, err := cbor.Marshal(p)
		var back store.Position
		if err != nil || cbor.Unmarshal(raw, &back) != nil || back != p {
			rt.Errorf("%v becomes %v", p, back)
		}
	})
}

func TestAPositionThatIsNoneIsAnError(t *testing.T) {
	for _, wrong := range []any{7, "1/7", []int{1}, []int{1, 2, 3}, []int{-1, 4}, map[string]int{"era": 1}} {
		raw, err := cbor.Marshal(wrong)
		if err != nil {
			t.Fatal(err)
		}
		var p store.Position
		if err := cbor.Unmarshal(raw, &p); err == nil {
			t.Errorf("%v was taken for %v", wrong, p)
		}
	}
}

// TestAnswersWithoutAnEra guards against answers that are taken for later ones than they are: all
// that follows in the same era would be ignored.
func TestAnswersWithoutAnEra(t *testing.T) {
	sent := store.PositionOf(4, 60)
	tests := []struct {
		name     string
		answered store.Position
		want     store.Position
	}{
		{"the revision went on", store.PositionOf(0, 61), store.PositionOf(4, 61)},
		{"it is the same", store.PositionOf(0, 60), store.PositionOf(4, 60)},
		{"it went back", store.PositionOf(0, 59), store.PositionOf(5, 59)},
		{"an earlier era is stated", store.PositionOf(3, 80), store.PositionOf(3, 80)},
		{"a later era is stated", store.PositionOf(7, 9), store.PositionOf(7, 9)},
	}
	for _, tc := range tests {
		l := store.Listing{At: tc.answered, Records: []store.Record{{Name: "a", At: store.PositionOf(tc.answered.Era(), 5)}}}.InferEra(sent)
		if want := store.PositionOf(tc.want.Era(), 5); l.At != tc.want || l.Records[0].At != want {
			t.Errorf("%s: listed at %v, record at %v", tc.name, l.At, l.Records[0].At)
		}
	}
	c := store.Changes{At: store.PositionOf(0, 62), Events: []store.Event{{Record: store.Record{Name: "a", At: store.PositionOf(0, 61)}}}}.InferEra(sent)
	if c.At != store.PositionOf(4, 62) || c.Events[0].Record.At != store.PositionOf(4, 61) {
		t.Errorf("changes: %+v", c)
	}
}

// TestADamagedEraIsNotBelieved guards against one answer with a damaged header, after which all
// that the store answers would be taken for older than it.
func TestADamagedEraIsNotBelieved(t *testing.T) {
	var line store.Timeline
	for i, tc := range []struct {
		era    store.Era
		accept bool
	}{
		{40, true}, // the first that is stated
		{40, true}, {41, true}, {900, false}, {41, true}, {900, false}, {42, true}, {44, false}, {44, true}, {43, true}, {45, true},
	} {
		got := line.Accept(tc.era)
		if got != tc.accept {
			t.Errorf("%d: era %d accepted %v", i, tc.era, got)
		}
		if got {
			line.Observe(store.PositionOf(tc.era, 0))
		}
	}
}

func TestATimelineNoticesEachLaterEra(t *testing.T) {
	var line store.Timeline
	for i, tc := range []struct {
		at    store.Position
		later bool
	}{
		{store.PositionOf(1, 5), true}, {store.PositionOf(1, 9), false}, {store.PositionOf(2, 0), true},
		{store.PositionOf(1, 30), false}, {store.PositionOf(2, 3), false}, {store.PositionOf(4, 0), true},
	} {
		if got := line.Observe(tc.at); got != tc.later {
			t.Errorf("%d: %v", i, got)
		}
	}
	if line.Latest() != store.PositionOf(4, 0) {
		t.Errorf("latest %v", line.Latest())
	}
}

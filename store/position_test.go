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

// TestPositionsAreOrderedByEraThenRevision guards against comparing just the revisions of positions
// between which the store was restored.
func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	ascending := []store.Position{
		{}, store.PositionOf(0, 7), store.PositionOf(1, 0), store.PositionOf(1, 60), store.PositionOf(2, 1), store.PositionOf(2, 59), store.PositionOf(3, 1),
	}
	for i, p := range ascending {
		for j, q := range ascending {
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
		var decoded store.Position
		if err != nil || cbor.Unmarshal(raw, &decoded) != nil || decoded != p {
			rt.Errorf("%v is decoded as %v", p, decoded)
		}
	})
}

func TestDecodingInvalidPositionFails(t *testing.T) {
	for _, wrong := range []any{7, "1/7", []int{1}, []int{1, 2, 3}, []int{-1, 4}, map[string]int{"era": 1}} {
		raw, err := cbor.Marshal(wrong)
		if err != nil {
			t.Fatal(err)
		}
		var p store.Position
		if err := cbor.Unmarshal(raw, &p); err == nil {
			t.Errorf("%v was decoded as %v, want an error", wrong, p)
		}
	}
}

// TestInferEraOfResponses guards against inferring too late an era for a response that does not state
// one: all further responses of the same era would be ignored.
func TestInferEraOfResponses(t *testing.T) {
	sent := store.PositionOf(4, 60)
	tests := []struct {
		name   string
		stated store.Position
		want   store.Position
	}{
		{"higher revision", store.PositionOf(0, 61), store.PositionOf(4, 61)},
		{"same revision", store.PositionOf(0, 60), store.PositionOf(4, 60)},
		{"lower revision", store.PositionOf(0, 59), store.PositionOf(5, 59)},
		{"earlier era stated", store.PositionOf(3, 80), store.PositionOf(3, 80)},
		{"later era stated", store.PositionOf(7, 9), store.PositionOf(7, 9)},
	}
	for _, tc := range tests {
		l := store.Listing{At: tc.stated, Records: []store.Record{{Name: "a", At: store.PositionOf(tc.stated.Era(), 5)}}}.InferEra(sent)
		if want := store.PositionOf(tc.want.Era(), 5); l.At != tc.want || l.Records[0].At != want {
			t.Errorf("%s: listing at %v, record at %v, want %v and %v", tc.name, l.At, l.Records[0].At, tc.want, want)
		}
	}
	c := store.Changes{At: store.PositionOf(0, 62), Events: []store.Event{{Record: store.Record{Name: "a", At: store.PositionOf(0, 61)}}}}.InferEra(sent)
	if c.At != store.PositionOf(4, 62) || c.Events[0].Record.At != store.PositionOf(4, 61) {
		t.Errorf("changes without an era: %+v", c)
	}
}

// TestTimelineRejectsDamagedEra guards against one response with a damaged header, after which all
// further responses of the store would be ignored as older.
func TestTimelineRejectsDamagedEra(t *testing.T) {
	var line store.Timeline
	for i, tc := range []struct {
		era    store.Era
		accept bool
	}{
		{40, true}, // the first stated era
		{40, true}, {41, true}, {900, false}, {41, true}, {900, false}, {42, true}, {44, false}, {44, true}, {43, true}, {45, true},
	} {
		got := line.Accept(tc.era)
		if got != tc.accept {
			t.Errorf("%d: era %d: accepted %v, want %v", i, tc.era, got, tc.accept)
		}
		if got {
			line.Observe(store.PositionOf(tc.era, 0))
		}
	}
}

func TestTimelineDetectsLaterEra(t *testing.T) {
	var line store.Timeline
	for i, tc := range []struct {
		at    store.Position
		later bool
	}{
		{store.PositionOf(1, 5), true}, {store.PositionOf(1, 9), false}, {store.PositionOf(2, 0), true},
		{store.PositionOf(1, 30), false}, {store.PositionOf(2, 3), false}, {store.PositionOf(4, 0), true},
	} {
		if got := line.Observe(tc.at); got != tc.later {
			t.Errorf("%d: later era %v, want %v", i, got, tc.later)
		}
	}
	if line.Latest() != store.PositionOf(4, 0) {
		t.Errorf("latest position %v, want 4/0", line.Latest())
	}
}

func TestEarlierAndLaterOfTwoPositions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, q := drawPosition(rt), drawPosition(rt)
		earlier, later := store.Earlier(p, q), store.Later(p, q)
		if earlier.After(later) || earlier != p && earlier != q || (earlier == p) != (later == q) && p != q || earlier != store.Earlier(q, p) {
			rt.Errorf("of %v and %v the earlier is %v, the later %v", p, q, earlier, later)
		}
	})
}

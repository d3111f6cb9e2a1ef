package telling_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
	"clovertrail.dev/node/telling"
)

var (
	begin = time.Unix(1_800_000_000, 0)
	// large is the shape of a group of a few dozen ranks.
	large = rebalance.Shape{Ranks: 32, Layers: 12, Experts: 128, Slots: 5}
)

// dealt deals the experts of a shape in turn, as in the first map of a group.
func dealt(s rebalance.Shape) orders.Placement {
	m := make(orders.Placement, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
		}
	}
	return m
}

// moved gives the map with a copy more at each rank.
func moved(m orders.Placement, seed uint64) orders.Placement {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var rows []orders.Row
	for r := range m[0] {
		l := rnd.IntN(len(m))
		rows = append(rows, orders.Row{Layer: l, Rank: r, Experts: append([]int{rnd.IntN(64)}, m[l][r]...)})
	}
	out, _ := m.Apply(rows)
	return out
}

// line is a coordinator and one other rank's agent, with messages as they are sent.
type line struct {
	t    *testing.T
	told *telling.SentMaps
	maps *telling.Placements
	sent int // bytes of the last call
}

// tell sends an order, and returns what the agent makes of it.
func (l *line) tell(p orders.Prepare, arrives bool) (*mesh.OrderCall, error) {
	l.t.Helper()
	raw, err := cbor.Marshal(l.told.Shorten(1, mesh.NewOrderCall(orders.Call{Rank: 1, Epoch: 3, Order: p})))
	if err != nil {
		l.t.Fatal(err)
	}
	l.sent = len(raw)
	call := new(mesh.OrderCall)
	if err := cbor.Unmarshal(raw, call); err != nil {
		l.t.Fatal(err)
	}
	if !arrives {
		err = errors.New("no answer")
		l.told.Took(1, p, err)
		return nil, err
	}
	err = l.maps.Whole(call)
	l.told.Took(1, p, err)
	return call, err
}

func newLine(t *testing.T) *line {
	return &line{t: t, told: telling.NewSentMaps(), maps: telling.NewPlacements()}
}

func TestMapsArriveAsTheyWereSent(t *testing.T) {
	l := newLine(t)
	m := dealt(large)
	for v := range orders.Version(20) {
		m = moved(m, uint64(v))
		arrives := v%7 != 3
		call, err := l.tell(orders.Prepare{Version: v + 1, Map: m}, arrives)
		switch {
		case !arrives:
		case err != nil:
			t.Fatalf("version %d: %v", v+1, err)
		case !reflect.DeepEqual(call.Order(), orders.Prepare{Version: v + 1, Map: m}):
			t.Fatalf("version %d came as another map", v+1)
		}
	}
}

// TestAMapIsToldByWhatChanged: a whole map of a large group is some kilobytes, and
// each rank is told each map.
func TestAMapIsToldByWhatChanged(t *testing.T) {
	l := newLine(t)
	first := dealt(large)
	if _, err := l.tell(orders.Prepare{Version: 1, Map: first}, true); err != nil {
		t.Fatal(err)
	}
	whole := l.sent
	if _, err := l.tell(orders.Prepare{Version: 2, Map: moved(first, 1)}, true); err != nil {
		t.Fatal(err)
	}
	if l.sent*5 > whole {
		t.Errorf("a copy a rank took %d bytes, the whole map %d", l.sent, whole)
	}
}

// TestAnAgentThatStartsAgainIsToldTheWholeMap: it reports that it does not know the map
// from which the next was told, and prepares nothing.
func TestAnAgentThatStartsAgainIsToldTheWholeMap(t *testing.T) {
	l := newLine(t)
	first, second := dealt(large), moved(dealt(large), 1)
	if _, err := l.tell(orders.Prepare{Version: 1, Map: first}, true); err != nil {
		t.Fatal(err)
	}
	l.maps = telling.NewPlacements()
	if call, err := l.tell(orders.Prepare{Version: 2, Map: second}, true); !mesh.IsUnknownBase(err) {
		t.Fatalf("%v, with the map %v", err, call)
	}
	call, err := l.tell(orders.Prepare{Version: 2, Map: second}, true)
	if err != nil || !reflect.DeepEqual(call.Prepare.Map, second) {
		t.Errorf("told again: %v", err)
	}
}

// TestMapsOfAnotherEpochAreForgotten: versions start over where a group forms anew.
func TestMapsOfAnotherEpochAreForgotten(t *testing.T) {
	maps := telling.NewPlacements()
	m := dealt(large)
	if err := maps.Whole(&mesh.OrderCall{Epoch: 3, Prepare: &orders.Prepare{Version: 1, Map: m}}); err != nil {
		t.Fatal(err)
	}
	for _, epoch := range []orders.Epoch{4, 2} {
		late := &mesh.OrderCall{Epoch: epoch, Prepare: &orders.Prepare{Version: 2}, Base: 1}
		if err := maps.Whole(late); !mesh.IsUnknownBase(err) {
			t.Errorf("epoch %d: %v", epoch, err)
		}
	}
}

func TestWhatWasChosenIsToldSinceTheLastTime(t *testing.T) {
	p := telling.NewPicks()
	at := func(d time.Duration, asker int, counts ...uint64) *mesh.ExpertCounts {
		return p.Since(begin.Add(d), telling.Asker{Group: "g0", Rank: asker}, 1, counts)
	}
	if got := at(0, 0, 10, 100); got != nil {
		t.Errorf("the first time: %v", got)
	}
	if got := at(time.Second, 0, 15, 100); got.Count(0) != 5 || got.Count(1) != 0 {
		t.Errorf("the second time: %v", got)
	}
	if got := at(time.Second, 7, 15, 100); got != nil {
		t.Errorf("another asker: %v", got)
	}
	if got := at(2*time.Second, 0, 2, 100); got != nil {
		t.Errorf("after a restart of the engine: %v", got)
	}
	if got := p.Since(begin.Add(2500*time.Millisecond), telling.Asker{Group: "g0"}, 2, []uint64{50, 200}); got != nil {
		t.Errorf("after a restart that has counted past the start before: %v", got)
	}
	if got := at(10*time.Second, 0, 9, 100); got != nil {
		t.Errorf("after a long pause: %v", got)
	}
	if got := p.Since(begin.Add(11*time.Second), telling.Asker{Group: "g1"}, 1, []uint64{9, 200}); got != nil {
		t.Errorf("in another group: %v", got)
	}
}

// TestSharesSurviveTheRounding packs numbers far above a byte.
func TestSharesSurviveTheRounding(t *testing.T) {
	numbers := []uint64{0, 40, 5_000, 100_000, 1_000_000}
	p := mesh.NewExpertCounts(numbers)
	for i, n := range numbers {
		if off := p.Count(i) - float64(n); off > p.Unit/2 || off < -p.Unit/2 {
			t.Errorf("%d came as %v", n, p.Count(i))
		}
	}
	if small := mesh.NewExpertCounts([]uint64{3, 0, 255}); small.Count(0) != 3 || small.Count(2) != 255 {
		t.Errorf("small numbers are not exact: %v", small)
	}
}

func TestACounterWaitsForAllRanks(t *testing.T) {
	c := telling.NewCounter(rebalance.Shape{Ranks: 2, Layers: 2, Experts: 2})
	if c.Add(0, mesh.NewExpertCounts([]uint64{1, 2, 3, 4})) || c.Add(0, mesh.NewExpertCounts([]uint64{1, 0, 0, 0})) {
		t.Error("one of two ranks is all")
	}
	if !c.Add(1, nil) {
		t.Error("a rank that cannot tell is waited for")
	}
	if got, want := c.Take(), (rebalance.Load{{2, 2}, {3, 4}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	c.Add(0, mesh.NewExpertCounts([]uint64{1}))
	if c.Add(1, nil); c.Take()[0][0] != 0 {
		t.Error("counts of another shape were added")
	}
}

func TestAnAgentIsTaughtUntilItKnows(t *testing.T) {
	u := telling.NewGroupUpdate(0)
	at := func(d time.Duration, epoch orders.Epoch) bool { return u.Due(begin.Add(d), epoch) }
	if at(0, 2) {
		t.Error("an agent is told before it was asked what it knows")
	}
	u.Acknowledged(0)
	if !at(0, 2) || !at(time.Second, 2) {
		t.Error("an agent that knows nothing is not told")
	}
	u.Acknowledged(2)
	if at(2*time.Second, 2) {
		t.Error("an agent that knows is told again at once")
	}
	if !at(2*time.Second, 3) {
		t.Error("a new formation is not told")
	}
	u.Acknowledged(3)
	if !at(time.Minute, 3) {
		t.Error("an agent that knows is never told again")
	}
	u.Acknowledged(0)
	if !at(time.Minute, 3) {
		t.Error("an agent that started again is not told")
	}
}

func TestASumIsWhatAllChose(t *testing.T) {
	c := telling.NewCounter(rebalance.Shape{Ranks: 3, Layers: 1, Experts: 2})
	if c.AddSum([]int{0, 2}, mesh.SumExpertCounts([]*mesh.ExpertCounts{mesh.NewExpertCounts([]uint64{1, 300}), nil, mesh.NewExpertCounts([]uint64{2, 30})})) {
		t.Error("two of three ranks are all")
	}
	if !c.AddSum([]int{1}, mesh.SumExpertCounts(nil)) {
		t.Error("a part that cannot tell is waited for")
	}
	if got := c.Take(); got[0][0] < 2 || got[0][0] > 4 || got[0][1] < 328 || got[0][1] > 332 {
		t.Errorf("got %v", got)
	}
}

// TestFewOfManyBoxesTellAnAgentOfItsGroup: thirty boxes of a hall ask an agent every half a
// second, each at its own time, after it started.
func TestFewOfManyBoxesTellAnAgentOfItsGroup(t *testing.T) {
	const boxes, every = 30, 500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(5, 6))
	var updates []*telling.GroupUpdate
	for range boxes {
		updates = append(updates, telling.NewGroupUpdate(rnd.Float64()))
	}
	knows, told, first := orders.Epoch(0), 0, time.Duration(0)
	for tick := range 100 {
		at := time.Duration(tick) * every / boxes
		u := updates[tick%boxes]
		u.Acknowledged(knows)
		if u.Due(begin.Add(at), 3) {
			if knows, told = 3, told+1; first == 0 {
				first = at
			}
		}
	}
	if told == 0 || told > 5 || first > time.Second {
		t.Errorf("%d boxes told it, the first after %v", told, first)
	}
}

// TestAFewBoxesTellAnAgentSoon: of three boxes that ask an agent, none waits as one of
// thirty has to.
func TestAFewBoxesTellAnAgentSoon(t *testing.T) {
	wait := func(boxes int) time.Duration {
		u := telling.NewGroupUpdate(1)
		u.Among(boxes)
		u.Acknowledged(1)
		u.Due(begin, 2)
		return u.Waits(begin)
	}
	if few, many := wait(3), wait(30); few <= 0 || few > many/8 {
		t.Errorf("one of three waits for %v, one of thirty for %v", few, many)
	}
	u := telling.NewGroupUpdate(1)
	u.Acknowledged(2)
	if u.Due(begin, 2) || u.Waits(begin) != 0 {
		t.Error("an agent that knows its group is waited for")
	}
}

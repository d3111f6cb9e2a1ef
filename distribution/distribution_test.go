package distribution_test

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/distribution"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/mesh"
)

var (
	start = time.Unix(1_800_000_000, 0)
	// largeShape is the shape of a group of a few dozen ranks.
	largeShape = rebalance.Shape{Ranks: 32, Layers: 12, Experts: 128, Slots: 5}
)

// roundRobinMap assigns the experts of each layer to the ranks in turn, as the first map of a
// group does.
func roundRobinMap(s rebalance.Shape) orders.Placement {
	m := make(orders.Placement, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
		}
	}
	return m
}

// withCopies returns the map with one more expert at each rank.
func withCopies(m orders.Placement, seed uint64) orders.Placement {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var rows []orders.Row
	for r := range m[0] {
		l := rnd.IntN(len(m))
		rows = append(rows, orders.Row{Layer: l, Rank: r, Experts: append([]int{rnd.IntN(64)}, m[l][r]...)})
	}
	out, _ := m.Apply(rows)
	return out
}

// connection connects a coordinator with the agent of rank 1. Messages are encoded as on the
// wire.
type connection struct {
	t            *testing.T
	sentMaps     *distribution.SentMaps
	receivedMaps *distribution.ReceivedMaps
	sentBytes    int // size of the last call
}

// send sends an order, and returns the call as the agent expands it. An order that is not
// delivered gets no response.
func (c *connection) send(p orders.Prepare, delivered bool) (*mesh.OrderCall, error) {
	c.t.Helper()
	raw, err := cbor.Marshal(c.sentMaps.Shorten(1, mesh.NewOrderCall(orders.Call{Rank: 1, Epoch: 3, Order: p})))
	if err != nil {
		c.t.Fatal(err)
	}
	c.sentBytes = len(raw)
	call := new(mesh.OrderCall)
	if err := cbor.Unmarshal(raw, call); err != nil {
		c.t.Fatal(err)
	}
	if !delivered {
		err = errors.New("no response")
		c.sentMaps.RecordReply(1, p, err)
		return nil, err
	}
	err = c.receivedMaps.Expand(call)
	c.sentMaps.RecordReply(1, p, err)
	return call, err
}

func newConnection(t *testing.T) *connection {
	return &connection{t: t, sentMaps: distribution.NewSentMaps(), receivedMaps: distribution.NewReceivedMaps()}
}

func TestMapsArriveUnchangedDespiteLostMessages(t *testing.T) {
	c := newConnection(t)
	m := roundRobinMap(largeShape)
	for v := range orders.Version(20) {
		m = withCopies(m, uint64(v))
		delivered := v%7 != 3
		call, err := c.send(orders.Prepare{Version: v + 1, Map: m}, delivered)
		switch {
		case !delivered:
		case err != nil:
			t.Fatalf("expanding version %d: %v", v+1, err)
		case !reflect.DeepEqual(call.Order(), orders.Prepare{Version: v + 1, Map: m}):
			t.Fatalf("version %d was expanded to a different map", v+1)
		}
	}
}

// A whole map of a large group takes some kilobytes, and each rank is sent each map.
func TestSentMapsSendsOnlyChangedRows(t *testing.T) {
	c := newConnection(t)
	first := roundRobinMap(largeShape)
	if _, err := c.send(orders.Prepare{Version: 1, Map: first}, true); err != nil {
		t.Fatal(err)
	}
	wholeBytes := c.sentBytes
	if _, err := c.send(orders.Prepare{Version: 2, Map: withCopies(first, 1)}, true); err != nil {
		t.Fatal(err)
	}
	if c.sentBytes*5 > wholeBytes {
		t.Errorf("changes of one copy per rank took %d bytes, the whole map %d; want at most a fifth", c.sentBytes, wholeBytes)
	}
}

// A restarted agent does not have the map that the changes are based on. It reports this with
// UnknownBase and prepares nothing, and is then sent the whole map.
func TestSentMapsSendsWholeMapAfterAgentRestart(t *testing.T) {
	c := newConnection(t)
	first, second := roundRobinMap(largeShape), withCopies(roundRobinMap(largeShape), 1)
	if _, err := c.send(orders.Prepare{Version: 1, Map: first}, true); err != nil {
		t.Fatal(err)
	}
	c.receivedMaps = distribution.NewReceivedMaps()
	if call, err := c.send(orders.Prepare{Version: 2, Map: second}, true); !mesh.IsUnknownBase(err) {
		t.Fatalf("changes sent to a restarted agent: call %v, error %v; want UnknownBase", call, err)
	}
	call, err := c.send(orders.Prepare{Version: 2, Map: second}, true)
	if err != nil || !reflect.DeepEqual(call.Prepare.Map, second) {
		t.Errorf("sent again after UnknownBase: error %v, or the map is not the whole map that was sent", err)
	}
}

// Versions start over when a group forms anew, so a version of another epoch is another map.
func TestReceivedMapsRejectsBaseOfAnotherEpoch(t *testing.T) {
	received := distribution.NewReceivedMaps()
	m := roundRobinMap(largeShape)
	if err := received.Expand(&mesh.OrderCall{Epoch: 3, Prepare: &orders.Prepare{Version: 1, Map: m}}); err != nil {
		t.Fatal(err)
	}
	for _, epoch := range []orders.Epoch{4, 2} {
		late := &mesh.OrderCall{Epoch: epoch, Prepare: &orders.Prepare{Version: 2}, Base: 1}
		if err := received.Expand(late); !mesh.IsUnknownBase(err) {
			t.Errorf("base of epoch 3 in a call of epoch %d: %v, want UnknownBase", epoch, err)
		}
	}
}

func TestCountDeltasReturnsIncreaseSincePreviousRequest(t *testing.T) {
	d := distribution.NewCountDeltas()
	at := func(after time.Duration, requester int, counts ...uint64) *mesh.ExpertCounts {
		return d.Since(start.Add(after), distribution.Requester{Group: "g0", Rank: requester}, 1, counts)
	}
	if got := at(0, 0, 10, 100); got != nil {
		t.Errorf("first request: %v, want nil", got)
	}
	if got := at(time.Second, 0, 15, 100); got.Count(0) != 5 || got.Count(1) != 0 {
		t.Errorf("second request: %v, want increases 5 and 0", got)
	}
	if got := at(time.Second, 7, 15, 100); got != nil {
		t.Errorf("first request of another rank: %v, want nil", got)
	}
	if got := at(2*time.Second, 0, 2, 100); got != nil {
		t.Errorf("after a restart of the engine: %v, want nil", got)
	}
	if got := d.Since(start.Add(2500*time.Millisecond), distribution.Requester{Group: "g0"}, 2, []uint64{50, 200}); got != nil {
		t.Errorf("after a restart, with counts above those before it: %v, want nil", got)
	}
	if got := at(10*time.Second, 0, 9, 100); got != nil {
		t.Errorf("after a long pause: %v, want nil", got)
	}
	if got := d.Since(start.Add(11*time.Second), distribution.Requester{Group: "g1"}, 1, []uint64{9, 200}); got != nil {
		t.Errorf("first request of another group: %v, want nil", got)
	}
}

// Counts are packed into one byte each; the test packs counts far above 255.
func TestPackRoundsLargeCountsWithinHalfAUnit(t *testing.T) {
	numbers := []uint64{0, 40, 5_000, 100_000, 1_000_000}
	p := mesh.NewExpertCounts(numbers)
	for i, n := range numbers {
		if off := p.Count(i) - float64(n); off > p.Unit/2 || off < -p.Unit/2 {
			t.Errorf("%d was unpacked as %v, with a unit of %v", n, p.Count(i), p.Unit)
		}
	}
	if small := mesh.NewExpertCounts([]uint64{3, 0, 255}); small.Count(0) != 3 || small.Count(2) != 255 {
		t.Errorf("counts that fit into a byte are not exact: %v", small)
	}
}

func TestCounterIsCompleteOnceAllRanksReported(t *testing.T) {
	c := distribution.NewCounter(rebalance.Shape{Ranks: 2, Layers: 2, Experts: 2})
	if c.Add(0, mesh.NewExpertCounts([]uint64{1, 2, 3, 4})) || c.Add(0, mesh.NewExpertCounts([]uint64{1, 0, 0, 0})) {
		t.Error("complete after one of two ranks reported")
	}
	if !c.Add(1, nil) {
		t.Error("not complete after both ranks reported, one of them without counts")
	}
	if got, want := c.SumAndReset(), (rebalance.Load{{2, 2}, {3, 4}}); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	c.Add(0, mesh.NewExpertCounts([]uint64{1}))
	if c.Add(1, nil); c.SumAndReset()[0][0] != 0 {
		t.Error("counts of another shape were added")
	}
}

func TestGroupUpdateIsDueUntilAcknowledged(t *testing.T) {
	u := distribution.NewGroupUpdate(0)
	at := func(d time.Duration, epoch orders.Epoch) bool { return u.Due(start.Add(d), epoch) }
	if at(0, 2) {
		t.Error("update due before the agent acknowledged any epoch")
	}
	u.Acknowledged(0)
	if !at(0, 2) || !at(time.Second, 2) {
		t.Error("no update due, or no repeat, for an agent without the members")
	}
	u.Acknowledged(2)
	if at(2*time.Second, 2) {
		t.Error("update due at once after the agent acknowledged the epoch")
	}
	if !at(2*time.Second, 3) {
		t.Error("no update due for a new epoch")
	}
	u.Acknowledged(3)
	if !at(time.Minute, 3) {
		t.Error("no repeated update due after a minute")
	}
	u.Acknowledged(0)
	if !at(time.Minute, 3) {
		t.Error("no update due for a restarted agent")
	}
}

func TestCounterAddsSumOfSeveralRanks(t *testing.T) {
	c := distribution.NewCounter(rebalance.Shape{Ranks: 3, Layers: 1, Experts: 2})
	if c.AddSum([]int{0, 2}, mesh.SumExpertCounts([]*mesh.ExpertCounts{mesh.NewExpertCounts([]uint64{1, 300}), nil, mesh.NewExpertCounts([]uint64{2, 30})})) {
		t.Error("complete after two of three ranks reported")
	}
	if !c.AddSum([]int{1}, mesh.SumExpertCounts(nil)) {
		t.Error("not complete after all ranks reported, one of them without counts")
	}
	if got := c.SumAndReset(); got[0][0] < 2 || got[0][0] > 4 || got[0][1] < 328 || got[0][1] > 332 {
		t.Errorf("got %v, want 3 and 330 within the rounding", got)
	}
}

// Thirty boxes of a hall each query a newly started agent every half second, at different times.
// If all of them sent the agent an update, the updates would fill its link.
func TestGroupUpdateIsSentByFewOfManyBoxes(t *testing.T) {
	const boxes, every = 30, 500 * time.Millisecond
	rnd := rand.New(rand.NewPCG(5, 6))
	var states []*distribution.GroupUpdate
	for range boxes {
		states = append(states, distribution.NewGroupUpdate(rnd.Float64()))
	}
	acknowledged, sent, first := orders.Epoch(0), 0, time.Duration(0)
	for tick := range 100 {
		at := time.Duration(tick) * every / boxes
		u := states[tick%boxes]
		u.Acknowledged(acknowledged)
		if u.Due(start.Add(at), 3) {
			if acknowledged, sent = 3, sent+1; first == 0 {
				first = at
			}
		}
	}
	if sent == 0 || sent > 5 || first > time.Second {
		t.Errorf("%d boxes sent an update, the first after %v; want 1 to 5, within a second", sent, first)
	}
}

// With three boxes querying an agent, a box waits much less before an update than with thirty.
func TestGroupUpdateWaitIsShortWithFewBoxes(t *testing.T) {
	wait := func(boxes int) time.Duration {
		u := distribution.NewGroupUpdate(1)
		u.SetBoxes(boxes)
		u.Acknowledged(1)
		u.Due(start, 2)
		return u.Delay(start)
	}
	if few, many := wait(3), wait(30); few <= 0 || few > many/8 {
		t.Errorf("one of three boxes waits for %v, one of thirty for %v; want at most an eighth", few, many)
	}
	u := distribution.NewGroupUpdate(1)
	u.Acknowledged(2)
	if u.Due(start, 2) || u.Delay(start) != 0 {
		t.Error("update due or delayed for an agent that has the members")
	}
}

// TestReversedCountsAreIgnoredAndCounted: an engine that has started again, or whose counts are lower
// than before, must not add to the demand, and operators must see it.
func TestReversedCountsAreIgnoredAndCounted(t *testing.T) {
	d := distribution.NewCountDeltas()
	from := distribution.Requester{Group: "g0"}
	for i, tc := range []struct {
		born      domain.StartTime
		counts    []uint64
		ignored   bool
		reversals int
	}{
		{1, []uint64{5, 100}, true, 0}, // the first request
		{1, []uint64{9, 120}, false, 0},
		{1, []uint64{9, 20}, true, 1},
		{1, []uint64{10, 30}, false, 0},
		{2, []uint64{50, 200}, true, 1},
	} {
		got := d.Since(start.Add(time.Duration(i)*200*time.Millisecond), from, tc.born, tc.counts)
		if n := d.TakeReversals(); (got == nil) != tc.ignored || n != tc.reversals {
			t.Errorf("request %d: ignored: %v, reversals: %d; want %v, %d", i, got == nil, n, tc.ignored, tc.reversals)
		}
	}
}

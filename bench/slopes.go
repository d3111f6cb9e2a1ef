package bench

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"clovertrail.dev/catalog"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/distribution"
	"clovertrail.dev/experts/rebalance"
	"clovertrail.dev/mapswitch/orders"
	"clovertrail.dev/membership"
	"clovertrail.dev/mesh"
	"clovertrail.dev/routing"
	"clovertrail.dev/store"
)

// startTime is the time that all measurements pass as the current time.
var startTime = time.Unix(1_800_000_000, 0)

// quantity is a message size or a run time that grows with a parameter of the system. The name, unit
// and by are the texts of the table.
type quantity struct {
	name, unit, by string
	sizes          []int
	measure        func(size int) float64
}

var quantities = []quantity{
	{"what a box tells of its hall", "bytes", "targets of the hall", []int{24, 240, 1200}, targetStatusBytes},
	{"statuses of 576 targets to a follower", "bytes", "boxes", []int{64, 432, 864}, followerBytes},
	{"a pull after one change of the list", "bytes", "targets", []int{36, 612, 1224}, pullBytes},
	{"an advert, nobody new", "bytes", "boxes known", []int{8, 40, 432, 864}, advertBytes},
	{"a question to an agent and its answer", "bytes", "ranks of its group", []int{8, 24, 64}, agentPollBytes},
	{"counts of a rank", "bytes", "layers x experts", []int{288, 1536, 3840}, expertCountBytes},
	{"a whole map to one rank", "bytes", "ranks x layers x places", []int{396, 1920, 19200}, fullMapBytes},
	{"choosing a target", "ns", "targets of the service", []int{24, 72, 240, 576, 1152}, targetChoiceTime},
	{"planning a map", "ns", "ranks x layers x experts", []int{3456, 36864, 245760}, mapPlanTime},
}

// Slopes measures each quantity, fits a line to the results, and writes a table in Markdown.
func Slopes(out io.Writer) error {
	if _, err := fmt.Fprintf(out, "| quantity | unit | by | measured | line |\n|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for _, q := range quantities {
		var xs, ys []float64
		text := ""
		for _, size := range q.sizes {
			y := q.measure(size)
			xs, ys = append(xs, float64(size)), append(ys, y)
			text += fmt.Sprintf("%d: %.4g; ", size, y)
		}
		a, b := fitLine(xs, ys)
		if _, err := fmt.Fprintf(out, "| %s | %s | %s | %s | %.4g + %.4g x |\n", q.name, q.unit, q.by, text, a, b); err != nil {
			return err
		}
	}
	return nil
}

// fitLine fits y = a + b x by least squares.
func fitLine(xs, ys []float64) (a, b float64) {
	n, sx, sy, sxx, sxy := float64(len(xs)), 0.0, 0.0, 0.0, 0.0
	for i := range xs {
		sx, sy, sxx, sxy = sx+xs[i], sy+ys[i], sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - b*sx) / n, b
}

// encodedSize returns the size of a message on the wire, in bytes.
func encodedSize(m any) float64 {
	raw, err := cbor.Marshal(m)
	if err != nil {
		panic(err) // cannot happen: all messages are plain data
	}
	return float64(len(raw))
}

func instance(i int) domain.InstanceID { return domain.InstanceID(fmt.Sprintf("i-%010x", i)) }

// targetStatusBytes returns the size of a box's message on the statuses of the targets in its hall.
func targetStatusBytes(targets int) float64 {
	return encodedSize(statuses(targets).Latest(startTime.Add(150*time.Millisecond), distribution.Hall, nil))
}

func statuses(targets int) *distribution.TargetStatuses {
	s := distribution.NewTargetStatuses()
	for i := range targets {
		s.RecordReport(startTime, instance(i), &mesh.RankReport{
			State: orders.State{Epoch: 3, Open: true, Step: orders.Step(90_000 + i)}, Running: 7, Waiting: 1, Slowdown: 1,
		})
	}
	return s
}

// ranks returns targets in groups of a hundred ranks.
func ranks(targets int) []domain.Target {
	const size = 100
	list := make([]domain.Target, targets)
	for i := range list {
		t, err := domain.NewTarget(domain.TargetFields{
			ID: instance(i), Service: "service", Address: "10.1.0.40:8000", Hall: "hall-1", State: domain.TargetReady,
			Rank: &domain.Rank{Group: domain.GroupName(fmt.Sprint("group-", i/size)), Number: i % size, Size: size},
		})
		if err != nil {
			panic(err) // the fields are constant
		}
		list[i] = t
	}
	return list
}

// followerBytes returns the size of a hub's message on 576 targets to a follower in a fleet of the given number of boxes.
func followerBytes(boxes int) float64 {
	const targets = 576
	return encodedSize(statuses(targets).Latest(startTime.Add(150*time.Millisecond), distribution.All, membership.NewSubset("entry-hall-7", boxes).Select(ranks(targets))))
}

// pullBytes returns the size of the reply to a box that lacks the last change of a list.
func pullBytes(targets int) float64 {
	r := membership.NewRoster("self", membership.DefaultRosterPolicy(time.Second))
	for i := range targets {
		t, err := domain.NewTarget(domain.TargetFields{ID: instance(i), Service: "service", Address: "10.1.0.40:8000", Hall: "hall-1", State: domain.TargetReady})
		if err != nil {
			panic(err) // cannot happen: the fields are valid
		}
		r.ApplyUpdate(startTime, membership.TargetUpdate{ID: t.ID(), At: store.PositionOf(1, store.Revision(i+1)), Target: &t})
	}
	changes, _ := r.ChangesSince(store.PositionOf(1, store.Revision(targets-1)))
	return encodedSize(&mesh.PullReply{At: r.Newest(), ChangesOnly: true, Targets: mesh.NewTargetUpdates(startTime, changes)})
}

// advertBytes returns the size of an advert of a box that has the given number of boxes, none of them
// new.
func advertBytes(boxes int) float64 {
	b := membership.NewBoxes("self", rand.New(rand.NewPCG(1, 2)))
	contact := func(i int) membership.Contact {
		return membership.Contact{Box: domain.BoxID(fmt.Sprintf("entry-hall-%d", i)), Address: "10.1.0.40:7340", Incarnation: domain.Incarnation(startTime.UnixNano())}
	}
	for i := range boxes {
		b.Receive(startTime, contact(i), "hall", membership.StoreProgress{}, false)
	}
	position := store.PositionOf(3, 90_000)
	a := &mesh.Advert{Self: mesh.Contact{Box: "entry-hall-0", Address: "10.1.0.40:7340", Incarnation: domain.Incarnation(startTime.UnixNano())}, Hall: "hall-1", Config: catalog.Edition{Version: 90_000, At: position}, Targets: position}
	for c, age := range b.PeersToAdvertise(startTime.Add(membership.NewFor), "hall", 16, 2) {
		a.Peers = append(a.Peers, mesh.Contact{Box: c.Box, Address: c.Address, Incarnation: c.Incarnation, Age: age})
	}
	return encodedSize(a)
}

// agentPollBytes returns the mean size of a request to an agent with its response. Of the requests in
// five seconds, at five a second, one sends the agent the members of its group.
func agentPollBytes(ranks int) float64 {
	const requests = 25
	withMembers := &mesh.WatchQuery{Epoch: 3, Shape: &rebalance.Shape{Ranks: ranks, Layers: 16, Experts: 96, Slots: 5, Staging: 2, CopyTime: time.Second, ExpertShare: 0.85}}
	for r := range ranks {
		withMembers.Members = append(withMembers.Members, mesh.Member{Rank: r, Instance: instance(r), Target: "10.1.0.40:8000", Agent: "10.1.0.40:7355"})
	}
	response := &mesh.RankReport{Group: "g0-0", Rank: 3, Size: ranks, State: orders.State{Epoch: 3, Open: true, Step: 90_000, Map: 42_000_000_000, Prepared: 42_000_000_000}, Running: 7, Slowdown: 1, MembersEpoch: 3}
	return encodedSize(&mesh.WatchQuery{Epoch: 3}) + encodedSize(response) + encodedSize(withMembers)/requests
}

// expertCountBytes returns the size of the message with a rank's counts of tokens per expert.
func expertCountBytes(size int) float64 {
	numbers := make([]uint64, size)
	for i := range numbers {
		numbers[i] = uint64(i % 200)
	}
	return encodedSize(mesh.NewExpertCounts(numbers))
}

// fullMapBytes returns the size of the order that sends a complete map to a rank.
func fullMapBytes(size int) float64 {
	const layers, slots = 16, 5
	m := make(orders.Placement, layers)
	for l := range m {
		for r := range size / layers / slots {
			m[l] = append(m[l], []int{r % 96, (r + 20) % 96, (r + 40) % 96, (r + 60) % 96, (r + 80) % 96})
		}
	}
	return encodedSize(mesh.NewOrderCall(orders.Call{Order: orders.Prepare{Version: 42_000_000_000, Map: m}}))
}

// targetChoiceTime returns the time to choose a target and to record the attempt and its end, in
// nanoseconds.
func targetChoiceTime(targets int) float64 {
	const ranks = 24
	b := routing.NewBalancer(rand.New(rand.NewPCG(1, 2)))
	var options []routing.Option
	for i := range targets {
		options = append(options, routing.Option{
			ID: instance(i), Hall: domain.HallName(fmt.Sprintf("hall-%d", i/ranks)), Group: domain.GroupName(fmt.Sprintf("g-%d", i/ranks)), Slots: 10,
		})
	}
	return callNanoseconds(func() {
		if o, ok := b.Pick(startTime, "hall-0", options); ok {
			b.Ended(startTime, b.Sent(startTime, o))
		}
	})
}

// mapPlanTime returns the time to plan a map, in nanoseconds.
func mapPlanTime(size int) float64 {
	shapes := map[int]rebalance.Shape{
		3456:   {Ranks: 12, Layers: 3, Experts: 96, Slots: 11, Staging: 4},
		36864:  {Ranks: 24, Layers: 16, Experts: 96, Slots: 5, Staging: 2},
		245760: {Ranks: 64, Layers: 60, Experts: 64, Slots: 5, Staging: 2},
	}
	s := shapes[size]
	s.CopyTime, s.ExpertShare = 100*time.Millisecond, 0.85
	m, load := make(rebalance.Map, s.Layers), make(rebalance.Load, s.Layers)
	for l := range m {
		m[l] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[l][e%s.Ranks] = append(m[l][e%s.Ranks], e)
			load[l] = append(load[l], math.Pow(float64((e*7+l)%s.Experts+1), -1))
		}
	}
	p := rebalance.Planner{Shape: s, Horizon: 2 * time.Second, CopySlowdown: 0.15, MaxCopies: 1}
	return callNanoseconds(func() { p.Plan(m, load) })
}

// callNanoseconds returns the mean run time of a call.
func callNanoseconds(call func()) float64 {
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			call()
		}
	})
	return float64(r.NsPerOp())
}

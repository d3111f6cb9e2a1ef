package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/local"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/settings"
)

// apiKey is the API key of the only organisation.
const apiKey = "key-of-org-a"

// paths has the path of each kind of request.
var paths = map[string]string{
	"once": "/once/x", "again": "/again/x", "stream": "/stream/x", "group": standin.GroupPath + "x",
}

// callerTimeout is how long a caller waits for the answer to a request.
const callerTimeout = 4 * time.Second

// Shape of the group of ranks, as for a small model. The number of slots is that of a rank in a
// layer; stagingSlots are for copies under way.
const (
	layers, experts, slots, stagingSlots = 4, 32, 6, 2
	stepTime, copyTime                   = 20 * time.Millisecond, 60 * time.Millisecond
	expertsWorkShare                     = 0.85
	// demandExponent is the exponent of the power law by which the demand for experts falls.
	demandExponent = 1.0
)

// shape returns the shape of the group. The demand moves to other experts every
// DemandShiftInterval.
func (w Workload) shape() standin.GroupShape {
	var order [][]int
	total := 0.0
	for layer := range layers {
		order = append(order, rand.New(rand.NewPCG(uint64(layer), 1)).Perm(experts))
	}
	for e := range experts {
		total += math.Pow(float64(e+1), -demandExponent)
	}
	return standin.GroupShape{
		Name: "g0", Ranks: w.Ranks, Layers: layers, Experts: experts, Slots: max(slots, experts/w.Ranks+1), Staging: stagingSlots,
		StepTime: stepTime, CopyTime: copyTime, ExpertShare: expertsWorkShare,
		Demand: func(at time.Time, layer, expert int) float64 {
			shifts := int(at.UnixNano() / int64(w.DemandShiftInterval.Duration()))
			index := order[layer][(expert+shifts%experts*7+experts*7)%experts]
			return math.Pow(float64(index+1), -demandExponent) / total
		},
	}
}

// layout returns the layout of the workload's system.
func (w Workload) layout(log io.Writer, s *standin.GroupShape) local.Layout {
	l := local.Layout{
		Entries: w.Entries, Targets: w.Targets, Group: s, Keys: map[string]string{"org-a": apiKey}, Bounds: process.DefaultBounds(), Log: log,
	}
	l.Bounds.RetryShare, l.Bounds.RetrySlack, l.Bounds.Stop = 0.2, 90, settings.Duration(callerTimeout)
	for i := range w.Halls {
		l.Halls = append(l.Halls, domain.HallName(fmt.Sprintf("hall-%d", i+1)))
	}
	return l
}

// logBuffer keeps the lines that processes log and forwards them to a writer.
//
// Lock order: mu is the only lock.
type logBuffer struct {
	mu      sync.Mutex
	text    bytes.Buffer
	forward io.Writer // nil for no forwarding
}

// Write implements io.Writer.
func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.forward != nil {
		if _, err := l.forward.Write(line); err != nil {
			return 0, err
		}
	}
	return l.text.Write(line)
}

// stopForwarding ends the forwarding, because a process that was killed may still write a line
// after the run.
func (l *logBuffer) stopForwarding() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forward = nil
}

// Play runs the workload. log receives the log lines of all processes, report is called as each
// fault starts and ends, and beforeClose is called before the system is closed. Each may be nil.
func Play(ctx context.Context, w Workload, seed uint64, log io.Writer, report func(string), beforeClose func(*local.System)) (*Result, error) {
	if report == nil {
		report = func(string) {}
	}
	buffer, shape := &logBuffer{forward: log}, w.shape()
	defer buffer.stopForwarding()
	s, err := local.Start(w.layout(buffer, &shape))
	if err != nil {
		return nil, err
	}
	r := newResult(w, shape)
	w.generateLoad(ctx, s, seed, r, report)
	r.collect(s, buffer)
	if beforeClose != nil {
		beforeClose(s)
	}
	return r, s.Close()
}

// startupTime is how long the boxes have to start before the first request.
const startupTime = time.Second

// generateLoad sends requests and runs the faults until the time of the workload is over, and
// waits for the last replies.
func (w Workload) generateLoad(ctx context.Context, s *local.System, seed uint64, r *Result, report func(string)) {
	start := time.Now().Add(startupTime)
	ctx, cancel := context.WithDeadline(ctx, start.Add(time.Duration(w.Seconds)*time.Second))
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range w.Faults {
		wg.Go(func() { f.run(ctx, s, start, report) })
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n := 0; waitUntil(ctx, w.nextRequestTime(rnd, start)); n++ {
		kind, index, id := w.drawKind(rnd), rnd.Int(), fmt.Sprintf("r-%d-%d", seed, n)
		wg.Go(func() { w.sendRequest(s, r, kind, index, id) })
	}
	wg.Wait()
}

// nextRequestTime returns when the next request is sent. The intervals are drawn for the rate of
// the workload, which is PeakFactor times as high in the middle third.
func (w Workload) nextRequestTime(rnd *rand.Rand, start time.Time) time.Time {
	const thirds = 3
	now := time.Now()
	if now.Before(start) {
		return start
	}
	rate := w.Rate
	if third := int(now.Sub(start).Seconds() * thirds / float64(w.Seconds)); third == 1 {
		rate *= w.PeakFactor
	}
	return now.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
}

// drawKind draws the kind of a request by the shares of the workload's mix.
func (w Workload) drawKind(rnd *rand.Rand) string {
	kinds := []string{"once", "again", "stream", "group"}
	total := 0.0
	for _, k := range kinds {
		total += w.Mix[k]
	}
	x := rnd.Float64() * total
	for _, k := range kinds {
		if x -= w.Mix[k]; x < 0 {
			return k
		}
	}
	return kinds[0]
}

// sendRequest sends a request to a box that reports that it is ready, as the platform's balancer
// would, and once more if the request did not run and the answer states when to retry.
func (w Workload) sendRequest(s *local.System, r *Result, kind string, index int, id string) {
	q := standin.Request{ID: id, Path: paths[kind], Key: apiKey, Body: "text", Timeout: callerTimeout}
	reply := s.SendRequest(context.Background(), readyBox(s, index), q)
	if reply.NotRun() && reply.RetryAfter > 0 {
		r.addRetry()
		time.Sleep(reply.RetryAfter)
		q.ID += "-again"
		reply = s.SendRequest(context.Background(), readyBox(s, index+1), q)
	}
	r.add(kind, reply)
}

// readyBox returns the first ready box from the index on, or the box at the index if none is
// ready.
func readyBox(s *local.System, index int) *local.EntryBox {
	all := s.Entries()
	for i := range all {
		if e := all[(index+i)%len(all)]; e.Running() && e.Ready(context.Background()) {
			return e
		}
	}
	return all[index%len(all)]
}

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

// key is the key of the one organisation.
const key = "key-of-org-a"

// paths are by kind of request.
var paths = map[string]string{
	"once": "/once/x", "again": "/again/x", "stream": "/stream/x", "group": standin.GroupPath + "x",
}

// within is the time that callers have.
const within = 4 * time.Second

// The group of ranks: sizes of a small model.
const (
	layers, experts, places, staging = 4, 32, 6, 2
	stepTime, copyTime               = 20 * time.Millisecond, 60 * time.Millisecond
	workOfExperts                    = 0.85
	// skewOfDemand is the exponent with which the demand for experts falls.
	skewOfDemand = 1.0
)

// shape is that of the group, whose demand moves to other experts now and then.
func (w Workload) shape() standin.GroupShape {
	var order [][]int
	total := 0.0
	for layer := range layers {
		order = append(order, rand.New(rand.NewPCG(uint64(layer), 1)).Perm(experts))
	}
	for e := range experts {
		total += math.Pow(float64(e+1), -skewOfDemand)
	}
	return standin.GroupShape{
		Name: "g0", Ranks: w.Ranks, Layers: layers, Experts: experts, Places: max(places, experts/w.Ranks+1), Staging: staging,
		Step: stepTime, Copy: copyTime, Share: workOfExperts,
		Demand: func(at time.Time, layer, expert int) float64 {
			jumps := int(at.UnixNano() / int64(w.DemandShiftInterval.Duration()))
			place := order[layer][(expert+jumps%experts*7+experts*7)%experts]
			return math.Pow(float64(place+1), -skewOfDemand) / total
		},
	}
}

// layout is the system of the workload.
func (w Workload) layout(log io.Writer, s *standin.GroupShape) local.Layout {
	l := local.Layout{
		Entries: w.Entries, Targets: w.Targets, Group: s, Keys: map[string]string{"org-a": key}, Bounds: process.DefaultBounds(), Log: log,
	}
	l.Bounds.RetryShare, l.Bounds.RetrySlack, l.Bounds.Stop = 0.2, 90, settings.Duration(within)
	for i := range w.Halls {
		l.Halls = append(l.Halls, domain.HallName(fmt.Sprintf("hall-%d", i+1)))
	}
	return l
}

// lines keeps what processes log, and passes it on.
//
// Lock order: mu is the only lock.
type lines struct {
	mu   sync.Mutex
	kept bytes.Buffer
	also io.Writer // nil for none
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.also != nil {
		if _, err := l.also.Write(line); err != nil {
			return 0, err
		}
	}
	return l.kept.Write(line)
}

// end passes nothing on any more: a process that was killed may still write a line.
func (l *lines) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.also = nil
}

// Play runs the workload; log takes the lines of all processes, report what goes wrong, and
// stay is called before the system ends. Each may be nil.
func Play(ctx context.Context, w Workload, seed uint64, log io.Writer, tell func(string), stay func(*local.System)) (*Result, error) {
	if tell == nil {
		tell = func(string) {}
	}
	kept, shape := &lines{also: log}, w.shape()
	defer kept.end()
	s, err := local.Start(w.layout(kept, &shape))
	if err != nil {
		return nil, err
	}
	r := newResult(w, shape)
	w.load(ctx, s, seed, r, tell)
	r.end(s, kept)
	if stay != nil {
		stay(s)
	}
	return r, s.Close()
}

// startFor is what the boxes have to start.
const startFor = time.Second

// load lets requests come and faults happen until the time of the workload is over.
func (w Workload) load(ctx context.Context, s *local.System, seed uint64, r *Result, tell func(string)) {
	began := time.Now().Add(startFor)
	ctx, cancel := context.WithDeadline(ctx, began.Add(time.Duration(w.Seconds)*time.Second))
	defer cancel()
	var all sync.WaitGroup
	for _, f := range w.Faults {
		all.Go(func() { f.happen(ctx, s, began, tell) })
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n := 0; waitUntil(ctx, w.next(rnd, began)); n++ {
		path, pick, id := w.draw(rnd), rnd.Int(), fmt.Sprintf("r-%d-%d", seed, n)
		all.Go(func() { w.ask(s, r, path, pick, id) })
	}
	all.Wait()
}

// next is when the next request comes.
func (w Workload) next(rnd *rand.Rand, began time.Time) time.Time {
	const thirds = 3
	now := time.Now()
	if now.Before(began) {
		return began
	}
	rate := w.Rate
	if third := int(now.Sub(began).Seconds() * thirds / float64(w.Seconds)); third == 1 {
		rate *= w.PeakFactor
	}
	return now.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
}

// draw is the kind of a request.
func (w Workload) draw(rnd *rand.Rand) string {
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

// ask makes a request at a box that reports that it is ready, as the platform's balancer would,
// and once more if the caller is informed when to come back.
func (w Workload) ask(s *local.System, r *Result, kind string, pick int, id string) {
	q := standin.Request{ID: id, Path: paths[kind], Key: key, Body: "text", Within: within}
	reply := s.SendRequest(context.Background(), ready(s, pick), q)
	if reply.NotRun() && reply.Again > 0 {
		r.cameBack()
		time.Sleep(reply.Again)
		q.ID += "-again"
		reply = s.SendRequest(context.Background(), ready(s, pick+1), q)
	}
	r.add(kind, reply)
}

func ready(s *local.System, pick int) *local.EntryBox {
	all := s.Entries()
	for i := range all {
		if e := all[(pick+i)%len(all)]; e.Running() && e.Ready(context.Background()) {
			return e
		}
	}
	return all[pick%len(all)]
}

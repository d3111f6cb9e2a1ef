package soak

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// readinessInterval is the time between two readiness checks of a box. missesToOut of them in a row without status 200
	// take the box out of the balancer, and the next one with that status takes it in again.
	readinessInterval, readinessTimeout, missesToOut = time.Second, 500 * time.Millisecond, 2
	// skewTime is the time for which most new connections go to one box, and skewPause the longest time until that
	// begins again.
	skewTime, skewPause = 8 * time.Second, 3 * time.Second
	// skewShare is the share of the new connections that go to that box.
	skewShare = 0.9
	// minSkewServed is the least share of requests that are served while most connections go to one box, relative to the
	// share in the same time before, and minSkewRequests the number of requests from which the shares are compared.
	minSkewServed, minSkewRequests = 0.75, 20
)

// balancer is a stand-in for the platform's balancer, which hands each new connection to a box. It chooses the box by
// a hash of the caller. At times it hands most connections of a hall, or of all halls, to one of the boxes that
// are in.
type balancer struct {
	client *http.Client

	mu     sync.Mutex
	boxes  []*box
	misses map[*box]int
	skewed string // hall of which most connections go to one box; allHalls for all, empty for none
}

// allHalls stands for all halls of the run.
const allHalls = "all"

func newBalancer(boxes []*box) *balancer {
	return &balancer{client: &http.Client{Timeout: readinessTimeout}, boxes: boxes, misses: map[*box]int{}}
}

// run checks the readiness of the boxes until ctx ends.
func (l *balancer) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, b := range l.boxes {
			go l.check(b)
		}
		time.Sleep(readinessInterval)
	}
}

func (l *balancer) check(b *box) {
	resp, err := l.client.Get("http://" + b.readyAddress + "/-/readyz")
	ready := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close() // only the status is used
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.misses[b]++; ready {
		l.misses[b] = 0
	}
}

// choose returns the box for the connection of a caller in the hall.
func (l *balancer) choose(hall, caller string, random float64) *box {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all, in []*box
	for _, b := range l.boxes {
		if b.hall != hall && l.skewed != allHalls {
			continue
		}
		if all = append(all, b); l.misses[b] < missesToOut {
			in = append(in, b)
		}
	}
	skewed := l.skewed == hall || l.skewed == allHalls
	switch {
	case skewed && len(in) > 0 && random < skewShare:
		return in[0]
	case 2*len(in) < len(all):
		in = all
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(caller)) // never fails
	return in[int(h.Sum32())%len(in)]
}

func (l *balancer) skew(hall string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skewed = hall
}

// runSkews hands most connections of one hall after another, or of all halls, to one box for skewTime. It ends when too
// little time is left before until.
func (e *environment) runSkews(until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 9))
	time.Sleep(warmUp + contactBound)
	for time.Now().Add(skewTime).Before(until) {
		hall := []string{hallName(0), hallName(1), allHalls}[r.IntN(3)]
		from := time.Now()
		e.balancer.skew(hall)
		time.Sleep(skewTime)
		e.balancer.skew("")
		e.recorder.addSkew(span{name: hall, from: from, to: time.Now()})
		time.Sleep(contactBound + time.Duration(r.Int64N(int64(skewPause))))
	}
}

// checkSkews reports the times in which most connections went to one box and fewer of the requests were served that
// boxes without a fault had read.
func (rec *recorder) checkSkews(violate violationFunc) {
	for _, s := range rec.skews {
		length := s.to.Sub(s.from) - contactBound
		before, beforeServed := rec.servedWithin(s.name, s.from.Add(-length), s.from)
		during, served := rec.servedWithin(s.name, s.to.Add(-length), s.to)
		rec.skewSummaries = append(rec.skewSummaries, fmt.Sprintf("most connections of %s to one box: %d of %d served, %d of %d before", s.name, served, during, beforeServed, before))
		if min(before, during) >= minSkewRequests && float64(served)/float64(during) < minSkewServed*float64(beforeServed)/float64(before) {
			violate("recovery", "%d of %d requests were served while most connections of %s went to one box, %d of %d before", served, during, s.name, beforeServed, before)
		}
	}
}

// servedWithin counts the requests of callers in the hall that boxes without a fault have read, and those of them that were
// served. Requests while a hall is evacuated and targets have faults do not count: the only target left may be one that fails.
func (rec *recorder) servedWithin(hall string, from, to time.Time) (read, served int) {
	for _, ex := range rec.exchanges {
		at := ex.sentAt
		isRead := !ex.reply.ConnectionRefused() && (hall == allHalls || ex.hall == hall)
		if rec.isEvacuatedAt(at) && !rec.faultFree(ex.box, at, ex.endedAt, scopeTarget) {
			continue
		}
		if ex.hall == "" || !isRead || at.Before(from) || at.After(to) || !rec.faultFree(ex.box, at, ex.endedAt, scopeBox) {
			continue
		}
		if read++; ex.reply.Correct {
			served++
		}
	}
	return read, served
}

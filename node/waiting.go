package node

import (
	"context"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/core/fault"
	"clovertrail.dev/gateway"
	"clovertrail.dev/membership"
	"clovertrail.dev/routing"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/waitqueue"
)

// minReleasePause is the shortest time between two rounds of decisions about waiting requests. Each round
// rates all targets of the services concerned.
const minReleasePause = 20 * time.Millisecond

// waiting holds the requests that wait for a stopped group, as a waitqueue.Queue decides.
//
// The fields are guarded by the fleet's mu, except those that do not change.
type waiting struct {
	fleet    *fleet
	common   telemetry.Common
	boxes    func() int                                 // number of reachable boxes, which is at least 1; called without locks held
	formTime func(svc domain.ServiceName) time.Duration // time that a group of the service takes to form; 0 if unknown
	changed  chan struct{}                              // receives a value when the state of targets has changed

	capacity int // largest number of waiting requests; 0 if none may wait
	queue    *waitqueue.Queue
	requests map[waitqueue.Ticket]*waitingRequest
	running  bool // whether the release loop runs
}

// waitingRequest is a request that waits. Its body stays with the gateway.
type waitingRequest struct {
	ticket  waitqueue.Ticket
	query   gateway.Query
	request waitqueue.Request
	decided chan error // receives nil when the request is released, else its refusal
}

func newWaiting(c telemetry.Common, f *fleet, capacity int) *waiting {
	return &waiting{
		fleet: f, common: c, changed: make(chan struct{}, 1), capacity: capacity, queue: waitqueue.New(capacity),
		requests: map[waitqueue.Ticket]*waitingRequest{}, boxes: func() int { return 1 },
		formTime: func(domain.ServiceName) time.Duration { return 0 },
	}
}

// wait waits until the request is to choose a target again, and then returns nil. It returns the refusal if
// the request must not wait or has waited in vain. noTarget is the refusal of a request that does not wait.
func (w *waiting) wait(ctx context.Context, q gateway.Query, noTarget error) error {
	r, err := w.add(clock.Now(), q, noTarget)
	if r == nil {
		return err
	}
	select {
	case err := <-r.decided:
		return err
	case <-ctx.Done():
		return w.leave(r)
	}
}

// add queues the request. It returns no request if that does not wait: with an error if it is refused,
// without one if a target is usable meanwhile.
func (w *waiting) add(now time.Time, q gateway.Query, noTarget error) (*waitingRequest, error) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.capacity == 0 || q.EventGapObjective == 0 {
		return nil, noTarget
	}
	if len(f.untriedOptions(now, q.Service, q.Tried, false)) > 0 {
		return nil, nil
	}
	a := f.roster.Availability(now, q.Service, q.Tried)
	if a.Usable() || !a.HasRanks() {
		return nil, noTarget
	}
	request := w.requestOf(now, q, a)
	ticket, decisions := w.queue.Add(now, request)
	r := &waitingRequest{ticket: ticket, query: q, request: request, decided: make(chan error, 1)}
	w.requests[ticket] = r
	w.settle(now, decisions)
	select {
	case err := <-r.decided: // the request was not queued
		return nil, err
	default:
	}
	if !w.running {
		w.running = true
		go w.run()
	}
	return r, nil
}

// requestOf describes the request for the queue. The fleet's mu is held.
func (w *waiting) requestOf(now time.Time, q gateway.Query, a membership.Availability) waitqueue.Request {
	f, targets := w.fleet, optionsOf(a.All())
	r := waitqueue.Request{
		Service: q.Service, Class: q.Class, LeavesAt: q.LeavesAt, Deadline: q.Deadline,
		FirstByte: f.balancer.MeanFirstByte(targets),
		Duration:  f.balancer.MeanAnswer(targets),
		OpensAt:   f.roster.Reopening(now, q.Service, w.formTime(q.Service), f.subset),
		Withdrawn: !a.Stopped(),
	}
	switch {
	case q.Started:
		r.Stage = waitqueue.Started
	case f.gate.Returning(now, q.Route, q.Deadline.Sub(q.ArrivedAt)):
		r.Stage = waitqueue.Returning
	}
	return r
}

// leave removes the request of a caller that has left.
func (w *waiting) leave(r *waitingRequest) error {
	w.fleet.mu.Lock()
	if w.queue.Leave(r.ticket) {
		delete(w.requests, r.ticket)
		w.common.Metrics.Count(telemetry.QueueOutcomes, "left", 1)
		w.updateGauge(r.query.Service)
	}
	w.fleet.mu.Unlock()
	return fault.New(fault.DeadlineUnmeetable, "the caller left while the request waited for a target")
}

// run makes decisions about the waiting requests until none waits: when the state of targets has changed,
// when a request has waited for as long as it may, and each waitqueue.ReleaseInterval.
func (w *waiting) run() {
	for {
		next, ok := w.round()
		if !ok {
			return
		}
		earliest := clock.Now().Add(minReleasePause)
		timer := clock.AfterFunc(next, w.notify)
		<-w.changed
		timer.Stop()
		clock.SleepUntil(context.Background(), earliest)
	}
}

// notify starts the next round.
func (w *waiting) notify() {
	select {
	case w.changed <- struct{}{}:
	default: // a round is due already
	}
}

// round makes the decisions that are due, and returns when the next are; false if no request waits.
func (w *waiting) round() (time.Time, bool) {
	boxes := w.boxes()
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := clock.Now()
	w.settle(now, w.queue.Expire(now))
	for _, svc := range w.queue.Services() {
		switch a := f.roster.Availability(now, svc, nil); {
		case len(a.Good()) > 0:
			w.settle(now, w.queue.Usable(now, svc, f.room(a, boxes)))
		case a.Usable() || a.Stopped():
		case a.HasRanks():
			w.settle(now, w.queue.Withdrawn(now, svc))
		default:
			w.settle(now, w.queue.Gone(now, svc))
		}
	}
	next, ok := w.queue.NextExpiry()
	if !ok {
		w.running = false
		return next, false
	}
	if renewal := now.Add(waitqueue.ReleaseInterval); renewal.Before(next) {
		next = renewal
	}
	return next, true
}

// stop records that the box begins a planned stop.
func (w *waiting) stop() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := clock.Now()
	w.settle(now, w.queue.Stop(now))
}

// setCapacity sets the largest number of waiting requests.
func (w *waiting) setCapacity(n int) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	now := clock.Now()
	w.capacity = n
	w.settle(now, w.queue.SetCapacity(now, n))
}

// settle logs, counts and delivers decisions. The fleet's mu is held; neither the log nor the channels,
// which have room, block.
func (w *waiting) settle(now time.Time, decisions []waitqueue.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case waitqueue.Queued:
			r := w.requests[d.Ticket]
			w.log("request queued", r, "place", d.Place, "started", r.query.Started, "leaves_in", r.query.LeavesAt.Sub(now))
		case waitqueue.Released:
			r := w.requests[d.Ticket]
			w.log("queued request released", r, "waited", d.Waited, "leaves_in", r.query.LeavesAt.Sub(now))
			w.end(r, "released", nil)
		case waitqueue.Refused:
			w.refuse(now, d)
		}
	}
}

// refuse delivers the refusal of a request, whether or not it was queued. The fleet's mu is held.
func (w *waiting) refuse(now time.Time, d waitqueue.Refused) {
	r := w.requests[d.Ticket]
	err := w.refusal(now, r.query, d)
	if !d.Queued {
		w.log("request not queued", r, "reason", d.Reason, "stage", r.request.Stage, "leaves_in", r.query.LeavesAt.Sub(now),
			"first_byte", r.request.FirstByte, "answer", r.request.Duration, "opens_at", r.request.OpensAt)
		delete(w.requests, d.Ticket)
		r.decided <- err
		return
	}
	w.log("queued request refused", r, "reason", d.Reason, "waited", d.Waited, "leaves_in", r.query.LeavesAt.Sub(now))
	w.end(r, string(d.Reason), err)
}

// end removes a queued request and delivers its result. The fleet's mu is held.
func (w *waiting) end(r *waitingRequest, outcome string, err error) {
	delete(w.requests, r.ticket)
	w.common.Metrics.Count(telemetry.QueueOutcomes, outcome, 1)
	w.updateGauge(r.query.Service)
	r.decided <- err
}

// refusal returns the error of a refused request. A stopping box asks the caller to retry at another one.
func (w *waiting) refusal(now time.Time, q gateway.Query, d waitqueue.Refused) error {
	course := "the request was not queued: "
	if d.Queued {
		course = "the request was queued for " + d.Waited.Round(time.Millisecond).String() + " and then refused: "
	}
	if d.Reason == waitqueue.Stopped {
		return fault.New(fault.Stopping, "service %s has no available target; %s%s", q.Service, course, d.Reason.Text()).
			RetryAt(now.Add(gateway.OtherBoxRetryDelay))
	}
	return fault.New(fault.NoTarget, "service %s has no available target; %s%s", q.Service, course, d.Reason.Text()).
		RetryAt(w.fleet.retryAt(now, q))
}

// updateGauge sets the number of waiting requests of the service. The fleet's mu is held.
func (w *waiting) updateGauge(svc domain.ServiceName) {
	w.common.Metrics.Set(telemetry.Queued, string(svc), float64(w.queue.LenOf(svc)))
}

func (w *waiting) log(msg string, r *waitingRequest, attrs ...any) {
	q := r.query
	w.common.Log.Info(msg, append([]any{"request", q.Request, "service", q.Service, "route", q.Route, "class", q.Class}, attrs...)...)
}

// room returns what the targets that this box chooses among have free. mu is held.
func (f *fleet) room(a membership.Availability, boxes int) waitqueue.Room {
	own := optionsOf(a.Good())
	if f.subset != nil {
		own = routing.InSubset(own, func(id domain.InstanceID) bool { return f.subset[id] })
	}
	free, reportedAt := f.balancer.FreeSlots(own)
	sharing := float64(boxes) * float64(len(own)) / float64(len(a.Good())) // boxes that choose among the same targets
	return waitqueue.Room{Free: free, ReportedAt: reportedAt, Boxes: sharing}
}

package transport

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/liveness"
)

const (
	// connectTimeout bounds the opening of a connection of a process check. On a working link it opens or is refused
	// within some milliseconds.
	connectTimeout = 100 * time.Millisecond
	// endedResultValidFor is how long it is remembered that a process has ended. When a target ends, many
	// requests fail at once, and further ones until this box stops using the target.
	endedResultValidFor = 250 * time.Millisecond
	// unusedTimeout is how long a health check goes on that no caller needs any more, so that its connection stays usable.
	unusedTimeout = time.Second
)

// Process names one process of a target.
type Process struct {
	Address  string
	Instance domain.InstanceID
}

// ProcessQuery asks whether a process was alive after a connection to it ended.
type ProcessQuery struct {
	Process Process
	// HealthPath is the path that the process responds to whatever it works on.
	HealthPath string
	// Witnesses are the addresses of other processes that are reached by the same network path. If it is empty, a refused
	// connection alone shows that the process has ended.
	Witnesses []string
	// End is when the end of the connection was observed; Pool.Now returns it.
	End liveness.Moment
}

// HealthResponse describes the response to a health check.
type HealthResponse struct {
	// Own is false for a late response to an earlier request on the connection.
	Own bool
	// Instance is the instance that responded; empty if it does not state that.
	Instance domain.ListedID
}

// processChecks are the checks that are under way, and those of processes that have ended lately.
//
// Lock order: mu is the only lock.
type processChecks struct {
	pool *Pool

	mu         sync.Mutex
	moment     liveness.Moment
	lastCaller liveness.CallerID
	running    map[Process]*processCheck
}

// processCheck runs the commands of a liveness.Check.
type processCheck struct {
	machine    *liveness.Check
	callers    map[liveness.CallerID]chan liveness.Status
	wake       chan struct{} // receives a value when a caller has joined, left or been answered
	validUntil time.Time     // of a check of a process that has ended; zero before
}

func newProcessChecks(p *Pool) *processChecks {
	return &processChecks{pool: p, running: map[Process]*processCheck{}}
}

// Now returns a Moment that is later than all that were returned before.
func (p *Pool) Now() liveness.Moment { return p.checks.now() }

// Responded records that the process has responded to a request that was sent at the given Moment. It settles checks of
// the process without a request of their own.
func (p *Pool) Responded(process Process, sent liveness.Moment) { p.checks.responded(process, sent) }

// CheckProcess finds out whether the process was alive after the end of a connection. It returns Unproven if nothing has
// shown that by the time ctx ends. All calls for a process share its connections and health checks.
func (p *Pool) CheckProcess(ctx context.Context, q ProcessQuery) liveness.Status {
	return p.checks.check(ctx, q)
}

func (s *processChecks) now() liveness.Moment {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.moment++
	return s.moment
}

func (s *processChecks) responded(process Process, sent liveness.Moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.running[process]; ok {
		c.machine.Responded(sent)
		c.deliver()
	}
}

func (s *processChecks) check(ctx context.Context, q ProcessQuery) liveness.Status {
	c, id, result := s.join(q)
	select {
	case status := <-result:
		return status
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case status := <-result: // settled meanwhile
		return status
	default:
	}
	c.machine.Leave(id)
	delete(c.callers, id)
	c.signal()
	return liveness.Unproven
}

// join adds a caller to the check of the process, which it starts if there is none.
func (s *processChecks) join(q ProcessQuery) (*processCheck, liveness.CallerID, <-chan liveness.Status) {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for process, c := range s.running {
		if !c.validUntil.IsZero() && !now.Before(c.validUntil) {
			delete(s.running, process)
		}
	}
	c, ok := s.running[q.Process]
	if !ok {
		c = &processCheck{
			machine: liveness.NewCheck(q.Witnesses), callers: map[liveness.CallerID]chan liveness.Status{}, wake: make(chan struct{}, 1),
		}
		s.running[q.Process] = c
	}
	s.lastCaller++
	id, result := s.lastCaller, make(chan liveness.Status, 1)
	c.callers[id] = result
	c.machine.Join(id, q.End)
	c.deliver()
	if !ok {
		go s.run(c, q)
	}
	return c, id, result
}

// deliver hands the results to the callers that they answer.
func (c *processCheck) deliver() {
	for _, r := range c.machine.Results() {
		c.callers[r.Caller] <- r.Status // has room for one
		delete(c.callers, r.Caller)
	}
	c.signal()
}

func (c *processCheck) signal() {
	select {
	case c.wake <- struct{}{}:
	default: // run is woken already
	}
}

// run executes the commands of the check until no caller is waiting.
func (s *processChecks) run(c *processCheck, q ProcessQuery) {
	for {
		switch cmd := s.next(c, q.Process).(type) {
		case liveness.Ask:
			s.ask(c, q, cmd.Fresh)
		case liveness.AskWitness:
			accepted := s.pool.acceptsConnection(cmd.Address)
			s.record(c, func(m *liveness.Check) { m.WitnessAnswered(accepted) })
		case liveness.Pause:
			pause := time.NewTimer(clock.Until(cmd.Until))
			select {
			case <-pause.C:
			case <-c.wake:
			}
			pause.Stop()
		case liveness.Finish:
			return
		}
	}
}

// next returns the next command of the check, and ends the check if that is Finish.
func (s *processChecks) next(c *processCheck, process Process) liveness.Command {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	cmd := c.machine.Next(now)
	if _, finished := cmd.(liveness.Finish); !finished {
		return cmd
	}
	if c.machine.HasEnded() {
		c.validUntil = now.Add(endedResultValidFor)
	} else {
		delete(s.running, process)
	}
	return cmd
}

// record applies an event to the check and answers the callers that it settles.
func (s *processChecks) record(c *processCheck, event func(*liveness.Check)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event(c.machine)
	c.deliver()
}

// waiting reports whether a caller waits for the check.
func (s *processChecks) waiting(c *processCheck) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(c.callers) > 0
}

// ask sends a health check and records what became of it.
func (s *processChecks) ask(c *processCheck, q ProcessQuery, fresh bool) {
	reuse := ReuseIdle
	if fresh {
		reuse = DialNew
	}
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(connectTimeout))
	x, err := s.pool.Open(ctx, q.Process.Address, reuse)
	cancel()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		s.record(c, (*liveness.Check).Refused)
		return
	case errors.Is(err, syscall.ECONNRESET):
		s.record(c, func(m *liveness.Check) { m.Closed(clock.Now(), false) })
		return
	case err != nil:
		s.record(c, (*liveness.Check).NoConnection)
		return
	}
	resp, ok := s.awaitHealth(c, x, q.HealthPath)
	switch {
	case !ok:
		s.record(c, func(m *liveness.Check) { m.Closed(clock.Now(), x.Reused()) })
	case resp.Instance != "" && resp.Instance != q.Process.Instance.ListedID():
		s.record(c, (*liveness.Check).Replaced)
	default:
		s.record(c, func(m *liveness.Check) { m.Responded(x.SentAt()) })
	}
}

// awaitHealth sends a health check, and closes the exchange after the response, or if no caller has waited for it for
// unusedTimeout.
func (s *processChecks) awaitHealth(c *processCheck, x *Exchange, path string) (HealthResponse, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.CloseWhenDone(ctx)
	defer x.Close()
	var watch sync.WaitGroup
	defer watch.Wait()
	done := make(chan struct{})
	defer close(done)
	watch.Go(func() {
		for s.waiting(c) {
			select {
			case <-c.wake:
			case <-done:
				return
			}
		}
		unused := time.NewTimer(unusedTimeout)
		defer unused.Stop()
		select {
		case <-unused.C:
			cancel()
		case <-done:
		}
	})
	return s.pool.healthCheck(x, path)
}

// healthCheck sends a health check. It returns false if there was no response.
func (p *Pool) healthCheck(x *Exchange, path string) (HealthResponse, bool) {
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: path}, Host: x.conn.address, Header: http.Header{"User-Agent": nil}, ProtoMajor: 1, ProtoMinor: 1,
	}
	if p.settings.OnHealthCheck != nil {
		p.settings.OnHealthCheck()
	}
	if x.Send(req) != nil {
		return HealthResponse{}, false
	}
	var health HealthResponse
	resp, err := x.Receive(req, func(r *http.Response) bool {
		health = p.settings.ParseHealth(r)
		return health.Own
	})
	if err != nil {
		return HealthResponse{}, false
	}
	defer func() { _ = resp.Body.Close() }() // the exchange closes the connection
	x.Drain(resp)
	return health, true
}

// acceptsConnection reports whether a connection to the witness opens.
func (p *Pool) acceptsConnection(witness string) bool {
	ctx, cancel := clock.WithDeadline(context.Background(), clock.Now().Add(connectTimeout))
	defer cancel()
	c, err := p.connect(ctx, witness)
	if err == nil {
		c.close()
	}
	return err == nil
}

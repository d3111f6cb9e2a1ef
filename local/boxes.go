package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/node"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/platform/standin"
)

// life is a process of node that can be started, stopped and killed, from any goroutine.
//
// Lock order: mu is taken before the network's.
type life struct {
	mu    sync.Mutex
	host  *Host
	leave chan struct{} // nil while it does not run
	done  chan struct{}
	lives int
}

// begin runs the process until it is stopped, unless it runs already.
func (p *life) begin(s *System, h *Host, run func(leave <-chan struct{}) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leave != nil {
		return
	}
	p.host, p.leave, p.done = h, make(chan struct{}), make(chan struct{})
	p.lives++
	leave, done := p.leave, p.done
	s.processes.Go(func() {
		defer close(done)
		if err := run(leave); err != nil && !h.isDead() {
			s.ended(err)
		}
		h.Kill() // a process that has ended leaves no socket behind
	})
}

func (h *Host) isDead() bool {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.dead
}

// Running reports whether the process was started and neither stopped nor killed.
func (p *life) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leave != nil
}

// Starts is how often the process was started.
func (p *life) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lives
}

// Stop is a planned stop; it returns once the process has ended.
func (p *life) Stop() {
	p.mu.Lock()
	leave, done := p.leave, p.done
	p.leave = nil
	p.mu.Unlock()
	if leave == nil {
		return
	}
	close(leave)
	<-done
}

// Kill ends the process without notifying anybody.
func (p *life) Kill() {
	p.mu.Lock()
	leave, host := p.leave, p.host
	p.leave = nil
	p.mu.Unlock()
	if leave == nil {
		return
	}
	host.Kill()
	close(leave) // what is left of it ends by itself, heard by nobody
}

// EntryBox is an entry box.
type EntryBox struct {
	life
	system   *System
	ip       string
	settings process.EntrySettings
}

// Start starts the process.
func (e *EntryBox) Start() error {
	h := e.system.Network.NewHost(domain.HallName(e.settings.Hall))
	settings := e.settings
	e.begin(e.system, h, node.NewEntry(e.system.common(settings.Box), h, func() process.EntrySettings { return settings }).Run)
	return nil
}

// Name is the name of the box.
func (e *EntryBox) Name() string { return e.settings.Box }

// StartID names the present start of its process.
func (e *EntryBox) StartID() string { return fmt.Sprintf("%s, start %d", e.settings.Box, e.Starts()) }

// Hall is its data hall.
func (e *EntryBox) Hall() domain.HallName { return domain.HallName(e.settings.Hall) }

// URL is where callers reach it.
func (e *EntryBox) URL() string { return "http://" + e.settings.Callers }

// MetricsURL is where its counters are read.
func (e *EntryBox) MetricsURL() string { return "http://" + e.settings.Metrics + "/metrics" }

// Ready reports whether it reports that it takes callers.
func (e *EntryBox) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.settings.Ready+"/", nil)
	if err != nil {
		return false
	}
	resp, err := e.system.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the status says all
	return resp.StatusCode == http.StatusOK
}

// AgentBox is the box of a rank; the rank itself goes on whatever becomes of its agent.
type AgentBox struct {
	life
	system   *System
	settings process.AgentSettings
}

// Start starts the agent.
func (a *AgentBox) Start() error {
	h := a.system.Network.NewHost(domain.HallName(a.settings.Hall))
	settings := a.settings
	a.begin(a.system, h, rank.NewAgent(a.system.common(settings.Box), h, func() process.AgentSettings { return settings }).Run)
	return nil
}

// TargetBox is the box of a target that stands alone.
type TargetBox struct {
	system  *System
	id      string
	hall    domain.HallName
	address string
	target  *standin.Target
	host    *Host
}

// ID is the instance of the target.
func (t *TargetBox) ID() string { return t.id }

// Target is the target.
func (t *TargetBox) Target() *standin.Target { return t.target }

func (t *TargetBox) start() error {
	t.host = t.system.Network.NewHost(t.hall)
	t.address = fmt.Sprintf("%s:%d", t.system.Network.ip(), enginePort)
	t.target = standin.NewTarget(t.id, PlainService, t.system.ran)
	t.target.Bear(time.Now())
	t.target.OnCrash(t.crash)
	if err := t.system.serve(t.host, t.address, t.target); err != nil {
		return err
	}
	return t.list("ready")
}

// list writes the target's entry in the store.
func (t *TargetBox) list(state string) error {
	_, err := t.system.Store.Put("servers", t.id, t.target.Object(t.address, string(t.hall), state))
	return err
}

// MarkLeaving writes to the store that the target is leaving; it goes on serving.
func (t *TargetBox) MarkLeaving() error { return t.list("draining") }

// Relist writes the target's entry anew, as ready.
func (t *TargetBox) Relist() error { return t.list("ready") }

// Unlist takes the target's entry away without notice; it goes on serving.
func (t *TargetBox) Unlist() { t.system.Store.Remove("servers", t.id) }

// Kill cuts the target from the network, with its entry left behind.
func (t *TargetBox) Kill() { t.host.Kill() }

// Restart kills the target and starts it anew under its id, at another address. It
// remembers nothing, and works as its program did before.
func (t *TargetBox) Restart() error {
	t.Kill()
	habits := t.target.Habits()
	if err := t.start(); err != nil {
		return err
	}
	t.target.Behave(func(h *standin.Habits) { *h = habits })
	return nil
}

// backAfter is how long a target that crashed is away.
const backAfter = 3 * time.Second

// crash ends the target's process as a request may, and starts it again later.
func (t *TargetBox) crash() {
	t.Kill()
	t.system.processes.Go(func() {
		back := time.NewTimer(backAfter)
		defer back.Stop()
		select {
		case <-t.system.closing:
		case <-back.C:
			if err := t.Restart(); err != nil {
				t.system.ended(err)
			}
		}
	})
}

func (s *System) dialCallers(ctx context.Context, _, address string) (net.Conn, error) {
	return s.callers.Dial(ctx, address)
}

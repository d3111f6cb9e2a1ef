package local

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/clock"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/node"
	"clovertrail.dev/node/process"
	"clovertrail.dev/node/rank"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/shutdown"
)

// managedProcess is a process of package node that can be started, stopped and killed, from
// any goroutine.
//
// Lock order: mu is locked before Network.mu.
type managedProcess struct {
	mu     sync.Mutex
	host   *Host
	stop   *process.Stop // nil while the process does not run
	done   chan struct{} // closed when the process has ended
	starts int
}

// start runs the process on the host until it is stopped. It does nothing if the process
// runs already.
func (p *managedProcess) start(s *System, h *Host, run func(stop *process.Stop) error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stop != nil {
		return
	}
	p.host, p.stop, p.done = h, process.NewStop(), make(chan struct{})
	p.starts++
	stop, done := p.stop, p.done
	s.processes.Go(func() {
		defer close(done)
		if err := run(stop); err != nil && !h.isDead() {
			s.recordFailure(err)
		}
		h.exit()
	})
}

func (h *Host) isDead() bool {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	return h.dead
}

// Running reports whether the process was started and has been neither stopped nor killed since.
func (p *managedProcess) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stop != nil
}

// Starts returns how many times the process was started.
func (p *managedProcess) Starts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// Stop makes a planned stop and returns once the process has ended.
func (p *managedProcess) Stop() {
	p.mu.Lock()
	stop, done := p.stop, p.done
	p.stop = nil
	p.mu.Unlock()
	if stop == nil {
		return
	}
	stop.Request(shutdown.SignalAt(clock.Now()))
	<-done
}

// Kill cuts the process from the network and ends it without a planned stop.
func (p *managedProcess) Kill() {
	p.mu.Lock()
	stop, host := p.stop, p.host
	p.stop = nil
	p.mu.Unlock()
	if stop == nil {
		return
	}
	host.Kill()
	stop.Request(shutdown.SignalAt(clock.Now())) // its goroutines end by themselves, without the network
}

// EntryBox is an entry box of a System, which can be stopped, killed and started again.
type EntryBox struct {
	managedProcess
	system   *System
	ip       string
	settings process.EntrySettings
}

// Start starts the entry process, unless it runs already.
func (e *EntryBox) Start() error {
	h := e.system.Network.NewHost(domain.HallName(e.settings.Hall))
	settings := e.settings
	e.start(e.system, h, node.NewEntry(e.system.telemetryFor(settings.Box), h, func() process.EntrySettings { return settings }).Run)
	return nil
}

// Name returns the name of the box.
func (e *EntryBox) Name() string { return e.settings.Box }

// StartID returns a name for the current start of the process, which differs after each start.
func (e *EntryBox) StartID() string { return fmt.Sprintf("%s, start %d", e.settings.Box, e.Starts()) }

// Hall returns the data hall of the box.
func (e *EntryBox) Hall() domain.HallName { return domain.HallName(e.settings.Hall) }

// URL returns the base URL for callers.
func (e *EntryBox) URL() string { return "http://" + e.settings.Callers }

// MetricsURL returns the URL of the box's metrics.
func (e *EntryBox) MetricsURL() string { return "http://" + e.settings.Metrics + "/metrics" }

// Ready reports whether the readiness endpoint of the box answers with status 200.
func (e *EntryBox) Ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.settings.Ready+"/", nil)
	if err != nil {
		return false
	}
	resp, err := e.system.client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status is used
	return resp.StatusCode == http.StatusOK
}

// AgentBox is the box of a rank, with its agent. The rank keeps running when the agent is stopped
// or killed.
type AgentBox struct {
	managedProcess
	system   *System
	settings process.AgentSettings
}

// Start starts the agent, unless it runs already.
func (a *AgentBox) Start() error {
	h := a.system.Network.NewHost(domain.HallName(a.settings.Hall))
	settings := a.settings
	a.start(a.system, h, rank.NewAgent(a.system.telemetryFor(settings.Box), h, func() process.AgentSettings { return settings }).Run)
	return nil
}

// TargetBox is the box of a target that belongs to no group.
type TargetBox struct {
	system  *System
	id      string
	hall    domain.HallName
	address string
	target  *standin.Target
	host    *Host
}

// ID returns the instance ID of the target.
func (t *TargetBox) ID() string { return t.id }

// Hall returns the data hall of the target.
func (t *TargetBox) Hall() domain.HallName { return t.hall }

// Target returns the stand-in that serves the requests.
func (t *TargetBox) Target() *standin.Target { return t.target }

func (t *TargetBox) start() error {
	t.host = t.system.Network.NewHost(t.hall)
	t.address = fmt.Sprintf("%s:%d", t.system.Network.allocateIP(), enginePort)
	t.target = standin.NewTarget(t.id, PlainService, t.system.recordRun)
	t.target.SetBorn(time.Now())
	t.target.OnCrash(sync.OnceFunc(t.crash)) // a process ends once, whatever else it runs
	if err := t.system.serve(t.host, t.address, t.target); err != nil {
		return err
	}
	return t.putEntry("ready")
}

// putEntry writes the target's entry, with the state, to the store.
func (t *TargetBox) putEntry(state string) error {
	_, err := t.system.Store.Put("servers", t.id, t.target.Object(t.address, string(t.hall), state))
	return err
}

// MarkLeaving writes to the store that the target is leaving; it continues to serve.
func (t *TargetBox) MarkLeaving() error { return t.putEntry("draining") }

// Relist writes the target's entry to the store again, as ready.
func (t *TargetBox) Relist() error { return t.putEntry("ready") }

// BecomeCold writes to the store that the target is cold for the given time.
func (t *TargetBox) BecomeCold(d time.Duration) error {
	t.target.SetColdUntil(time.Now().Add(d))
	return t.putEntry("ready")
}

// Unlist removes the target's entry from the store without notice; the target continues to serve.
func (t *TargetBox) Unlist() { t.system.Store.Remove("servers", t.id) }

// Kill cuts the target from the network; its entry stays in the store.
func (t *TargetBox) Kill() { t.host.Kill() }

// Restart kills the target and starts it again under the same ID at another address. It keeps
// its behaviour but no other state.
func (t *TargetBox) Restart() error {
	t.Kill()
	habits := t.target.Behaviour()
	if err := t.start(); err != nil {
		return err
	}
	t.target.ChangeBehaviour(func(h *standin.Behaviour) { *h = habits })
	return nil
}

// restartDelay is the time from the crash of a target to its restart.
const restartDelay = 3 * time.Second

// crash ends the target's process, as a fatal request does, and starts it again after restartDelay.
func (t *TargetBox) crash() {
	t.system.recordCrash()
	t.Kill()
	t.system.afterRestart(t.Restart)
}

// rankBox is the box of the engine of a rank.
type rankBox struct {
	system *System
	rank   int
	hall   domain.HallName
	engine string // address
	host   *Host
}

// start serves requests at the rank, and writes its entry to the store.
func (b *rankBox) start() error {
	s := b.system
	if b.host != nil {
		s.group.Target(b.rank).SetBorn(time.Now()) // distinguishes the process from the one before
	}
	b.host = s.Network.NewHost(b.hall)
	s.group.Target(b.rank).OnCrash(sync.OnceFunc(b.crash))
	if err := s.serve(b.host, b.engine, s.group.Handler(b.rank)); err != nil {
		return err
	}
	_, err := s.Store.Put("servers", s.group.ID(b.rank), s.group.Object(b.rank, b.engine, string(b.hall)))
	return err
}

// crash ends the rank's process, which stops its group, and starts it again after restartDelay.
func (b *rankBox) crash() {
	b.system.recordCrash()
	b.host.Kill()
	b.system.group.Lose(b.rank)
	b.system.afterRestart(func() error {
		err := b.start()
		b.system.group.Return()
		return err
	})
}

// afterRestart calls start after restartDelay, unless the system ends.
func (s *System) afterRestart(start func() error) {
	s.processes.Go(func() {
		wait := time.NewTimer(restartDelay)
		defer wait.Stop()
		select {
		case <-s.closing:
		case <-wait.C:
			if err := start(); err != nil {
				s.recordFailure(err)
			}
		}
	})
}

func (s *System) dialCallers(ctx context.Context, _, address string) (net.Conn, error) {
	return s.callers.Dial(ctx, address)
}

package local

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"clovertrail.dev/agent"
	"clovertrail.dev/config"
	"clovertrail.dev/core/domain"
	"clovertrail.dev/engine/standin"
	"clovertrail.dev/entry"
	"clovertrail.dev/operator"
	"clovertrail.dev/store"
	platformstandin "clovertrail.dev/store/standin"
	"clovertrail.dev/telemetry"
	"clovertrail.dev/wire"
)

// System is a running system.
type System struct {
	// Network connects its processes.
	Network *Network
	// Platform is the stand-in of the platform.
	Platform *platformstandin.Store
	// Group is the fake expert group; nil if the layout has none.
	Group *standin.Group

	layout    Layout
	entries   []*EntryBox
	targets   []*TargetBox
	stores    map[domain.HallName]*cutStore
	incs      domain.Incarnation
	stopGroup func()     // nil without a group
	mu        sync.Mutex // guards incs
}

// Start starts a system and waits until its entry boxes are ready and the
// services and organisations of the layout are in force everywhere.
func Start(l Layout) (*System, error) {
	s := &System{
		Network:  NewNetwork(l.Memory),
		Platform: platformstandin.New(platformstandin.Limits{WritesPerSecond: 100, ReadsPerSecond: 2000}),
		layout:   l,
		stores:   map[domain.HallName]*cutStore{},
	}
	for _, h := range l.Halls {
		s.stores[h] = &cutStore{Store: s.Platform}
	}
	for i := range l.Entries {
		s.entries = append(s.entries, &EntryBox{sys: s, id: domain.BoxID(fmt.Sprintf("entry-%d", i+1)), hall: l.Halls[i%len(l.Halls)]})
	}
	for _, svc := range l.Services {
		for i := range svc.Targets {
			id := domain.BoxID(fmt.Sprintf("%s-%d", svc.Name, i+1))
			s.targets = append(s.targets, &TargetBox{sys: s, id: id, hall: l.Halls[i%len(l.Halls)], service: svc, Engine: standin.NewEngine(svc.Engine)})
		}
	}
	if err := s.boot(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startGroup starts the ranks of the layout's group.
func (s *System) startGroup() {
	g := s.layout.Group
	if g.Name == "" {
		return
	}
	s.Group = standin.NewGroup(g.Engine, g.OnStep)
	for i := range g.Engine.Shape.Ranks() {
		s.targets[i].rank = s.Group.Rank(i)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stopGroup = func() {
		cancel()
		<-done
	}
	go func() {
		s.Group.Run(ctx)
		close(done)
	}()
}

func (s *System) boot() error {
	s.startGroup()
	for _, e := range s.entries {
		if err := e.Start(); err != nil {
			return err
		}
	}
	for _, t := range s.targets {
		if err := t.Start(); err != nil {
			return err
		}
	}
	if err := s.configure(); err != nil {
		return err
	}
	return s.Await(bootTimeout, s.settled)
}

// configure accepts the layout's services and organisations.
func (s *System) configure() error {
	if err := s.Await(bootTimeout, s.entries[0].Entry().Ready); err != nil {
		return err
	}
	var objects []domain.Object
	for _, svc := range s.layout.Services {
		o, err := domain.NewService(svc.Name, svc.Type)
		if err != nil {
			return err
		}
		objects = append(objects, o)
	}
	for name, key := range s.layout.Keys {
		o, err := domain.NewOrganisation(name, s.layout.Rate, key)
		if err != nil {
			return err
		}
		objects = append(objects, o)
	}
	more, err := s.placement()
	if err != nil {
		return err
	}
	for _, o := range append(objects, more...) {
		id := config.OperationID(fmt.Sprintf("boot-%s-%s", o.Kind(), o.ObjectName()))
		ctx, cancel := context.WithTimeout(context.Background(), bootTimeout)
		_, err := s.entries[0].Entry().Propose(ctx, config.Write(id, o))
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// placement is the layout's rule and group.
func (s *System) placement() ([]domain.Object, error) {
	var list []domain.Object
	svc := s.layout.Services[0].Name
	if s.layout.Spill != nil {
		raw := fmt.Sprintf(`{"name":"spill","service":%q,"spill_at_load":%v}`, svc, *s.layout.Spill)
		o, err := domain.DecodeObject(domain.KindRule, []byte(raw))
		if err != nil {
			return nil, err
		}
		list = append(list, o)
	}
	if s.Group == nil {
		return list, nil
	}
	o, err := s.groupObject(svc)
	return append(list, o), err
}

func (s *System) groupObject(svc domain.ServiceName) (domain.Object, error) {
	g := s.layout.Group
	shape := g.Engine.Shape
	var ranks []domain.BoxID
	for _, t := range s.targets[:shape.Ranks()] {
		ranks = append(ranks, t.id)
	}
	raw, err := json.Marshal(map[string]any{
		"name": g.Name, "service": svc, "ranks": ranks, "layers": shape.Layers(),
		"experts_per_layer": shape.Experts(), "slots_per_rank": shape.Slots(), "objective": g.Objective,
	})
	if err != nil {
		return nil, err
	}
	return domain.DecodeObject(domain.KindGroup, raw)
}

// settled tells that every entry box has the same configuration and hears every
// target.
func (s *System) settled() bool {
	want := seqOf(s.entries[0].Entry())
	for _, b := range s.entries {
		e := b.Entry()
		if !e.Ready() || seqOf(e) != want || heardTargets(e) < len(s.targets) {
			return false
		}
	}
	return true
}

func seqOf(e *entry.Entry) config.Seq {
	var seq config.Seq
	e.View(func(r *config.Replica) { seq = r.Seq() })
	return seq
}

func heardTargets(e *entry.Entry) int {
	n := 0
	for _, t := range e.Targets() {
		if t.Heard() {
			n++
		}
	}
	return n
}

// Await polls until done or the timeout.
func (s *System) Await(timeout time.Duration, done func() bool) error {
	const poll = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(poll) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not settled within %s", timeout)
}

// Entries are the entry boxes.
func (s *System) Entries() []*EntryBox { return s.entries }

// Targets are the target boxes.
func (s *System) Targets() []*TargetBox { return s.targets }

// Halls are the data halls.
func (s *System) Halls() []domain.HallName { return s.layout.Halls }

// Store is the platform as seen from the data hall.
func (s *System) Store(hall domain.HallName) store.Store { return s.stores[hall] }

// CutPlatform cuts the data hall off from the platform, or joins it again.
func (s *System) CutPlatform(hall domain.HallName, cut bool) { s.stores[hall].set(cut) }

// Client returns an HTTP client for a caller or operator, whom no cut affects.
func (s *System) Client() *http.Client {
	dial := s.Network.Dialer("")
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) },
	}}
}

// Close opens all links and stops everything at once.
func (s *System) Close() {
	s.Network.openAll()
	if s.stopGroup != nil {
		s.stopGroup()
	}
	for _, e := range s.entries {
		e.Kill()
	}
	for _, t := range s.targets {
		t.Kill()
		t.close()
	}
}

func (s *System) nextIncarnation() domain.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incs++
	return s.incs
}

func (s *System) common(box domain.BoxID) telemetry.Common {
	if s.layout.Common == nil {
		return telemetry.Quiet()
	}
	return s.layout.Common(string(box))
}

// process is the part that entry boxes and agents have in common: a gRPC server
// and a context that ends with the process.
type process struct {
	mu     sync.Mutex
	cancel context.CancelFunc
	server *grpc.Server
	done   chan struct{}
}

func (p *process) start(register func(*grpc.Server), l net.Listener, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	srv := wire.NewServer()
	register(srv)
	done := make(chan struct{})
	go func() { _ = srv.Serve(l) }()
	go func() {
		run(ctx)
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel, p.server, p.done = cancel, srv, done
}

// kill ends the process at once, as a crash would.
func (p *process) kill() {
	p.mu.Lock()
	cancel, srv, done := p.cancel, p.server, p.done
	p.cancel = nil
	p.mu.Unlock()
	if cancel == nil {
		return
	}
	cancel()
	srv.Stop()
	<-done
}

// finish lets the calls in progress send their last bytes, then ends the process.
func (p *process) finish() {
	p.mu.Lock()
	srv := p.server
	p.mu.Unlock()
	srv.GracefulStop()
	p.kill()
}

func serveHTTP(l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: bootTimeout}
	go func() { _ = srv.Serve(l) }()
	return srv
}

func operatorHandler(c telemetry.Common, e *entry.Entry) (http.Handler, error) {
	h, err := operator.NewHandler(c, e, "")
	if err != nil {
		return nil, err
	}
	return entry.AdminHandler(c, e, h), nil
}

func agentSettings(t *TargetBox, address, target string, entries []string) agent.Settings {
	s := agent.Defaults()
	s.Box, s.Hall, s.Service = string(t.id), string(t.hall), string(t.service.Name)
	s.Listen, s.Target, s.Entries = address, target, entries
	s.Slots = max(t.service.Slots, 1)
	s.Queue = 4 * s.Slots
	return s
}

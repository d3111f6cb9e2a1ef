package local

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/node/process"
	"clovertrail.dev/platform/standin"
	"clovertrail.dev/telemetry"
)

// Names in a System.
const (
	// PlainService is the service of the targets that stand alone, GroupService that of
	// the group of ranks.
	PlainService = "app"
	GroupService = "model"
	// StoreHall is where the platform's store stands.
	StoreHall domain.HallName = "platform"
)

// Ports of the processes, each on an address of its own.
const (
	callersPort, readyPort, peersPort, meetingPort, metricsPort = 8080, 8081, 7340, 8089, 9464
	enginePort, agentPort                                       = 8000, 7355
)

// Layout is what a System is made of.
type Layout struct {
	Halls   []domain.HallName
	Entries int // entry boxes, dealt out over the halls
	Targets int // that stand alone, dealt out over the halls
	// Group is the group of ranks, dealt out over the halls; nil for none.
	Group *standin.GroupShape
	// Link is what the boxes of ranks are configured with as the rate of their links, in Mbit/s; 0 for
	// plenty.
	Link float64
	// Keys are by organisation.
	Keys   map[string]string
	Bounds process.Bounds
	// Memory keeps the system off the machine's sockets.
	Memory bool
	// Log takes the lines of all processes; nil for none.
	Log io.Writer
}

// System is a system that runs. Its methods may be called from any goroutine.
//
// Lock order: mu is the only lock.
type System struct {
	Network *Network
	Store   *standin.Store

	layout    Layout
	storeAt   string
	metrics   *telemetry.Metrics
	callers   *Host
	client    *http.Client
	entries   []*EntryBox
	targets   []*TargetBox
	agents    []*AgentBox
	group     *standin.Group
	cancel    context.CancelFunc
	closing   <-chan struct{} // closed as the system ends
	processes sync.WaitGroup

	mu      sync.Mutex
	runs    []standin.Run
	version int
	failed  []error
}

// Start starts a system and configures it.
func Start(l Layout) (*System, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &System{
		Network: NewNetwork(l.Memory), Store: standin.NewStore(), layout: l, metrics: telemetry.NewMetrics(),
		cancel: cancel, closing: ctx.Done(),
	}
	s.callers = s.Network.Host("callers")
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: s.dialCallers, DisableCompression: true, MaxIdleConnsPerHost: 16,
	}}
	s.storeAt = s.Network.ip() + ":80"
	if err := s.serve(s.Network.Host(StoreHall), s.storeAt, s.Store); err != nil {
		return nil, err
	}
	for i := range l.Targets {
		t := &TargetBox{system: s, id: fmt.Sprintf("t-%d", i), hall: s.hall(i)}
		s.targets = append(s.targets, t)
		if err := t.start(); err != nil {
			return nil, err
		}
	}
	if err := s.startGroup(ctx); err != nil {
		return nil, err
	}
	if _, err := s.Configure(); err != nil {
		return nil, err
	}
	return s, s.startEntries()
}

func (s *System) hall(i int) domain.HallName { return s.layout.Halls[i%len(s.layout.Halls)] }

// serve serves the handler at the address until the host is killed.
func (s *System) serve(h *Host, address string, handler http.Handler) error {
	l, err := h.Listen(address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.processes.Go(func() { _ = srv.Serve(l) }) // it ends with its listener
	return nil
}

func (s *System) startEntries() error {
	var seeds []string
	for i := range s.layout.Entries {
		ip := s.Network.ip()
		e := &EntryBox{system: s, ip: ip, settings: process.DefaultEntrySettings()}
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		e.settings.Box, e.settings.Hall = fmt.Sprintf("entry-%d", i), string(s.hall(i))
		e.settings.Callers, e.settings.Ready, e.settings.Peers = at(callersPort), at(readyPort), at(peersPort)
		e.settings.Meeting, e.settings.Metrics = at(meetingPort), at(metricsPort)
		e.settings.Store, e.settings.AgentPort, e.settings.Bounds = s.storeAt, agentPort, s.layout.Bounds
		s.entries = append(s.entries, e)
		seeds = append(seeds, e.settings.Meeting)
	}
	for _, e := range s.entries {
		e.settings.Seeds = seeds[:min(len(seeds), 3)]
		if err := e.Start(); err != nil {
			return err
		}
	}
	return nil
}

// startGroup starts the ranks, each with an agent beside it.
func (s *System) startGroup(ctx context.Context) error {
	if s.layout.Group == nil {
		return nil
	}
	s.group = standin.NewGroup(*s.layout.Group, GroupService, s.ran)
	for r := range s.layout.Group.Ranks {
		ip, hall := s.Network.ip(), s.hall(r)
		engine := fmt.Sprintf("%s:%d", ip, enginePort)
		if err := s.serve(s.Network.Host(hall), engine, s.group.Handler(r)); err != nil {
			return err
		}
		a := &AgentBox{system: s, settings: process.DefaultAgentSettings()}
		a.settings.Box, a.settings.Hall, a.settings.Engine = fmt.Sprintf("rank-%d", r), string(hall), engine
		a.settings.Peers, a.settings.Bounds = fmt.Sprintf("%s:%d", ip, agentPort), s.layout.Bounds
		a.settings.LinkMbps = cmp.Or(s.layout.Link, 1000)
		s.agents = append(s.agents, a)
		if err := a.Start(); err != nil {
			return err
		}
		if _, err := s.Store.Put("servers", s.group.ID(r), s.group.Object(r, engine, string(hall))); err != nil {
			return err
		}
	}
	s.processes.Go(func() { s.group.Run(ctx) })
	return nil
}

// Entries are the entry boxes.
func (s *System) Entries() []*EntryBox { return s.entries }

// Targets are the targets that stand alone.
func (s *System) Targets() []*TargetBox { return s.targets }

// Agents are those beside the ranks, in order of these.
func (s *System) Agents() []*AgentBox { return s.agents }

// Group is the group of ranks; nil if there is none.
func (s *System) Group() *standin.Group { return s.group }

// Halls are the data halls.
func (s *System) Halls() []domain.HallName { return s.layout.Halls }

// Configure writes the next configuration, which has a route of its own, and returns
// its version.
func (s *System) Configure() (int, error) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	document := standin.Configuration(version, PlainService, s.layout.Keys)
	if s.layout.Group != nil {
		standin.AddGroup(document, GroupService, *s.layout.Group)
	}
	_, err := s.Store.Put("config", "main", document)
	return version, err
}

func (s *System) ran(r standin.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// Runs is what targets have run so far.
func (s *System) Runs() []standin.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]standin.Run(nil), s.runs...)
}

// Ask makes a caller's request at the box.
func (s *System) Ask(ctx context.Context, e *EntryBox, q standin.Request) standin.Reply {
	return standin.Ask(ctx, s.client, "http://"+e.settings.Callers, q)
}

// common is what a process logs to and counts in.
func (s *System) common(box string) telemetry.Common {
	if s.layout.Log == nil {
		return telemetry.Quiet()
	}
	c := telemetry.New(s.layout.Log, box)
	c.Metrics = s.metrics
	return c
}

// Metrics are the counters of all processes together, where lines are logged.
func (s *System) Metrics() *telemetry.Metrics { return s.metrics }

// ended notes how a process ended.
func (s *System) ended(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = append(s.failed, err)
}

// Close stops everything. The error is of processes that ended by themselves.
func (s *System) Close() error {
	s.Network.openAll()
	s.Store.SetTrouble(standin.Sound, time.Millisecond) // calls that take no time at all could go on for ever
	var stops sync.WaitGroup
	for _, e := range s.entries {
		stops.Go(e.Stop)
	}
	for _, a := range s.agents {
		stops.Go(a.Stop)
	}
	stops.Wait()
	s.cancel()
	s.client.CloseIdleConnections()
	s.Network.closeAll()
	s.processes.Wait()
	return errors.Join(s.failed...)
}

// StoreAddress is where the store is reached, host:port.
func (s *System) StoreAddress() string { return s.storeAt }

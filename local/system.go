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

// Names of services and halls in a System.
const (
	// PlainService is the service of the targets that belong to no group, GroupService the
	// service of the group of ranks.
	PlainService = "app"
	GroupService = "model"
	// StoreHall is the data hall of the platform's store.
	StoreHall domain.HallName = "platform"
)

// Ports of the processes. Each process has its own address.
const (
	callersPort, readyPort, peersPort, meetingPort, metricsPort = 8080, 8081, 7340, 8089, 9464
	enginePort, agentPort                                       = 8000, 7355
)

// Layout describes the parts of a System.
type Layout struct {
	Halls   []domain.HallName
	Entries int // number of entry boxes, distributed over the halls in turn
	Targets int // number of targets outside the group, distributed over the halls in turn
	// Group is the group of ranks, distributed over the halls in turn; nil for none.
	Group *standin.GroupShape
	// LinkMbps is the configured link rate of the ranks' boxes, in Mbit/s; 0 means 1000.
	LinkMbps float64
	// Keys holds the API key of each organisation.
	Keys   map[string]string
	Bounds process.Bounds
	// ColdRate is the number of requests a second that a cold target takes; 0 if cold targets take as many
	// as others.
	ColdRate float64
	// Overload holds the settings of the entry boxes; nil for the defaults.
	Overload *process.Overload
	// Agent changes the settings of the agents; nil for the defaults.
	Agent func(*process.AgentSettings)
	// Memory runs the network in memory, without sockets of the machine.
	Memory bool
	// Log receives the log lines of all processes; nil for none.
	Log io.Writer
}

// System is a running system. Its methods may be called from any goroutine.
//
// Lock order: mu is the only lock.
type System struct {
	Network *Network
	Store   *standin.Store

	layout       Layout
	storeAddress string
	metrics      *telemetry.Metrics
	callers      *Host
	client       *http.Client
	entries      []*EntryBox
	targets      []*TargetBox
	agents       []*AgentBox
	ranks        []*rankBox
	group        *standin.Group
	cancel       context.CancelFunc
	closing      <-chan struct{} // closed when the system ends
	processes    sync.WaitGroup

	mu       sync.Mutex
	runs     []standin.Run
	crashes  []time.Time
	version  int
	failures []error
}

// Start starts a system and writes its first configuration to the store.
func Start(l Layout) (*System, error) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &System{
		Network: NewNetwork(l.Memory), Store: standin.NewStore(), layout: l, metrics: telemetry.NewMetrics(),
		cancel: cancel, closing: ctx.Done(),
	}
	s.callers = s.Network.NewHost("callers")
	s.client = &http.Client{Transport: &http.Transport{
		DialContext: s.dialCallers, DisableCompression: true, MaxIdleConnsPerHost: 16,
	}}
	s.storeAddress = s.Network.allocateIP() + ":80"
	if err := s.serve(s.Network.NewHost(StoreHall), s.storeAddress, s.Store); err != nil {
		return nil, err
	}
	for i := range l.Targets {
		t := &TargetBox{system: s, id: fmt.Sprintf("t-%d", i), hall: s.hallOf(i)}
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

func (s *System) hallOf(i int) domain.HallName { return s.layout.Halls[i%len(s.layout.Halls)] }

// serve serves the handler at the address until the host is killed.
func (s *System) serve(h *Host, address string, handler http.Handler) error {
	l, err := h.Listen(address)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	s.processes.Go(func() { _ = srv.Serve(l) }) // returns when the listener is closed
	return nil
}

func (s *System) startEntries() error {
	var seeds []string
	for i := range s.layout.Entries {
		ip := s.Network.allocateIP()
		e := &EntryBox{system: s, ip: ip, settings: process.DefaultEntrySettings()}
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		e.settings.Box, e.settings.Hall = fmt.Sprintf("entry-%d", i), string(s.hallOf(i))
		e.settings.Callers, e.settings.Ready, e.settings.Peers = at(callersPort), at(readyPort), at(peersPort)
		e.settings.Meeting, e.settings.Metrics = at(meetingPort), at(metricsPort)
		e.settings.Store, e.settings.AgentPort, e.settings.Bounds = s.storeAddress, agentPort, s.layout.Bounds
		if s.layout.Overload != nil {
			e.settings.Overload = *s.layout.Overload
		}
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

// startGroup starts the ranks of the group, each with its agent.
func (s *System) startGroup(ctx context.Context) error {
	if s.layout.Group == nil {
		return nil
	}
	s.group = standin.NewGroup(*s.layout.Group, GroupService, s.recordRun)
	for r := range s.layout.Group.Ranks {
		ip, hall := s.Network.allocateIP(), s.hallOf(r)
		engine := fmt.Sprintf("%s:%d", ip, enginePort)
		s.ranks = append(s.ranks, &rankBox{system: s, rank: r, hall: hall, engine: engine})
		if err := s.ranks[r].start(); err != nil {
			return err
		}
		a := &AgentBox{system: s, settings: process.DefaultAgentSettings()}
		a.settings.Box, a.settings.Hall, a.settings.Engine = fmt.Sprintf("rank-%d", r), string(hall), engine
		a.settings.Peers, a.settings.Bounds = fmt.Sprintf("%s:%d", ip, agentPort), s.layout.Bounds
		a.settings.LinkMbps = cmp.Or(s.layout.LinkMbps, 1000)
		if s.layout.Agent != nil {
			s.layout.Agent(&a.settings)
		}
		s.agents = append(s.agents, a)
		if err := a.Start(); err != nil {
			return err
		}
	}
	s.processes.Go(func() { s.group.Run(ctx) })
	return nil
}

// Entries returns the entry boxes.
func (s *System) Entries() []*EntryBox { return s.entries }

// Targets returns the targets that belong to no group.
func (s *System) Targets() []*TargetBox { return s.targets }

// Agents returns the agents of the ranks, in the order of the ranks.
func (s *System) Agents() []*AgentBox { return s.agents }

// Group returns the group of ranks; nil if there is none.
func (s *System) Group() *standin.Group { return s.group }

// Halls returns the data halls of the layout.
func (s *System) Halls() []domain.HallName { return s.layout.Halls }

// Configure writes the next version of the configuration to the store and returns the version.
// Each version adds one route (standin.VersionPath).
func (s *System) Configure() (int, error) {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	document := standin.Configuration(version, PlainService, s.layout.Keys)
	if s.layout.Group != nil {
		standin.AddGroup(document, GroupService, *s.layout.Group)
	}
	standin.SetColdRate(document, s.layout.ColdRate)
	_, err := s.Store.Put("config", "main", document)
	return version, err
}

func (s *System) recordRun(r standin.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
}

// Runs returns all requests that targets have begun to run so far.
func (s *System) Runs() []standin.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]standin.Run(nil), s.runs...)
}

// Crashes returns when requests crashed the targets that ran them.
func (s *System) Crashes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.crashes...)
}

func (s *System) recordCrash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes = append(s.crashes, time.Now())
}

// SendRequest sends a caller's request to the box and returns the reply.
func (s *System) SendRequest(ctx context.Context, e *EntryBox, q standin.Request) standin.Reply {
	return standin.Send(ctx, s.client, "http://"+e.settings.Callers, q)
}

// telemetryFor returns the log and the metrics of a process.
func (s *System) telemetryFor(box string) telemetry.Common {
	if s.layout.Log == nil {
		return telemetry.Quiet()
	}
	c := telemetry.New(s.layout.Log, box)
	c.Metrics = s.metrics
	return c
}

// Metrics returns the metrics that all processes share. They count only if Layout.Log is set.
func (s *System) Metrics() *telemetry.Metrics { return s.metrics }

// recordFailure keeps the error with which a process ended by itself.
func (s *System) recordFailure(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, err)
}

// Close stops all processes. It returns the errors of processes that ended by themselves.
func (s *System) Close() error {
	s.Network.openAll()
	s.Store.SetFailureMode(standin.Healthy, time.Millisecond) // calls that take no time could be repeated for ever
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
	return errors.Join(s.failures...)
}

// StoreAddress returns the address of the store, host:port.
func (s *System) StoreAddress() string { return s.storeAddress }

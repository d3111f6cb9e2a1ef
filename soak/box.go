package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/soak/faultproxy"
)

// box is an entry process, or an agent, that is restarted whenever it exits.
type box struct {
	name          string
	program       string
	role          string
	settingsFile  string
	hall          string
	callerAddress string
	readyAddress  string
	// storeProxy is the proxy through which the box connects to the store.
	storeProxy *faultproxy.Proxy
	log        io.Writer

	mu        sync.Mutex
	cmd       *exec.Cmd
	starts    int
	startedAt time.Time
	// ending is true if a signal that ends the current process was sent.
	ending bool
	// onUnexpectedExit is called when a process exits that no signal has ended.
	onUnexpectedExit func(box string, err error)
	// restart is true if the process is to be started again after an exit.
	restart bool
	// exited is closed when the current process has exited.
	exited chan struct{}
}

// stopBound is the time that the platform gives a process to exit after SIGTERM.
const stopBound = 8 * time.Second

// drainBound is the time, from the settings of the box, after which a leaving target must not receive
// new requests.
const drainBound = 2 * time.Second

// configApplyBound is the time within which a new configuration must come into force.
const configApplyBound = 2 * time.Second

// newBox writes the settings file of an entry box and creates its log. The seeds are the addresses on which
// other boxes accept the adverts of new ones.
func newBox(e *environment, name, hall string, addresses []string, seeds []string, storeProxy *faultproxy.Proxy) (*box, error) {
	o := e.options
	settings := map[string]any{
		"box": name, "hall": hall, "callers": addresses[0], "ready": addresses[1], "peers": addresses[2], "meeting": addresses[3],
		"seeds": seeds, "store": storeProxy.Address(), "bounds": o.bounds(),
	}
	if o.hasGroup() {
		settings["agent_port"] = agentPort
	}
	b, err := e.newProcess("entry", name, settings)
	if err != nil {
		return nil, err
	}
	b.hall, b.callerAddress, b.readyAddress, b.storeProxy = hall, addresses[0], addresses[1], storeProxy
	return b, nil
}

// bounds returns the bounds in the settings of processes.
func (o Options) bounds() map[string]any {
	retrySlack := 40
	if o.hasGroup() {
		retrySlack = ampleRetrySlack
	}
	return map[string]any{
		"drain": drainBound.String(), "stop": stopBound.String(), "config_apply": configApplyBound.String(), "evacuate": evacuationBound.String(),
		"contact": "3s", "retry_share": 0.2, "retry_slack": retrySlack, "retry_window": "10s",
	}
}

// newProcess writes the settings file of a process of the role and creates its log.
func (e *environment) newProcess(role, name string, settings map[string]any) (*box, error) {
	o := e.options
	b := &box{name: name, program: o.Program, role: role, settingsFile: filepath.Join(o.Dir, name+".json"), onUnexpectedExit: e.recorder.addUnexpectedExit}
	log, err := os.Create(filepath.Join(o.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	b.log = log
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	return b, os.WriteFile(b.settingsFile, raw, 0o600)
}

// loopback returns one of the loopback addresses of the run's own, which are derived from its seed.
func loopback(seed uint64, n, port int) string {
	const octet = 250
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+seed/octet%octet, 1+seed%octet, n, port)
}

// freeAddresses returns n addresses without a listener. They are on a loopback address of the run's
// own, so that no other run takes them before the boxes listen on them.
func freeAddresses(seed uint64, n int) ([]string, error) {
	list := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", loopback(seed, 1, 0))
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // the listener only reserves a free port
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// start starts the process, and has it restarted whenever it exits.
func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart = true
	return b.startLocked()
}

// startLocked starts the process. The caller holds mu.
func (b *box) startLocked() error {
	cmd := exec.Command(b.program, b.role)
	cmd.Env = append(os.Environ(), "CLOVERTRAIL_BOOT="+b.settingsFile)
	cmd.Stdout, cmd.Stderr = b.log, b.log
	if err := cmd.Start(); err != nil {
		return err
	}
	b.cmd, b.exited, b.ending = cmd, make(chan struct{}), false
	b.starts++
	b.startedAt = time.Now()
	go b.restartOnExit(cmd, b.exited)
	return nil
}

// restartDelay is the time from the exit of a process to its restart.
const restartDelay = 300 * time.Millisecond

// restartOnExit waits for the process to exit, and restarts it unless the box was killed.
func (b *box) restartOnExit(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	b.mu.Lock()
	if b.cmd == cmd && !b.ending {
		b.onUnexpectedExit(b.name, err)
	}
	b.mu.Unlock()
	close(exited)
	time.Sleep(restartDelay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restart && b.cmd == cmd {
		if err := b.startLocked(); err != nil {
			_, _ = fmt.Fprintf(b.log, "restart of %s failed: %v\n", b.name, err) // requests to the box then fail, which the report of the run shows
		}
	}
}

// signalReadyTime is the time from the start of a process within which it is ready to receive signals. The kernel
// ends it on a SIGHUP that arrives earlier.
const signalReadyTime = 100 * time.Millisecond

// signal sends a signal to the current process. A SIGHUP is not sent to a process that is starting.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil && (s != syscall.SIGHUP || time.Since(b.startedAt) > signalReadyTime) {
		b.ending = b.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
		_ = b.cmd.Process.Signal(s) // fails if the process has just exited
	}
}

// startCount returns how often the process has been started; it identifies the current process.
func (b *box) startCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}

// kill ends the process without a restart, and waits for it to exit.
func (b *box) kill() {
	b.mu.Lock()
	b.restart = false
	exited := b.exited
	b.mu.Unlock()
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGKILL)
	if exited != nil {
		<-exited
	}
}

// faultMarks are the beginnings of lines that a process writes because of a fault of its own.
var faultMarks = []string{"WARNING: DATA RACE", "panic: ", "fatal error: "}

// collectLoggedFaults records the faults of their own that processes have logged.
func (e *environment) collectLoggedFaults() error {
	for _, b := range slices.Concat(e.boxes, e.agents) {
		out, err := os.ReadFile(filepath.Join(e.options.Dir, b.name+".log"))
		if err != nil {
			return err
		}
		for line := range strings.Lines(string(out)) {
			if slices.ContainsFunc(faultMarks, func(mark string) bool { return strings.HasPrefix(line, mark) }) {
				e.recorder.loggedFaults = append(e.recorder.loggedFaults, b.name+" logged "+strings.TrimSpace(line))
			}
		}
	}
	return nil
}

package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// box is an entry process, started again whenever it ends.
type box struct {
	name          string
	program       string
	settingsFile  string
	callerAddress string
	storeProxy    *proxy // between it and the store
	log           io.Writer

	mu      sync.Mutex
	cmd     *exec.Cmd
	starts  int // starts so far
	restart bool
	exited  chan struct{} // of the present life
}

// graceful is how long a stopped process may take to end, as the platform allows.
const stopBound = 8 * time.Second

// drainBound is the bound on work for a target that leaves, as its settings say.
const drainBound = 2 * time.Second

// applyBound is the bound on a configuration's coming into force.
const configApplyBound = 2 * time.Second

// newBox writes the settings of a box. seeds are meeting addresses of others.
func newBox(dir, program, name, hall string, ports []string, seeds []string, storeProxy *proxy) (*box, error) {
	b := &box{name: name, program: program, callerAddress: ports[0], storeProxy: storeProxy, settingsFile: filepath.Join(dir, name+".json")}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	b.log = log
	raw, err := json.Marshal(map[string]any{
		"box": name, "hall": hall, "callers": ports[0], "ready": ports[1], "peers": ports[2], "meeting": ports[3],
		"seeds": seeds, "store": storeProxy.address(),
		"bounds": map[string]any{
			"drain": drainBound.String(), "stop": stopBound.String(), "config_apply": configApplyBound.String(),
			"contact": "3s", "retry_share": 0.2, "retry_slack": 40, "retry_window": "10s",
		},
	})
	if err != nil {
		return nil, err
	}
	return b, os.WriteFile(b.settingsFile, raw, 0o600)
}

// freePorts finds addresses that nobody listens at. They are of a loopback address of
// the run's own, so that no other run takes them in the meantime.
func freeAddresses(seed uint64, n int) ([]string, error) {
	const octet = 250
	own := fmt.Sprintf("127.%d.%d.1:0", 1+seed/octet%octet, 1+seed%octet)
	list := make([]string, 0, n)
	for range n {
		l, err := net.Listen("tcp", own)
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }() // only its port was wanted
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// start begins a life of the process.
func (b *box) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.restart = true
	return b.startLocked()
}

// begin starts the process; mu is held.
func (b *box) startLocked() error {
	cmd := exec.Command(b.program, "entry")
	cmd.Env = append(os.Environ(), "CLOVERTRAIL_BOOT="+b.settingsFile)
	cmd.Stdout, cmd.Stderr = b.log, b.log
	if err := cmd.Start(); err != nil {
		return err
	}
	b.cmd, b.exited = cmd, make(chan struct{})
	b.starts++
	go b.restartOnExit(cmd, b.exited)
	return nil
}

// restartAfter is how long a process that ended stays away.
const restartDelay = 300 * time.Millisecond

// await starts the process again after its end.
func (b *box) restartOnExit(cmd *exec.Cmd, exited chan struct{}) {
	_ = cmd.Wait() // how it ended is in its log
	close(exited)
	time.Sleep(restartDelay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.restart && b.cmd == cmd {
		if err := b.startLocked(); err != nil {
			_, _ = fmt.Fprintln(b.log, "not started:", err) // the run shows that it is away
		}
	}
}

// signal sends a signal to the present life.
func (b *box) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s) // it may have ended a moment ago
	}
}

// lives is the number of the present life.
func (b *box) startCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.starts
}

// end ends the process for good.
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

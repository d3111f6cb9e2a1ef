package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings of the boxes and the rules that are checked.
const (
	contactBound = 3 * time.Second
	drainBound   = 2 * time.Second
	stopBound    = 8 * time.Second
)

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 500 * time.Millisecond

// box is an entry process with the settings of deploy/entry.json.tmpl.
type box struct {
	name, callers, ready, settings, log string
	startedAt                           time.Time
	cmd                                 *exec.Cmd
	exited                              chan struct{}
}

// freeAddress returns an address of the host that nothing listens on.
func freeAddress(host string) string {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		fail("no free port on %s: %v", host, err)
	}
	defer func() { _ = l.Close() }() // it only reserved the port
	return l.Addr().String()
}

// newBoxes writes the settings of boxes in two zones, each on a loopback address of its own.
func newBoxes(dir, storeAddress string, count int) []*box {
	var boxes []*box
	var seeds []string
	octet := 1 + os.Getpid()%250
	peers := make([]map[string]any, 0, count)
	for n := range count {
		host := fmt.Sprintf("127.%d.%d.10", octet, n+1)
		b := &box{
			name: fmt.Sprintf("front-%d", n+1), callers: freeAddress(host), ready: freeAddress(host),
			settings: filepath.Join(dir, fmt.Sprintf("front-%d.json", n+1)), log: filepath.Join(dir, fmt.Sprintf("front-%d.log", n+1)),
		}
		meeting := freeAddress(host)
		seeds = append(seeds, meeting)
		peers = append(peers, map[string]any{
			"box": b.name, "hall": fmt.Sprintf("zone-%d", n%2+1), "callers": b.callers, "ready": b.ready, "peers": freeAddress(host),
			"meeting": meeting, "store": storeAddress, "first_start": false, "agent_port": 7355, "memory_mb": 284,
			"bounds": map[string]any{
				"drain": drainBound.String(), "stop": stopBound.String(), "config_apply": "2000ms", "contact": contactBound.String(),
				"retry_share": 0.2, "retry_slack": 90, "retry_window": "10s",
			},
		})
		boxes = append(boxes, b)
	}
	for n, b := range boxes {
		peers[n]["seeds"] = seeds
		raw, err := json.Marshal(peers[n])
		if err == nil {
			err = os.WriteFile(b.settings, raw, 0o600)
		}
		if err != nil {
			fail("settings of %s: %v", b.name, err)
		}
	}
	return boxes
}

// start starts the process with the command of the deploy file.
func (b *box) start(r *record) {
	log, err := os.OpenFile(b.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log of %s: %v", b.name, err)
	}
	b.cmd = exec.Command("target/clovertrail-node", "entry")
	b.cmd.Env = append(os.Environ(), "CLOVERTRAIL_BOOT="+b.settings)
	b.cmd.Stdout, b.cmd.Stderr = log, log
	b.startedAt = time.Now()
	if err := b.cmd.Start(); err != nil {
		fail("start of %s: %v", b.name, err)
	}
	r.add("platform: %s started", b.name)
	b.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the tests end processes by signals
		_ = log.Close()
		r.add("platform: %s ended", b.name)
		close(exited)
	}(b.cmd, b.exited)
}

// signal sends a signal to the process.
func (b *box) signal(r *record, s syscall.Signal) {
	r.add("platform: %s gets %v", b.name, s)
	_ = b.cmd.Process.Signal(s) // fails if the process has ended
}

// kill ends the process and waits for that.
func (b *box) kill(r *record) {
	b.signal(r, syscall.SIGKILL)
	<-b.exited
}

// waitReady waits until the box reports that it is ready.
func (b *box) waitReady() {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := http.Get("http://" + b.ready + names.Ready)
		if err != nil {
			continue
		}
		_ = resp.Body.Close() // the status is all that is needed
		if resp.StatusCode == http.StatusOK {
			return
		}
	}
	fail("%s did not become ready", b.name)
}

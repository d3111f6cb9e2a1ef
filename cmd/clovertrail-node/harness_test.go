package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// endTimeout bounds the wait for an event that is certain to come.
const endTimeout = 20 * time.Second

// stopTime is the time that the default settings give a planned stop.
const stopTime = 8 * time.Second

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "clovertrail-node")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "clovertrail-node")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build of clovertrail-node: %v: %s", err, out))
	}
	return m.Run()
}

// lastPort is the port that was last given out. The ports are below those that the kernel gives to outgoing connections.
var lastPort atomic.Int32

// unusedAddress returns a loopback address that nothing else uses: its IP belongs to this process.
func unusedAddress() string {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(64+pid>>16), byte(pid>>8), byte(pid))
	return net.JoinHostPort(ip.String(), strconv.Itoa(10000+int(lastPort.Add(1))))
}

// node is a process of the program with its settings.
type node struct {
	role     string
	settings map[string]any
	limits   string // options of ulimit for the process; empty to inherit the limits of the test
	command  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	log      *os.File
}

// newNodes returns an entry box and an agent that are not started. Their store and engine do not exist.
func newNodes(t *testing.T) []*node {
	t.Helper()
	entry := map[string]any{"box": "e", "hall": "h", "store": unusedAddress()}
	for _, name := range entryAddresses {
		entry[name] = unusedAddress()
	}
	agent := map[string]any{"box": "a", "hall": "h", "engine": unusedAddress(), "peers": unusedAddress(), "metrics": unusedAddress()}
	return []*node{{role: "entry", settings: entry}, {role: "agent", settings: agent}}
}

// entryAddresses are the settings of an entry box that are addresses on which it listens.
var entryAddresses = []string{"callers", "ready", "peers", "meeting", "metrics"}

// clone returns a node that is not started, with addresses of its own.
func (n *node) clone() *node {
	c := &node{role: n.role, settings: maps.Clone(n.settings), limits: n.limits}
	for _, name := range entryAddresses {
		if _, ok := c.settings[name]; ok {
			c.settings[name] = unusedAddress()
		}
	}
	return c
}

// start starts the process with its output in a file.
func (n *node) start(t *testing.T) {
	t.Helper()
	n.createLog(t)
	n.startWithOutput(t, n.log)
}

// createLog creates the file for the output of the process.
func (n *node) createLog(t *testing.T) {
	t.Helper()
	f, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	n.log = f
}

// writeSettings writes the settings to the file.
func (n *node) writeSettings(t *testing.T, path string) {
	t.Helper()
	raw, err := json.Marshal(n.settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startWithOutput starts the process with the output.
func (n *node) startWithOutput(t *testing.T, output *os.File) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	n.writeSettings(t, path)
	n.startWithSettings(t, path, output)
}

// startWithSettings starts the process with the settings file and the output.
func (n *node) startWithSettings(t *testing.T, path string, output *os.File) {
	t.Helper()
	c := exec.Command(program, n.role)
	if n.limits != "" {
		c = exec.Command("sh", "-c", "ulimit "+n.limits+` && exec "$0" "$1"`, program, n.role)
	}
	c.Env = append(os.Environ(), "CLOVERTRAIL_BOOT="+path)
	c.Stdout, c.Stderr = output, output
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait() // ProcessState has the result
		close(ended)
	}()
	n.command, n.ended = c, ended
	t.Cleanup(func() {
		_ = c.Process.Kill() // fails if the process has ended
		<-ended
	})
}

// hasEnded reports whether the process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

// awaitLine waits until the process has logged the text.
func (n *node) awaitLine(t *testing.T, text string) {
	t.Helper()
	n.await(t, "a line with "+strconv.Quote(text), func() bool { return bytes.Contains(n.logged(t), []byte(text)) })
}

func (n *node) logged(t *testing.T) []byte {
	t.Helper()
	out, err := os.ReadFile(n.log.Name())
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// await waits until the condition of the running process holds.
func (n *node) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(endTimeout); !holds(); time.Sleep(2 * time.Millisecond) {
		if n.hasEnded() {
			t.Fatalf("%s: the process ended (%v) before %s", n.role, n.command.ProcessState, what)
		}
		if time.Now().After(deadline) {
			t.Fatalf("%s: no %s within %v", n.role, what, endTimeout)
		}
	}
}

// signal sends the signal to the process, which must run.
func (n *node) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if n.hasEnded() {
		t.Fatalf("%s: the process has ended: %v", n.role, n.command.ProcessState)
	}
	if err := n.command.Process.Signal(s); err != nil {
		t.Fatalf("%s: %v", n.role, err)
	}
}

// stop sends the stop signal, and expects that the process ends without an error in the time of a planned stop.
func (n *node) stop(t *testing.T) {
	t.Helper()
	n.signal(t, syscall.SIGTERM)
	select {
	case <-n.ended:
		if !n.command.ProcessState.Success() {
			t.Errorf("%s: the stopped process ended with %v", n.role, n.command.ProcessState)
		}
	case <-time.After(stopTime):
		t.Errorf("%s: the process did not end within %v after the stop signal", n.role, stopTime)
	}
}

// pipe returns a pipe with the smallest buffer.
func pipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = r.Close() // both may be closed already
		_ = w.Close()
	})
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, os.Getpagesize()); err != nil {
		t.Fatal(err)
	}
	return r, w
}

// accepts reports whether something accepts connections at the address.
func accepts(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// handles reports whether the program catches or ignores the signal.
func (n *node) handles(t *testing.T, s syscall.Signal) bool {
	t.Helper()
	return n.inMask(t, "SigIgn", s) || n.inMask(t, "SigCgt", s)
}

// receivesSignals reports whether the program receives stop signals, after which it ignores the signal of a broken pipe.
func (n *node) receivesSignals(t *testing.T) bool {
	t.Helper()
	return n.inMask(t, "SigIgn", syscall.SIGPIPE)
}

// inMask reports whether the signal is in the mask of the process.
func (n *node) inMask(t *testing.T, name string, s syscall.Signal) bool {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return false // the process has ended, which await reports
	}
	for line := range strings.Lines(string(status)) {
		found, mask, _ := strings.Cut(strings.TrimSpace(line), ":\t")
		if found != name {
			continue
		}
		bits, err := strconv.ParseUint(mask, 16, 64)
		if err != nil {
			t.Fatal(err)
		}
		if bits&(1<<(s-1)) != 0 {
			return true
		}
	}
	return false
}

// loggedTime returns the time that follows the key in the log.
func (n *node) loggedTime(t *testing.T, key string) time.Time {
	t.Helper()
	_, rest, _ := strings.Cut(string(n.logged(t)), key)
	value, _, _ := strings.Cut(rest, "\n")
	value, _, _ = strings.Cut(value, " ")
	at, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		t.Fatal(err)
	}
	return at
}

package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
	"clovertrail.dev/soak/faultproxy"
)

// ServeTarget serves as a target until in ends. It reads its behaviour from in, and writes its address to out, followed by its runs.
func ServeTarget(id string, in io.Reader, out io.Writer) error {
	var behaviour standin.Behaviour
	if err := json.NewDecoder(in).Decode(&behaviour); err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	runs := json.NewEncoder(out)
	t := standin.NewTarget(id, "", func(r standin.Run) {
		mu.Lock()
		defer mu.Unlock()
		_ = runs.Encode(r) // fails only if the soak has ended
	})
	t.ChangeBehaviour(func(b *standin.Behaviour) { *b = behaviour })
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return err
	}
	s := startServer(l, t)
	_, err = io.Copy(io.Discard, in)
	return errors.Join(err, s.Close())
}

// targetProcess is a target in a process of its own, with connections that nobody uses, and possibly behind a proxy.
type targetProcess struct {
	id, address string
	cmd         *exec.Cmd
	input       io.WriteCloser
	read        chan struct{} // closed once all runs are read
	connections []net.Conn
	proxy       *faultproxy.Proxy // nil for none
}

// startTargetProcess starts a target whose runs are passed to onRun, and writes its entry to the store.
func (e *environment) startTargetProcess(service, id, hall string, b standin.Behaviour, proxied bool, onRun func(standin.Run)) (*targetProcess, error) {
	p, err := newTargetProcess(e.options.TargetProgram, id, b, onRun)
	if err != nil {
		return nil, fmt.Errorf("target %s: %w", id, err)
	}
	address := p.address
	if proxied {
		if p.proxy, err = faultproxy.New(address); err != nil {
			return p, err
		}
		address = p.proxy.Address()
	}
	return p, e.addEntry(id, standin.NewTarget(id, service, nil).Object(address, hall, "ready"))
}

// newTargetProcess starts the process of a target and reads its address.
func newTargetProcess(program, id string, b standin.Behaviour, onRun func(standin.Run)) (*targetProcess, error) {
	p := &targetProcess{id: id, cmd: exec.Command(program, "target", id), read: make(chan struct{})}
	p.cmd.Stderr = os.Stderr
	var err error
	if p.input, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	_ = json.NewEncoder(p.input).Encode(b) // fails if the process has ended, which the next read shows
	lines := bufio.NewReader(out)
	address, err := lines.ReadString('\n')
	go p.readRuns(lines, onRun)
	if err != nil {
		p.kill()
		return nil, err
	}
	p.address = strings.TrimSpace(address)
	return p, nil
}

// readRuns calls onRun for each run of the target until its process ends.
func (p *targetProcess) readRuns(in io.Reader, onRun func(standin.Run)) {
	defer close(p.read)
	runs := json.NewDecoder(in)
	for {
		var r standin.Run
		if runs.Decode(&r) != nil {
			return // the process has ended
		}
		onRun(r)
	}
}

// connect opens connections that nobody uses.
func (p *targetProcess) connect(connections int) {
	for range connections {
		c, err := net.Dial("tcp", p.address)
		if err != nil {
			return // the run goes on with fewer
		}
		p.connections = append(p.connections, c)
	}
}

// kill ends the process as a crash does.
func (p *targetProcess) kill() {
	if p.proxy != nil {
		p.proxy.Refuse()
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	<-p.read
	_ = p.cmd.Wait() // reports the signal
	_ = p.input.Close()
	for _, c := range p.connections {
		_ = c.Close()
	}
}

// cutPath lets nothing pass from the target for a time, if it is behind a proxy.
func (p *targetProcess) cutPath(length time.Duration) {
	if p.proxy != nil {
		p.proxy.SetMode(faultproxy.DropResponses)
		time.AfterFunc(length, func() { p.proxy.SetMode(faultproxy.PassThrough) })
	}
}

func (p *targetProcess) closeProxy() {
	if p.proxy != nil {
		p.proxy.Close()
	}
}

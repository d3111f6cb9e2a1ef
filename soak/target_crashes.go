package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// crashService is the service of the targets that are processes of their own.
	crashService, crashTargets = "crashing", 3
	// unframedPercent is the share of their responses that end with their connections.
	unframedPercent = 30
	// crashEventGap and crashEvents make streams that often end with their target.
	crashEventGap, crashEvents = 30 * time.Millisecond, 16
	// crashCallers is the number of callers of these targets.
	crashCallers = 24
	// minCrashPause and maxCrashPause bound the time between two crashes. A target is replaced after crashReplaceAfter.
	minCrashPause, maxCrashPause, crashReplaceAfter = 200 * time.Millisecond, 900 * time.Millisecond, 600 * time.Millisecond
	// maxIdleConnections is the largest number of further connections to each target that a run draws: a process that is
	// killed closes its listening socket the later the more sockets it has.
	maxIdleConnections = 1000
)

// ServeTarget serves as a target of crashService until in ends. It writes its address to out.
func ServeTarget(id string, in io.Reader, out io.Writer) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := standin.NewTarget(id, crashService, func(standin.Run) {})
	t.ChangeBehaviour(func(b *standin.Behaviour) { b.Unframed, b.EventGap = unframedPercent, crashEventGap })
	s := startServer(l, t)
	if _, err := fmt.Fprintln(out, l.Addr()); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, in)
	return errors.Join(err, s.Close())
}

// targetProcess is a target in a process of its own, with connections that nobody uses.
type targetProcess struct {
	id          string
	cmd         *exec.Cmd
	input       io.Closer
	connections []net.Conn
}

// startTargetProcess starts a target and writes its entry to the store.
func (e *environment) startTargetProcess(id, hall string, connections int) (*targetProcess, error) {
	p := &targetProcess{id: id, cmd: exec.Command(e.options.TargetProgram, "target", id)}
	p.cmd.Stderr = os.Stderr
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.input = in
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.kill()
		return nil, fmt.Errorf("target %s: %w", id, err)
	}
	address = strings.TrimSpace(address)
	for range connections {
		c, err := net.Dial("tcp", address)
		if err != nil {
			break // the run goes on with fewer
		}
		p.connections = append(p.connections, c)
	}
	return p, e.addEntry(id, standin.NewTarget(id, crashService, nil).Object(address, hall, "ready"))
}

// kill ends the process as a crash does.
func (p *targetProcess) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL) // fails if it has ended
	_ = p.cmd.Wait()                          // reports the signal
	_ = p.input.Close()
	for _, c := range p.connections {
		_ = c.Close()
	}
}

// runTargetCrashes kills targets one after the other until the given time, and starts others in their place.
func (e *environment) runTargetCrashes(ctx context.Context, until time.Time) error {
	r := rand.New(rand.NewPCG(e.options.Seed, 11))
	connections := e.options.Connections
	if connections == 0 {
		connections = r.IntN(maxIdleConnections)
	}
	targets := make([]*targetProcess, crashTargets)
	defer func() {
		for _, p := range targets {
			if p != nil {
				p.kill()
			}
		}
	}()
	start := func(n, generation int) (err error) {
		targets[n], err = e.startTargetProcess(fmt.Sprintf("c-%d-%d", n, generation), hallName(n), connections)
		return err
	}
	for n := range targets {
		if err := start(n, 0); err != nil {
			return err
		}
	}
	callers, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	for n := range crashCallers {
		running.Go(func() { e.callCrashingTargets(callers, n) })
	}
	defer running.Wait()
	defer stop()
	time.Sleep(warmUp)
	for generation := 1; ctx.Err() == nil && time.Now().Before(until); generation++ {
		time.Sleep(minCrashPause + time.Duration(r.Int64N(int64(maxCrashPause-minCrashPause))))
		n := r.IntN(crashTargets)
		e.recorder.addTargetCrash()
		targets[n].kill()
		time.Sleep(crashReplaceAfter)
		e.removeEntry(targets[n].id)
		if err := start(n, generation); err != nil {
			return err
		}
	}
	return nil
}

// callCrashingTargets sends plain requests and streams until ctx ends.
func (e *environment) callCrashingTargets(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(200+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}
	org := e.organisations[n%len(e.organisations)]
	path := standin.PlainPath(crashService) + "x"
	if n%2 == 0 {
		path = fmt.Sprintf("%sx/%d", standin.LongPath(crashService), crashEvents)
	}
	for i := 0; ctx.Err() == nil; i++ {
		q := standin.Request{ID: fmt.Sprintf("c-%d-%d", n, i), Key: org.key, Path: path, Timeout: callerTimeout}
		e.exchange(c, e.drawBox(r), exchange{organisation: org.name, request: q, crashing: true})
	}
}

func (rec *recorder) addTargetCrash() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.targetCrashes = append(rec.targetCrashes, time.Now())
}

// summarizeCrashes describes the responses of targets that were killed. That none of them is truncated and ends as whole is
// checked with all replies.
func (rec *recorder) summarizeCrashes() {
	if len(rec.targetCrashes) == 0 {
		return
	}
	var whole, cut, other int
	for _, ex := range rec.exchanges {
		switch {
		case !ex.crashing:
		case ex.reply.Correct:
			whole++
		case ex.reply.Status == http.StatusOK:
			cut++
		default:
			other++
		}
	}
	rec.crashSummary = fmt.Sprintf("%d targets killed; responses: %d whole, %d broken off, %d others", len(rec.targetCrashes), whole, cut, other)
}

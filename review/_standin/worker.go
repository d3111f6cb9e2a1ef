package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

const (
	service     = "app"
	workerSlots = 64
	plainWork   = 60 * time.Millisecond // time until a plain answer with a length is sent
	// unframedWork is the time between the two halves of a plain answer without a length. The site file names up to
	// 220 ms for the work on a plain answer.
	unframedWork = 120 * time.Millisecond
	// unframedPercent is the share of answers without a length, as a worker with unframed sends them: the share that
	// the site file names.
	unframedPercent = 5
)

// worker is a stand-in of a worker. It serves plain answers and, below /advice/ and /report/, streams, whose number of
// events and time between events the query states.
type worker struct {
	id, zone, address string
	// unframed states that some answers have neither a length nor chunks and end with their connections.
	unframed bool
	// onRun is called with the ID and the path of a request as the worker begins to run it.
	onRun func(id, path string)
}

// listen starts to serve on a free port of the host.
func (w *worker) listen(host string) net.Listener {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		fail("worker %s: %v", w.id, err)
	}
	w.address = l.Addr().String()
	go func() { _ = http.Serve(l, w) }() // ends when the listener is closed
	return l
}

// entry returns what the worker writes to the store.
func (w *worker) entry(state string, version int) map[string]any {
	return map[string]any{
		"service": service, "address": w.address, "zone": w.zone, "version": "v" + strconv.Itoa(version), "slots": workerSlots,
		"state": state, names.Cold: 0, "seq": 1,
	}
}

// plainBody returns the whole body of the plain answer to a request.
func plainBody(id string) string {
	line := "answer to " + id + "\n"
	return strings.Repeat(line, 800/len(line)+1)
}

// event returns an event of a stream.
func event(n int, id string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, id) }

// eventsBody returns the whole body of a stream.
func eventsBody(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		b.WriteString(event(n, id))
	}
	return b.String()
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(names.RequestID)
	h := out.Header()
	h.Set(names.RequestID, id)
	if want := r.Header.Get(names.Instance); want != "" && want != w.id {
		h.Set(names.NotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off shows as the caller's leaving
	w.onRun(id, r.URL.Path)
	hash := fnv.New32a()
	_, _ = io.WriteString(hash, id) // writing to a hash never fails
	stamp := fmt.Sprintf("%s.%s.%x", w.id, id, hash.Sum32())
	h.Set(names.Stamp, stamp)
	switch {
	case w.unframed && hash.Sum32()%100 < unframedPercent:
		w.sendUnframed(out, r, id, stamp)
	case isStream(r):
		h.Set("Content-Type", eventStream)
		sendEvents(r, id, func(e string) {
			_, _ = io.WriteString(out, e) // a caller that has left shows in the context
			_ = http.NewResponseController(out).Flush()
		})
	default:
		time.Sleep(plainWork)
		_, _ = io.WriteString(out, plainBody(id)) // fails only if the caller has closed the connection
	}
}

const eventStream = "text/event-stream"

func isStream(r *http.Request) bool {
	return strings.HasPrefix(r.URL.Path, "/advice/") || strings.HasPrefix(r.URL.Path, "/report/")
}

// sendEvents sends the events that the query asks for, until the caller has left.
func sendEvents(r *http.Request, id string, send func(event string)) {
	events, _ := strconv.Atoi(r.URL.Query().Get("events"))
	gap, _ := time.ParseDuration(r.URL.Query().Get("gap"))
	for n := 1; n <= events; n++ {
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			return
		}
		send(event(n, id))
	}
}

// sendUnframed sends an answer without a length, and closes the connection. It sends a plain body in two halves.
func (w *worker) sendUnframed(out http.ResponseWriter, r *http.Request, id, stamp string) {
	c, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }() // the end of the answer
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n", names.RequestID, id, names.Stamp, stamp)
	send := func(text string) { _, _ = io.WriteString(c, text) } // fails only if the caller has closed the connection
	if isStream(r) {
		send(head + "Content-Type: " + eventStream + "\r\n\r\n")
		sendEvents(r, id, send)
		return
	}
	body := plainBody(id)
	send(head + "\r\n" + body[:len(body)/2])
	time.Sleep(unframedWork)
	send(body[len(body)/2:])
}

// runWorker serves as a process of its own: it prints its address and then a line for each request that it runs.
func runWorker(args []string) {
	if len(args) != 2 {
		fail("usage: standin worker ID HOST")
	}
	w := &worker{id: args[0], unframed: true, onRun: func(id, path string) { fmt.Printf("%d %s %s\n", time.Now().UnixNano(), id, path) }}
	w.listen(args[1])
	fmt.Println(w.address)
	_, _ = io.Copy(io.Discard, os.Stdin) // returns when the program that started this process ends
}

// workerProcess is a worker that runs as a process of its own.
type workerProcess struct {
	worker
	cmd    *exec.Cmd
	exited chan struct{}
}

// startWorker starts a process, and writes the worker's entry to the store.
func (s *scenario) startWorker(id, zone, host string) *workerProcess {
	p := &workerProcess{worker: worker{id: id, zone: zone}, exited: make(chan struct{})}
	p.cmd = exec.Command(os.Args[0], "worker", id, host)
	p.cmd.Stderr = os.Stderr
	if _, err := p.cmd.StdinPipe(); err != nil {
		fail("worker %s: %v", id, err)
	}
	stdout, err := p.cmd.StdoutPipe()
	if err == nil {
		err = p.cmd.Start()
	}
	if err != nil {
		fail("worker %s: %v", id, err)
	}
	lines := bufio.NewScanner(stdout)
	if !lines.Scan() {
		fail("worker %s did not start", id)
	}
	p.address = lines.Text()
	go func() {
		for lines.Scan() {
			ns, rest, _ := strings.Cut(lines.Text(), " ")
			n, _ := strconv.ParseInt(ns, 10, 64)
			s.record.addAt(time.Unix(0, n), "worker %s runs %s", id, rest)
		}
		_ = p.cmd.Wait() // workers are ended by signals
		close(p.exited)
	}()
	s.store.put("servers", id, p.entry("ready", 1))
	return p
}

// kill ends the process, as a crash does.
func (p *workerProcess) kill(r *record) {
	r.add("worker %s crashes", p.id)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

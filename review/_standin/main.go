// Command standin runs the scripts of the review: it starts entry boxes as separate processes, with stand-ins of the
// platform's store, of workers and of clients, and checks one rule.
//
//	standin CASE FOLDER   runs a case, and writes record.txt into the folder
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 in
// the environment it leaves the disruption out.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	cannotRun  = 2
)

// scenario is what all cases use.
type scenario struct {
	record  *record
	store   *store
	boxes   []*box
	trouble bool
}

// cases has the function of each case, which returns the number of times the rule was broken.
var cases = map[string]func(*scenario) int{}

// cleanups are called before the program exits.
var cleanups []func()

// fail ends the program because the case cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	exit(cannotRun)
}

// exiting is locked by the first call of exit.
var exiting sync.Mutex

func exit(code int) {
	exiting.Lock()
	for _, c := range cleanups {
		c()
	}
	os.Exit(code)
}

// exitOnSignal ends the processes that were started if this one is to end early.
func exitOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	fail("the case was interrupted by signal %v", <-signals)
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: standin CASE FOLDER")
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	cleanups = append(cleanups, func() { _ = r.close() }, func() { _ = os.RemoveAll(dir) })
	s := &scenario{record: r, store: newStore(r, 50), trouble: os.Getenv("TROUBLE") != "0"}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(l, s.store) }() // ends with the program
	s.boxes = newBoxes(dir, l.Addr().String(), 2)
	cleanups = append([]func(){s.endBoxes}, cleanups...)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // a closed output does not keep exit from ending the processes
	go exitOnSignal()
	time.AfterFunc(110*time.Second, func() { fail("the case took too long") })
	broken := cases[os.Args[1]](s)
	r.say("trouble=%t: the rule was broken %d times", s.trouble, broken)
	if broken > 0 {
		exit(ruleBroken)
	}
	exit(ruleHeld)
}

// startBoxes starts all boxes and waits until they are ready.
func (s *scenario) startBoxes() {
	for _, b := range s.boxes {
		b.start(s.record)
	}
	for _, b := range s.boxes {
		b.waitReady()
	}
}

// endBoxes kills the processes that were started.
func (s *scenario) endBoxes() {
	for _, b := range s.boxes {
		if b.cmd != nil {
			b.kill(s.record)
		}
	}
}

package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// maxTime is how long a case may run.
const maxTime = 115 * time.Second

var errUsage = errors.New("usage: standin2 case NAME RECORD | worker OPTIONS")

var cases = map[string]func(s *system, trouble bool) (int, error){
	"restarted-while-frozen": restartedWhileFrozen,
	"seventeenth-part":       seventeenthPart,
	"group-stops-frozen":     groupStopsFrozen,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	switch {
	case len(args) > 0 && args[0] == "worker":
		if err := runWorker(args[1:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return notRun
		}
		return held
	case len(args) == 3 && args[0] == "case" && cases[args[1]] != nil:
		return play(args[1], args[2])
	}
	fmt.Fprintln(os.Stderr, errUsage)
	return notRun
}

func play(name, record string) int {
	s, err := newSystem(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		s.log("ended before its result")
		s.close()
		os.Exit(notRun)
	}()
	result, err := cases[name](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	s.log("result %d (0: the rule held, 1: it was broken, 2: could not run)", result)
	return result
}

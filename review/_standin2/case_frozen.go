package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	frozenRounds   = 13 // three entries of a day each: a freeze, a crash, and answers without a length
	frozenRequests = 36 // as many as six workers run at once
)

// restartedWhileFrozen: a box freezes while a worker answers, and the worker crashes and starts again under its id meanwhile. Of the
// answers of three of the six workers, five in a hundred have no length. Every success that a client gets must be the whole body.
func restartedWhileFrozen(s *system, trouble bool) (int, error) {
	const service, slots = "app", 6
	s.store.put("config", "main", configuration(service, 2*time.Second))
	options := map[string][]string{}
	halls := []string{"hall-a", "hall-b", "hall-c"}
	for i := range 6 {
		id := fmt.Sprintf("i-%d", i+1)
		options[id] = []string{"-work", "150ms", "-parts", "2", "-pause", "300ms"}
		if i < 3 {
			options[id] = append(options[id], "-unframed", "5")
		}
		if err := s.startWorker(id, service, halls[i%3], slots, options[id]...); err != nil {
			return notRun, err
		}
	}
	if err := s.startBoxes(halls...); err != nil {
		return notRun, err
	}
	if err := s.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	result := held
	for round := range frozenRounds {
		box := s.boxes[round%len(s.boxes)]
		answers := make([]answer, frozenRequests)
		var wait sync.WaitGroup
		for i := range frozenRequests {
			q := request{id: fmt.Sprintf("q-%02d-%02d", round, i), path: "/order/1", body: "x", key: "key-one", deadline: 4 * time.Second}
			wait.Go(func() { answers[i] = send(box.callers, q) })
		}
		if trouble {
			if err := s.crashWhileFrozen(box, fmt.Sprintf("i-%d", 1+round%3), service, halls[round%3], slots, options); err != nil {
				return notRun, err
			}
		}
		wait.Wait()
		for i, a := range answers {
			q := fmt.Sprintf("q-%02d-%02d", round, i)
			whole := wholeBody(q, "x", 800)
			s.log("client: %s got %d, %d bytes of %d, error %v, stamp %s, runs %d", q, a.status, len(a.body), len(whole), a.err, a.header.Get(names["stamp"]), s.runs(q))
			if a.status == 200 && a.err == nil && a.body != whole {
				s.log("client: %s got a part of the body as a whole answer", q)
				result = broken
			}
		}
		time.Sleep(3 * time.Second)
	}
	return result, nil
}

// crashWhileFrozen freezes the box while requests run. Once the worker has sent the first halves of its answers, it crashes, and is back
// before the box wakes.
func (s *system) crashWhileFrozen(box *process, id, service, hall string, slots int, options map[string][]string) error {
	time.Sleep(120 * time.Millisecond)
	s.signal(box, syscall.SIGSTOP)
	time.Sleep(200 * time.Millisecond)
	w := s.workers[id]
	s.signal(w, syscall.SIGKILL)
	<-w.exited
	time.Sleep(600 * time.Millisecond)
	if err := s.startWorker(id, service, hall, slots, options[id]...); err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	s.signal(box, syscall.SIGCONT)
	return nil
}

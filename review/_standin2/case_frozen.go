package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// busiest returns the worker that has run most requests.
func (s *system) busiest() (id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := map[string]int{}
	for _, n := range s.notes {
		if n.What == "runs" {
			by, _, _ := strings.Cut(n.By, " ")
			if runs[by]++; runs[by] > runs[id] {
				id = by
			}
		}
	}
	return id
}

// restartedWhileFrozen: a box freezes while a worker answers, and the worker crashes and starts again under its id meanwhile. The
// answers have no length. Every success that a client gets must be the whole body.
func restartedWhileFrozen(s *system, trouble bool) (int, error) {
	const service, hall = "app", "hall-a"
	s.store.put("config", "main", configuration(service, 8*time.Second))
	options := []string{"-work", "600ms", "-parts", "2", "-pause", "600ms", "-framed=false"}
	for i := range 6 {
		if err := s.startWorker(fmt.Sprintf("i-%d", i+1), service, "hall-"+string(rune('a'+i%3)), options...); err != nil {
			return notRun, err
		}
	}
	if err := s.startBoxes(hall, "hall-b", "hall-c"); err != nil {
		return notRun, err
	}
	if err := s.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	box := s.boxes[0]
	if a := send(box.callers, request{id: "first", path: "/read/0", key: "key-one", deadline: 7 * time.Second}); a.status != 200 {
		return notRun, fmt.Errorf("before the disruption: %d %v", a.status, a.err)
	}
	const requests = 30
	answers := make([]answer, requests)
	var wait sync.WaitGroup
	for i := range requests {
		q := request{id: fmt.Sprintf("q-%02d", i), path: "/read/1", key: "key-one", deadline: 7 * time.Second}
		if i%2 == 1 {
			q.path, q.body = "/order/1", "x"
		}
		wait.Go(func() { answers[i] = send(box.callers, q) })
	}
	if trouble {
		time.Sleep(300 * time.Millisecond) // the requests run
		s.signal(box, syscall.SIGSTOP)
		time.Sleep(600 * time.Millisecond) // the worker has sent the first half
		id := s.busiest()
		s.signal(s.workers[id], syscall.SIGKILL)
		<-s.workers[id].exited
		time.Sleep(1200 * time.Millisecond)
		if err := s.startWorker(id, service, hall, options...); err != nil {
			return notRun, err
		}
		time.Sleep(1400 * time.Millisecond)
		s.signal(box, syscall.SIGCONT)
	}
	wait.Wait()
	result := held
	for i, a := range answers {
		q := fmt.Sprintf("q-%02d", i)
		whole := wholeBody(q, []string{"", "x"}[i%2], 800)
		s.log("client: %s got %d, %d bytes of %d, error %v, stamp %s, runs %d", q, a.status, len(a.body), len(whole), a.err, a.header.Get(names["stamp"]), s.runs(q))
		if a.status == 200 && a.err == nil && a.body != whole {
			result = broken
		}
	}
	return result, nil
}

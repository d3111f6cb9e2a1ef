package main

import (
	"fmt"
	"sync"
	"time"
)

// leftUnread: clients read nothing for some seconds, so that the box stops reading from the worker, which then cuts the answers off.
// They have no length. Every success that a client gets must be the whole body.
func leftUnread(s *system, trouble bool) (int, error) {
	const service, hall, length, patience, pause = "app", "hall-a", 24 << 20, 3 * time.Second, 5 * time.Second
	s.store.put("config", "main", configuration(service, 12*time.Second))
	options := []string{"-length", fmt.Sprint(length), "-parts", "384", "-framed=false", "-patience", patience.String()}
	if err := s.startWorker("i-1", service, hall, options...); err != nil {
		return notRun, err
	}
	if err := s.startBoxes(hall, "hall-b"); err != nil {
		return notRun, err
	}
	if err := s.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(2 * time.Second)
	const requests = 4
	answers := make([]answer, requests)
	var wait sync.WaitGroup
	for i := range requests {
		q := request{id: fmt.Sprintf("q-%02d", i), path: "/order/1", body: "x", key: "key-one", deadline: 11 * time.Second}
		if trouble {
			q.pause = pause
		}
		wait.Go(func() { answers[i] = send(s.boxes[0].callers, q) })
	}
	wait.Wait()
	result := held
	for i, a := range answers {
		q := fmt.Sprintf("q-%02d", i)
		whole := wholeBody(q, "x", length)
		s.log("client: %s got %d, %d bytes of %d, error %v, runs %d", q, a.status, len(a.body), len(whole), a.err, s.runs(q))
		if a.status == 200 && a.err == nil && a.body != whole {
			result = broken
		}
	}
	return result, nil
}

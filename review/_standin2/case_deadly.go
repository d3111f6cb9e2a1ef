package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	contact  = 3 * time.Second
	deadlyID = "dead0000"      // the part that ends workers
	away     = 2 * time.Second // until a crashed worker is back
)

// startDeadly starts three boxes and four workers.
func startDeadly(s *system, stop chan struct{}, timeout time.Duration, options ...string) error {
	const service = "app"
	s.store.put("config", "main", configuration(service, timeout))
	for i, hall := range []string{"hall-a", "hall-b", "hall-c", "hall-a"} {
		if err := s.keepWorker(stop, away, fmt.Sprintf("i-%d", i+1), service, hall, 12, options...); err != nil {
			return err
		}
	}
	if err := s.startBoxes("hall-a", "hall-b", "hall-c"); err != nil {
		return err
	}
	if err := s.awaitReady(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	return nil
}

// judgeDeadly counts the runs of deadly requests from the contact bound after a crash on; n is the number of that crash.
func (s *system) judgeDeadly(n int, deadly func(note) bool) int {
	s.mu.Lock()
	crashes := len(s.crashes)
	late, all := 0, 0
	for _, x := range s.notes {
		if x.What != "runs" || !deadly(x) {
			continue
		}
		all++
		if crashes >= n && time.UnixMilli(x.At).After(s.crashes[n-1].Add(contact)) {
			late++
		}
	}
	s.mu.Unlock()
	s.log("%d crashes; deadly requests reached workers %d times, %d of them later than %v after crash %d; allowed are 3", crashes, all, late, contact, n)
	if late > 3 {
		return broken
	}
	return held
}

// sound sends a sound request.
func (s *system) sound(all *sync.WaitGroup, id, parts string, n int) {
	q := request{id: id, path: "/stream/1/8", body: id, key: "key-one", deadline: 4 * time.Second, parts: parts}
	box := s.boxes[n%len(s.boxes)]
	all.Go(func() {
		if a := send(box.callers, q); a.status != 200 || a.err != nil {
			s.log("client: sound %s got %d from %s, error %v, retry after %s", q.id, a.status, box.name, a.err, a.header.Get("Retry-After"))
		}
	})
}

// seventeenthPart: prompts of 18 parts, of which one, the seventeenth, ends each worker that begins to write an answer.
func seventeenthPart(s *system, trouble bool) (int, error) {
	position := 17
	if os.Getenv("POSITION") != "" {
		_, _ = fmt.Sscan(os.Getenv("POSITION"), &position)
	}
	stop := make(chan struct{})
	defer close(stop)
	options := []string{"-work", "50ms", "-pause", "20ms"}
	if trouble {
		options = append(options, "-deadly-part", deadlyID)
	}
	if err := startDeadly(s, stop, 4*time.Second, options...); err != nil {
		return notRun, err
	}
	prompt := func(own string, deadly bool) string {
		var parts []string
		for i := 1; i <= 17; i++ {
			id := fmt.Sprintf("a00000%02d", i)
			if deadly && i == position {
				id = deadlyID
			}
			parts = append(parts, fmt.Sprintf("%s:%d", id, partTokens))
		}
		return strings.Join(append(parts, fmt.Sprintf("%s:%d", own, partTokens)), ",")
	}
	var all sync.WaitGroup
	for i := range 30 {
		q := request{id: fmt.Sprintf("deadly-%02d", i), path: "/stream/1/8", body: fmt.Sprint(i), key: "key-one", deadline: 4 * time.Second, parts: prompt(fmt.Sprintf("f00000%02d", i), true)}
		box := s.boxes[i%len(s.boxes)]
		all.Go(func() {
			a := send(box.callers, q)
			s.log("client: %s got %d from %s, error %v, retry after %s", q.id, a.status, box.name, a.err, a.header.Get("Retry-After"))
		})
		for j := range 10 {
			time.Sleep(100 * time.Millisecond)
			s.sound(&all, fmt.Sprintf("sound-%02d-%d", i, j), prompt(fmt.Sprintf("e0000%02d%d", i, j), false), i+j)
		}
	}
	all.Wait()
	return s.judgeDeadly(5, func(n note) bool { return strings.HasPrefix(n.ID, "deadly") }), nil
}

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	cold      = 3 * time.Second // how long a worker is cold after its start
	coldPerS  = 26              // requests a second that a cold worker bears
	coldBound = 44              // coldPerS x 1.5 + 5
	coldFalls = 60              // well above
	rate      = 240             // requests a second of all clients
)

// coldWhileStoreDown: a worker crashes and comes back cold while the store is down. Its health answers tell that it is cold.
func coldWhileStoreDown(s *system, trouble bool) (int, error) {
	const service = "app"
	s.store.put("config", "main", configuration(service, 4*time.Second))
	options := []string{"-work", "20ms", "-bears", fmt.Sprint(coldFalls)}
	for i, hall := range []string{"hall-a", "hall-b", "hall-c"} {
		if err := s.startWorker(fmt.Sprintf("i-%d", i+1), service, hall, options...); err != nil {
			return notRun, err
		}
	}
	if err := s.startBoxes("hall-a", "hall-b", "hall-c"); err != nil {
		return notRun, err
	}
	if err := s.awaitReady(); err != nil {
		return notRun, err
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	traffic.Go(func() { s.offer(stop) })
	time.Sleep(3 * time.Second)
	if trouble {
		s.log("the store goes down")
		s.store.setDown(true)
	}
	time.Sleep(time.Second)
	w := s.workers["i-1"]
	s.signal(w, syscall.SIGKILL)
	<-w.exited
	time.Sleep(2 * time.Second)
	if err := s.startCold(cold, "i-1", service, "hall-a", options...); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		s.log("the store is back")
		s.store.setDown(false)
	}
	time.Sleep(time.Second)
	close(stop)
	traffic.Wait()
	return s.judgeCold(), nil
}

// offer sends requests to all boxes until stop.
func (s *system) offer(stop chan struct{}) {
	tick := time.NewTicker(time.Second / rate)
	defer tick.Stop()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		select {
		case <-stop:
			all.Wait()
			return
		case <-tick.C:
		}
		q := request{id: fmt.Sprintf("q-%05d", n), path: "/order/1", key: "key-one", body: fmt.Sprint(n), deadline: 3 * time.Second}
		box := s.boxes[n%len(s.boxes)]
		all.Go(func() {
			if a := send(box.callers, q); a.status != 200 || a.err != nil {
				s.log("client: %s got %d from %s, error %v", q.id, a.status, box.name, a.err)
			}
		})
	}
}

// judgeCold finds the second in which the cold worker got the most requests.
func (s *system) judgeCold() int {
	s.mu.Lock()
	var cold []int64
	for _, n := range s.notes {
		if n.What == "runs" && n.More == "POST /order/1 cold" {
			cold = append(cold, n.At)
		}
	}
	s.mu.Unlock()
	most := 0
	for i := range cold {
		n := 0
		for _, at := range cold[i:] {
			if at-cold[i] < 1000 {
				n++
			}
		}
		most = max(most, n)
	}
	s.log("the cold worker got %d requests in a second at most; allowed are %d", most, coldBound)
	if most > coldBound {
		return broken
	}
	return held
}

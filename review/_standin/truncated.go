package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["truncated"] = truncatedCase }

const (
	truncatedWorkers = 3
	crashes          = 10
	crashInterval    = 2 * time.Second
	workerRestart    = time.Second             // time from a crash to the start of the next worker
	entryLapse       = 3600 * time.Millisecond // three silent heartbeats
)

// truncatedCase crashes workers that send some answers without a length. It returns the number of successful answers,
// streams and others, that ended whole for their clients although they lack a part of the worker's body.
func truncatedCase(s *scenario) int {
	s.store.put("config", "main", configuration())
	started := 0
	start := func(zone string) *workerProcess {
		started++
		return s.startWorker(workerID(started), zone, "127.0.0.1")
	}
	workers := make([]*workerProcess, truncatedWorkers)
	for n := range workers {
		workers[n] = start(zoneOf(n))
	}
	cleanups = append([]func(){func() {
		for _, w := range workers {
			w.kill(s.record)
		}
	}}, cleanups...)
	s.startBoxes()

	stop := make(chan struct{})
	client := newClient(64)
	var mu sync.Mutex
	statuses, truncated := map[string]int{}, map[string]int{}
	check := func(kind, id string, got reply, body string) {
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d whole=%t", kind, got.status, got.err == nil)]++
		if got.status == 200 && got.err == nil && got.body != body {
			truncated[kind]++
			s.record.add("check: %s got a success of %d bytes that ended whole; the worker's body has %d", id, len(got.body), len(body))
		}
	}
	for _, b := range s.boxes {
		go pace(b, 150, stop, func(b *box) {
			id := newID(b)
			check("plain", id, send(client, s.record, b, "GET", id, "/again/"+id), plainBody(id))
		})
		go pace(b, 25, stop, func(b *box) {
			id := newID(b)
			check("stream", id, send(client, s.record, b, "POST", id, adviceTarget(id, usualEvents)), eventsBody(id, usualEvents))
		})
	}
	time.Sleep(2 * time.Second)
	for n := range crashes {
		if !s.trouble {
			time.Sleep(crashInterval)
			continue
		}
		crashed := workers[n%truncatedWorkers]
		crashed.kill(s.record)
		time.AfterFunc(entryLapse, func() { s.store.remove("servers", crashed.id) })
		time.Sleep(workerRestart)
		workers[n%truncatedWorkers] = start(crashed.zone)
		time.Sleep(crashInterval - workerRestart)
	}
	time.Sleep(entryLapse)
	close(stop)
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	s.record.say("answers by status: %v; truncated: %v", statuses, truncated)
	return truncated["plain"] + truncated["stream"]
}

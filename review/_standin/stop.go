package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	stopWorkers    = 4
	adviceClients  = 6 // clients of each box with streams of the usual length
	reportClients  = 6 // clients of the box that is stopped, whose streams outlast the first seconds of the stop
	mostEvents     = 66
	reportEventGap = 100 * time.Millisecond
	// lateAfter is the time after the stop signal from which a request that is cut counts.
	lateAfter = 3 * time.Second
)

// stopCase stops a box while clients use their kept connections on. It returns the number of requests that were sent
// later than lateAfter after the signal, reached a worker, and did not get a complete answer.
func stopCase(s *scenario) int {
	s.store.put("config", "main", configuration())
	var mu sync.Mutex
	ran := map[string]bool{}
	for n := range stopWorkers {
		w := &worker{id: workerID(n), zone: zoneOf(n)}
		w.onRun = func(request, path string) {
			s.record.add("worker %s runs %s %s", w.id, request, path)
			mu.Lock()
			defer mu.Unlock()
			ran[request] = true
		}
		w.listen("127.0.0.1")
		s.store.put("servers", w.id, w.entry("ready", 1))
	}
	s.startBoxes()
	stopped := s.boxes[0]

	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, b := range s.boxes {
		for range adviceClients {
			clients.Go(func() { s.askUntil(stop, b) })
		}
	}
	time.Sleep(4 * time.Second)
	signalAt := time.Now().Add(time.Second)
	late := make([]lateRequest, reportClients)
	for n := range late {
		clients.Go(func() { late[n] = s.askAfterReport(stopped, signalAt, n) })
	}
	time.Sleep(time.Until(signalAt))
	signalAt = time.Now()
	if s.trouble {
		stopped.signal(s.record, syscall.SIGTERM)
	}
	time.Sleep(stopBound + time.Second)
	close(stop)
	clients.Wait()

	lost := 0
	for _, q := range late {
		after := q.reply.sentAt.Sub(signalAt)
		cut := q.reply.err != nil || q.reply.status == 200 && eventsIn(q.reply.body, q.id) < mostEvents
		s.record.say("%s: sent %.3f s after the signal, status %d, %d of %d events, reached a worker: %t, error: %v",
			q.id, after.Seconds(), q.reply.status, eventsIn(q.reply.body, q.id), mostEvents, ran[q.id], q.reply.err)
		if cut && ran[q.id] && after > lateAfter && q.took < deadline {
			lost++
		}
	}
	return lost
}

// lateRequest is a request that was sent on a kept connection after the stop signal.
type lateRequest struct {
	id    string
	reply reply
	took  time.Duration
}

// askUntil sends requests of the usual length one after the other on a kept connection, until stop is closed.
func (s *scenario) askUntil(stop <-chan struct{}, b *box) {
	client := newClient(1)
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := newID(b)
		got := send(client, s.record, b, "POST", id, adviceTarget(id, usualEvents))
		if got.status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// askAfterReport sends a long stream that begins before the signal, and sends the next request on the same connection as
// soon as that stream has ended.
func (s *scenario) askAfterReport(b *box, signalAt time.Time, n int) lateRequest {
	client := newClient(1)
	ends := signalAt.Add(4600*time.Millisecond + time.Duration(n)*200*time.Millisecond)
	id := newID(b)
	send(client, s.record, b, "POST", id, fmt.Sprintf("/report/%s?events=%d&gap=%v", id, time.Until(ends)/reportEventGap, reportEventGap))
	next := newID(b)
	got := send(client, s.record, b, "POST", next, adviceTarget(next, mostEvents))
	return lateRequest{id: next, reply: got, took: time.Since(got.sentAt)}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host     = "app.example"
	key      = "k3y-of-tenant-1"
	deadline = 8 * time.Second

	// Usual streams.
	usualEvents = 26
	eventGap    = 46 * time.Millisecond
)

// configuration returns the operator's document.
func configuration() map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": host, names.Prefix: "/" + name + "/", "kind": kind, "service": service, names.Timeout: deadline.Milliseconds(),
			names.Objective: 400, names.Gap: 500, "priority": 1, names.Attempts: 2, "resumable": false,
		}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("again", "idempotent"), route("once", names.Once), route("advice", "streaming"), route("report", "streaming")},
		"services": []any{map[string]any{"name": service, names.Health: "/healthz", names.Connections: 400}},
		"tenants":  []any{map[string]any{"name": "tenant-1", names.Keys: []string{key}, "priority": 1}},
		"limits":   map[string]any{"headerBytes": 16384, "bodyBytes": 1 << 20, "headerMs": 3000, "idleMs": 15000},
	}
}

// reply is the answer to a request as its client sees it.
type reply struct {
	status  int // 0 if the connection ended without a head
	stamped bool
	body    string
	err     error // set if the answer is not whole
	sentAt  time.Time
	closes  bool // the answer states that the connection closes
}

// nextID is the number of the last request.
var nextID atomic.Int64

// newID returns an id that no other request has. It begins with the number of the box that the request goes to.
func newID(b *box) string {
	return fmt.Sprintf("%s%012x", b.name[len(b.name)-1:], nextID.Add(1))
}

// send sends a request and reads the whole answer.
func send(c *http.Client, r *record, b *box, method, id, target string) reply {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+b.callers+target, nil)
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = host
	req.Header.Set(names.RequestID, id)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(names.Deadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	out := reply{sentAt: time.Now()}
	r.addAt(out.sentAt, "client: %s %s %s sent to %s", id, method, target, b.name)
	resp, err := c.Do(req)
	if err != nil {
		out.err = err
		r.add("client: %s got no answer: %v", id, err)
		return out
	}
	defer func() { _ = resp.Body.Close() }() // reading the body reports failures
	body, err := io.ReadAll(resp.Body)
	out.status, out.stamped, out.body, out.err, out.closes = resp.StatusCode, resp.Header.Get(names.Stamp) != "", string(body), err, resp.Close
	r.add("client: %s got %d from %s, %d bytes, stamp %q, error %v", id, out.status, b.name, len(body), resp.Header.Get(names.Stamp), err)
	return out
}

// newClient returns a client that keeps up to the given number of connections to each box.
func newClient(connections int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// pace sends requests to the box at a steady rate until stop is closed, each by a call of one.
func pace(b *box, perSecond int, stop <-chan struct{}, one func(*box)) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			go one(b)
		}
	}
}

// eventsIn returns the number of whole events of the request in a stream.
func eventsIn(body, id string) int { return strings.Count(body, "data: "+id+"\n\n") }

// adviceTarget returns the target of a request for a stream.
func adviceTarget(id string, events int) string {
	return fmt.Sprintf("/advice/%s?events=%d&gap=%v", id, events, eventGap)
}

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// lateService is the service of the streams on connections that are kept during stops.
	lateService, lateTargets = "late", 3
	// lateTimeout is the deadline of these streams, longer than a stop.
	lateTimeout  = 8 * time.Second
	lateEventGap = 46 * time.Millisecond
	// usualEvents and mostEvents are the numbers of events of a usual stream and of the longest one of its route, longestEvents
	// that of a stream which nearly lasts until its deadline.
	usualEvents, mostEvents, longestEvents = 26, 66, 165
	// lateCallers is the number of callers of each box that keep their connections.
	lateCallers = 9
	// minStopPause and maxStopPause bound the time between two stops, which may overlap.
	minStopPause, maxStopPause = 2 * time.Second, 5 * time.Second
	// lateStopsEnd is the time from the last stop to the end of the run: it ends, and the box is ready again before recoveryWindow.
	lateStopsEnd = stopBound + 3*time.Second
	// refusedPause is the pause of a caller whose stream was not served.
	refusedPause = 200 * time.Millisecond
	// noticeTime is the time after a stop signal in which the platform may send the box new callers. A stop may cut requests that were
	// sent by then if their targets are at work in the last sixth of its time.
	noticeTime = 3 * time.Second
)

// startLateTargets starts the targets of lateService and writes their entries to the store.
func (e *environment) startLateTargets() error {
	for n := range lateTargets {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		t := standin.NewTarget(fmt.Sprintf("l-%d", n), lateService, e.recorder.addRun)
		t.ChangeBehaviour(func(b *standin.Behaviour) { b.EventGap = lateEventGap })
		e.lateServers = append(e.lateServers, startServer(l, t))
		if err := e.addEntry(t.ID(), t.Object(l.Addr().String(), hallName(n), "ready")); err != nil {
			return err
		}
	}
	return nil
}

// startLateRequests starts the callers that keep their connections, and the stops.
func (e *environment) startLateRequests(ctx context.Context, end time.Time, callers, actors *sync.WaitGroup) {
	for n := range lateCallers * len(e.boxes) {
		callers.Go(func() { e.keepStreaming(ctx, n, e.boxes[n%len(e.boxes)]) })
	}
	actors.Go(func() { e.runStops(ctx, end.Add(-lateStopsEnd)) })
}

// runStops makes planned stops of boxes drawn at random until the given time. It returns when the last one has ended.
func (e *environment) runStops(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 12))
	var stops sync.WaitGroup
	defer stops.Wait()
	time.Sleep(warmUp)
	for ctx.Err() == nil && time.Now().Before(until) {
		b := e.drawBox(r)
		stops.Go(func() { stopBox(e, nil, b, nil) })
		time.Sleep(minStopPause + time.Duration(r.Int64N(int64(maxStopPause-minStopPause))))
	}
}

// isEnding reports whether a signal that ends the current process was sent.
func (b *box) isEnding() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ending
}

// keepStreaming sends streams to one box on a connection that it keeps as long as the box does. A stream on one route is followed by one
// on the other, which is as long as any if the box has been told to stop meanwhile.
func (e *environment) keepStreaming(ctx context.Context, n int, b *box) {
	r := rand.New(rand.NewPCG(e.options.Seed, uint64(300+n)))
	c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	org := e.organisations[n%len(e.organisations)]
	stream := func(id, prefix string, events int) {
		q := standin.Request{ID: id, Key: org.key, Path: fmt.Sprintf("%sx/%d", prefix, events), Timeout: lateTimeout}
		if got := e.exchange(c, b, exchange{organisation: org.name, request: q, late: true}); !got.Correct {
			time.Sleep(refusedPause)
		}
	}
	for i := 0; ctx.Err() == nil; i++ {
		stream(fmt.Sprintf("k-%d-%d", n, i), standin.LongPath(lateService), usualEvents+r.IntN(longestEvents-usualEvents))
		events := usualEvents
		if b.isEnding() {
			events = mostEvents
		}
		stream(fmt.Sprintf("s-%d-%d", n, i), standin.ShortPath(lateService), events)
	}
}

// checkLateRequests reports streams that a planned stop cut although it had accepted them late, or long before its end.
func (rec *recorder) checkLateRequests(violate violationFunc) {
	var served, refused, cut, excused int
	for _, ex := range rec.exchanges {
		if !ex.late {
			continue
		}
		signal, stopping := rec.stopSignalBefore(ex)
		if !stopping || !rec.faultFree(ex.box, ex.sentAt, ex.endedAt, scopeBox) {
			continue
		}
		sent, ended := ex.sentAt.Sub(signal), ex.endedAt.Sub(signal)
		ran := len(rec.runs[ex.request.ID]) > 0
		switch {
		case ex.reply.Correct:
			served++
		case ex.reply.Status != http.StatusOK && (ex.reply.NotRun() || !ran):
			refused++
		case sent <= noticeTime && ended >= stopBound*5/6, ex.reply.TimedOut():
			excused++
		default:
			cut++
			violate("planned stop", "stream %s on a kept connection to %s was sent %v after the stop signal and cut after %v: %v", ex.request.ID, ex.box, sent, ended, ex.reply.Err)
		}
	}
	if n := served + refused + cut + excused; n > 0 {
		rec.lateSummary = fmt.Sprintf("streams sent to stopping boxes on kept connections: %d, of them %d served, %d refused, %d cut, %d excused", n, served, refused, cut, excused)
	}
}

// stopSignalBefore returns when the box that the request was sent to had been told to stop; false if it was not stopping. A box
// may be told again while it stops.
func (rec *recorder) stopSignalBefore(ex exchange) (signal time.Time, stopping bool) {
	for _, s := range rec.stops[ex.box] {
		if ex.sentAt.After(s.from) && ex.sentAt.Before(s.to) && (!stopping || s.from.Before(signal)) {
			signal, stopping = s.from, true
		}
	}
	return signal, stopping
}

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"clovertrail.dev/platform/standin"
)

const (
	// maxSeriesPause is the longest pause between two series.
	maxSeriesPause = time.Second
	// maxSignalPause is the longest time for which a box is paused while signals for it arrive: too short to
	// excuse a violation.
	maxSignalPause = 200 * time.Millisecond
	// restartSettleTime is the time after its restart from which a box may be stopped again.
	restartSettleTime = 300 * time.Millisecond
	// changesInSeries is the number of changes that follow each other, changePause the time between them.
	changesInSeries, changePause = 4, 60 * time.Millisecond
	// seriesEndTime is the time from the last series to the fault-free part of the run: that of two stops, one
	// after the other.
	seriesEndTime = 4 * time.Second
	// heldConnectionPause is the pause of a caller between two requests on its open connection.
	heldConnectionPause = 10 * time.Millisecond
)

// series are the series of signals, stops and changes that may be drawn. They return once their last signal or
// change is sent; the stops go on.
var series = []func(e *environment, r *rand.Rand, stops *sync.WaitGroup){signalTogether, stopTogether, stopAgain, changeInSeries}

// runSeries runs series of signals, stops and changes, which overlap, until the given time.
func (e *environment) runSeries(ctx context.Context, until time.Time) {
	r := rand.New(rand.NewPCG(e.options.Seed, 10))
	var stops sync.WaitGroup
	defer stops.Wait()
	time.Sleep(warmUp)
	for ctx.Err() == nil && time.Now().Before(until) {
		series[r.IntN(len(series))](e, r, &stops)
		time.Sleep(time.Duration(r.Int64N(int64(maxSeriesPause))))
	}
}

func (e *environment) drawBox(r *rand.Rand) *box { return e.boxes[r.IntN(len(e.boxes))] }

// signalTogether sends a box signals to read its settings again and to stop while it is paused, so that they
// arrive at once.
func signalTogether(e *environment, r *rand.Rand, stops *sync.WaitGroup) {
	b, pause := e.drawBox(r), time.Duration(r.Int64N(int64(maxSignalPause)))
	b.signal(syscall.SIGSTOP)
	b.signal(syscall.SIGHUP)
	stops.Go(func() { stopBox(e, nil, b, nil) })
	time.Sleep(pause)
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGHUP)
}

// stopTogether makes planned stops of two boxes at the same time.
func stopTogether(e *environment, r *rand.Rand, stops *sync.WaitGroup) {
	for range 2 {
		b := e.drawBox(r)
		stops.Go(func() { stopBox(e, nil, b, nil) })
	}
}

// stopAgain stops a box, and stops it once more shortly after it has started again.
func stopAgain(e *environment, r *rand.Rand, stops *sync.WaitGroup) {
	b := e.drawBox(r)
	stops.Go(func() {
		stopBox(e, nil, b, nil)
		time.Sleep(restartDelay + restartSettleTime)
		stopBox(e, nil, b, nil)
	})
}

// changeInSeries writes configurations and the settings of a box one after the other.
func changeInSeries(e *environment, r *rand.Rand, _ *sync.WaitGroup) {
	b := e.drawBox(r)
	for n := range changesInSeries {
		_ = e.writeNextConfiguration() // if this fails no box has the version, which the checks report
		if err := b.changeSettings(map[string]any{"max_queued": 100 + n}); err != nil {
			_, _ = fmt.Fprintf(b.log, "change of the settings failed: %v\n", err) // the box keeps its settings
		}
		b.signal(syscall.SIGHUP)
		time.Sleep(changePause)
	}
}

// changeSettings replaces the overload settings in the file of the box.
func (b *box) changeSettings(overload map[string]any) error {
	raw, err := os.ReadFile(b.settingsFile)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(raw, &settings); err != nil {
		return err
	}
	settings["overload"] = overload
	if raw, err = json.Marshal(settings); err != nil {
		return err
	}
	next := b.settingsFile + ".next"
	if err := os.WriteFile(next, raw, 0o600); err != nil {
		return err
	}
	return os.Rename(next, b.settingsFile)
}

// runHeldConnection sends requests to one box on a connection that it keeps open until the box closes it.
func (e *environment) runHeldConnection(ctx context.Context, n int, b *box) {
	c := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	org := e.organisations[n%len(e.organisations)]
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("h-%d-%d", n, i)
		e.exchange(c, b, exchange{organisation: org.name, request: standin.Request{ID: id, Key: org.key, Path: "/again/x", Timeout: callerTimeout}})
		time.Sleep(heldConnectionPause)
	}
}

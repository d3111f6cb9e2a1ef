package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// LineWriter passes log lines on to a writer without ever making the one who logs wait.
// LineWriter that come faster than the bound, or than the writer takes them, are dropped
// and counted, and a line states how many.
type LineWriter struct {
	out     io.Writer
	metrics *Metrics
	bound   int // bytes a second

	mu      sync.Mutex
	pending []byte
	left    int // of the bound, this second
	filled  time.Time
	dropped int       // since a line reported it
	toldAt  time.Time // the last such line
	wake    chan struct{}
}

// Bounds of a Lines.
const (
	// LineBytesPerSecond is the most that one process logs a second on the average: a
	// hundred and fifty lines of usual length, several times what a box logs at the
	// load of today.
	LineBytesPerSecond = 48 << 10
	// LineBurstSeconds is how many seconds' worth may come at once.
	LineBurstSeconds = 4
)

// NewLineWriter returns Lines that write to out at the most so many bytes a second.
// Flush must be running for them to be written.
func NewLineWriter(out io.Writer, m *Metrics, bytesPerSecond int) *LineWriter {
	return &LineWriter{out: out, metrics: m, bound: bytesPerSecond, left: bytesPerSecond * LineBurstSeconds, wake: make(chan struct{}, 1)}
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	l.refill(time.Now())
	if len(line) > l.left {
		l.dropped++
		l.metrics.Count(LinesDropped, "full", 1)
	} else {
		l.left -= len(line)
		l.pending = append(l.pending, line...)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a flush is due already
	}
	return len(line), nil
}

// refill adds to the allowance what the time since the last call is worth. What
// waits to be written counts against it, so that a stalled writer bounds memory.
func (l *LineWriter) refill(now time.Time) {
	most := l.bound*LineBurstSeconds - len(l.pending)
	if !l.filled.IsZero() {
		l.left += int(now.Sub(l.filled).Seconds() * float64(l.bound))
	}
	l.filled = now
	l.left = min(l.left, most)
}

// flushEvery gathers lines into one write.
const flushEvery = 100 * time.Millisecond

// tellEvery is the time between two lines that report dropped ones.
const tellEvery = time.Second

// Run writes what is logged until stop is closed, and then what is left.
func (l *LineWriter) Run(stop <-chan struct{}) {
	for {
		select {
		case <-l.wake:
		case <-stop:
			l.Flush()
			return
		}
		l.Flush()
		select {
		case <-time.After(flushEvery):
		case <-stop:
		}
	}
}

// Flush writes what is pending now.
func (l *LineWriter) Flush() {
	l.mu.Lock()
	out := l.pending
	l.pending = nil
	if now := time.Now(); l.dropped > 0 && now.Sub(l.toldAt) >= tellEvery {
		out = fmt.Appendf(out, "level=WARN msg=\"log lines dropped\" lines=%d\n", l.dropped)
		l.dropped, l.toldAt = 0, now
	}
	l.mu.Unlock()
	for len(out) > 0 {
		n := wholeLines(out)
		_, _ = l.out.Write(out[:n]) // there is nowhere to report that the log cannot be written
		out = out[n:]
	}
}

// pipeWrite is how much goes to the writer at once: what a pipe takes whole (PIPE_BUF of
// Linux), so that lines of several processes on one pipe do not mix, and nothing that reads
// a pipe piece by piece sees half a line.
const pipeWrite = 4096

// wholeLines is how many bytes of whole lines fit into one write; the first line in any
// case.
func wholeLines(out []byte) int {
	if len(out) <= pipeWrite {
		return len(out)
	}
	if end := bytes.LastIndexByte(out[:pipeWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(out, '\n'); end >= 0 {
		return end + 1
	}
	return len(out)
}

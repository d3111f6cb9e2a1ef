package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// LineWriter passes log lines on to a writer without ever blocking the goroutine that logs.
// Lines that exceed the rate limit, or that the writer is too slow to accept, are dropped and
// counted; a log line reports how many.
type LineWriter struct {
	out            io.Writer
	metrics        *Metrics
	bytesPerSecond int // rate limit

	mu           sync.Mutex
	pending      []byte
	allowance    int       // bytes that may be logged now
	lastRefill   time.Time // of the allowance
	dropped      int       // lines dropped since the last report
	lastReportAt time.Time // time of the last report of dropped lines
	wake         chan struct{}
}

// Limits of a LineWriter.
const (
	// LineBytesPerSecond is the highest average rate at which a process logs: about 150 lines
	// of usual length a second, several times what a box logs at the present load.
	LineBytesPerSecond = 48 << 10
	// LineBurstSeconds is the size of a burst: the number of seconds whose bytes may be logged
	// at once.
	LineBurstSeconds = 4
)

// NewLineWriter returns a LineWriter that writes at most bytesPerSecond to out on average.
// Lines are written while Run is running, or when Flush is called.
func NewLineWriter(out io.Writer, m *Metrics, bytesPerSecond int) *LineWriter {
	return &LineWriter{
		out:            out,
		metrics:        m,
		bytesPerSecond: bytesPerSecond,
		allowance:      bytesPerSecond * LineBurstSeconds,
		wake:           make(chan struct{}, 1),
	}
}

// Write implements io.Writer for a single line. It never waits for the output and never fails.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	l.refill(time.Now())
	if len(line) > l.allowance {
		l.dropped++
		l.metrics.Count(LinesDropped, "full", 1)
	} else {
		l.allowance -= len(line)
		l.pending = append(l.pending, line...)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default: // a flush is due already
	}
	return len(line), nil
}

// refill adds the bytes of the time since the last call to the allowance. Pending bytes count
// against the maximum, so that memory stays bounded while the writer is stalled.
func (l *LineWriter) refill(now time.Time) {
	maxAllowance := l.bytesPerSecond*LineBurstSeconds - len(l.pending)
	if !l.lastRefill.IsZero() {
		l.allowance += int(now.Sub(l.lastRefill).Seconds() * float64(l.bytesPerSecond))
	}
	l.lastRefill = now
	l.allowance = min(l.allowance, maxAllowance)
}

// flushInterval is the time between two flushes, so that several lines share one write.
const flushInterval = 100 * time.Millisecond

// reportInterval is the minimum time between two reports of dropped lines.
const reportInterval = time.Second

// Run writes pending lines until stop is closed, then flushes and returns.
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
		case <-time.After(flushInterval):
		case <-stop:
		}
	}
}

// Flush writes all pending lines.
func (l *LineWriter) Flush() {
	l.mu.Lock()
	out := l.pending
	l.pending = nil
	if now := time.Now(); l.dropped > 0 && now.Sub(l.lastReportAt) >= reportInterval {
		out = fmt.Appendf(out, "level=WARN msg=\"log lines dropped\" lines=%d\n", l.dropped)
		l.dropped, l.lastReportAt = 0, now
	}
	l.mu.Unlock()
	for len(out) > 0 {
		n := wholeLines(out)
		if _, err := l.out.Write(out[:n]); err != nil { // the log itself is the only place to report the error to
			l.metrics.Count(LinesDropped, "output failed", bytes.Count(out[:n], []byte("\n")))
		}
		out = out[n:]
	}
}

// maxWriteBytes is the size of a single write to the output. A pipe accepts so much atomically
// (PIPE_BUF on Linux), so that lines of several processes on one pipe do not mix, and a program
// that reads the pipe in pieces never sees a partial line.
const maxWriteBytes = 4096

// wholeLines returns the length of the whole lines at the start of out that fit into one write.
// It includes the first line even if that alone is longer.
func wholeLines(out []byte) int {
	if len(out) <= maxWriteBytes {
		return len(out)
	}
	if end := bytes.LastIndexByte(out[:maxWriteBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(out, '\n'); end >= 0 {
		return end + 1
	}
	return len(out)
}

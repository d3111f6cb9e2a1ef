package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/telemetry"
)

// stallableWriter is a writer that blocks while mu is held.
type stallableWriter struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *stallableWriter) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestLineWriterKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := telemetry.NewLineWriter(&out, telemetry.NewMetrics(), 1000)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			l.Run(stop)
			close(done)
		}()
		for i := range 3 {
			mustPrint(t, l, fmt.Sprintf("line %d\n", i))
			time.Sleep(time.Second)
		}
		mustPrint(t, l, "last\n")
		close(stop)
		<-done
		if out.String() != "line 0\nline 1\nline 2\nlast\n" {
			t.Errorf("got %q, want three lines and the last one in order", out.String())
		}
	})
}

// TestLineWriterLimitsRateAndCountsDroppedLines logs at ten times the rate limit for ten seconds.
func TestLineWriterLimitsRateAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bytesPerSecond, seconds = 1000, 10
		var out bytes.Buffer
		m := telemetry.NewMetrics()
		l := telemetry.NewLineWriter(&out, m, bytesPerSecond)
		line := strings.Repeat("x", 99) + "\n"
		for range 100 * seconds {
			mustPrint(t, l, line)
			time.Sleep(10 * time.Millisecond)
			l.Flush()
		}
		if limit := bytesPerSecond * (seconds + telemetry.LineBurstSeconds) * 3 / 2; out.Len() > limit {
			t.Errorf("wrote %d bytes in %d s, want at most %d at a limit of %d a second", out.Len(), seconds, limit, bytesPerSecond)
		}
		dropped := m.Totals(telemetry.LinesDropped)["full"]
		written := float64(strings.Count(out.String(), "x\n"))
		if dropped+written != 100*seconds {
			t.Errorf("%v lines dropped and %v written, want a sum of %d", dropped, written, 100*seconds)
		}
		if !strings.Contains(out.String(), "log lines dropped") {
			t.Error("no line reports the dropped lines")
		}
	})
}

func TestStalledOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stallableWriter{}
		out.mu.Lock()
		l := telemetry.NewLineWriter(out, telemetry.NewMetrics(), 1000)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			l.Run(stop)
			close(done)
		}()
		start := time.Now()
		for range 1000 {
			mustPrint(t, l, "a line that nobody reads\n")
		}
		if d := time.Since(start); d != 0 {
			t.Errorf("logging took %v, want no time while the output is stalled", d)
		}
		out.mu.Unlock()
		close(stop)
		<-done
		if n := strings.Count(out.String(), "nobody reads"); n == 0 || n > 1000*telemetry.LineBurstSeconds/25 {
			t.Errorf("%d lines were kept, want 1 to %d", n, 1000*telemetry.LineBurstSeconds/25)
		}
	})
}

func TestMetricsWriteHistogramsAndGauges(t *testing.T) {
	m := telemetry.NewMetrics()
	m.Observe(telemetry.StoreCalls, "list", 3*time.Millisecond)
	m.Set(telemetry.ConfigSeq, "", 7)
	var out bytes.Buffer
	m.Write(&out)
	for _, want := range []string{`clovertrail_config_seq 7`, `clovertrail_store_call_seconds_count{reason="list"} 1`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

// mustPrint writes a line to l. Write returns no error, also for a line that it drops.
func mustPrint(t *testing.T, l *telemetry.LineWriter, line string) {
	t.Helper()
	if _, err := fmt.Fprint(l, line); err != nil {
		t.Error(err)
	}
}

// writeRecorder records each call of Write.
type writeRecorder struct{ writes [][]byte }

func (w *writeRecorder) Write(b []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(b))
	return len(b), nil
}

// TestFlushWritesWholeLinesWithinPipeBuffer checks that a flush of many pending lines is split into
// writes of whole lines that a pipe accepts atomically, and that no line is lost.
func TestFlushWritesWholeLinesWithinPipeBuffer(t *testing.T) {
	out := &writeRecorder{}
	l := telemetry.NewLineWriter(out, telemetry.NewMetrics(), 1<<20)
	var want []byte
	for i := range 100 {
		line := fmt.Appendf(nil, "line %d %s\n", i, strings.Repeat("x", i*7))
		want = append(want, line...)
		_, _ = l.Write(line) // never fails
	}
	long := append(bytes.Repeat([]byte("y"), 9000), '\n')
	_, _ = l.Write(long)
	l.Flush()
	const pipeBuf = 4096 // PIPE_BUF on Linux
	for _, b := range out.writes {
		if b[len(b)-1] != '\n' || len(b) > pipeBuf && !bytes.Equal(b, long) {
			t.Errorf("write of %d bytes that ends with %q, want whole lines of at most %d bytes or the long line alone", len(b), b[len(b)-1], pipeBuf)
		}
	}
	if got := bytes.Join(out.writes, nil); !bytes.Equal(got, append(want, long...)) {
		t.Errorf("wrote %d bytes, want the %d logged ones unchanged", len(got), len(want)+len(long))
	}
}

// failingWriter is an output that nobody reads any more.
type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// TestLinesOfFailedOutputAreCounted guards against log lines that are lost without a trace.
func TestLinesOfFailedOutputAreCounted(t *testing.T) {
	m := telemetry.NewMetrics()
	l := telemetry.NewLineWriter(failingWriter{}, m, 1<<20)
	for i := range 3 {
		mustPrint(t, l, fmt.Sprintf("line %d\n", i))
	}
	l.Flush()
	if got := m.Totals(telemetry.LinesDropped)["output failed"]; got != 3 {
		t.Errorf("%v lines were counted, want 3", got)
	}
}

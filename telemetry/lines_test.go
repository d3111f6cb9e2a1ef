package telemetry_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"clovertrail.dev/telemetry"
)

// stalled is a writer that takes nothing until it is let go.
type stalled struct {
	mu sync.Mutex
	bytes.Buffer
}

func (s *stalled) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Buffer.Write(b)
}

func TestLinesArriveInOrder(t *testing.T) {
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
			t.Errorf("got %q", out.String())
		}
	})
}

// TestAStormOfLinesIsBoundedAndCounted logs far more than the bound for ten seconds.
func TestAStormOfLinesIsBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, seconds = 1000, 10
		var out bytes.Buffer
		m := telemetry.NewMetrics()
		l := telemetry.NewLineWriter(&out, m, bound)
		line := strings.Repeat("x", 99) + "\n"
		for range 100 * seconds {
			mustPrint(t, l, line)
			time.Sleep(10 * time.Millisecond)
			l.Flush()
		}
		if most := bound * (seconds + telemetry.LineBurstSeconds) * 3 / 2; out.Len() > most {
			t.Errorf("%d bytes in %d s, the bound is %d a second", out.Len(), seconds, bound)
		}
		dropped := m.Totals(telemetry.LinesDropped)["full"]
		written := float64(strings.Count(out.String(), "x\n"))
		if dropped+written != 100*seconds {
			t.Errorf("%v lines dropped and %v written of %d", dropped, written, 100*seconds)
		}
		if !strings.Contains(out.String(), "log lines dropped") {
			t.Error("no line says so")
		}
	})
}

func TestAStalledReaderStallsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stalled{}
		out.mu.Lock()
		l := telemetry.NewLineWriter(out, telemetry.NewMetrics(), 1000)
		stop, done := make(chan struct{}), make(chan struct{})
		go func() {
			l.Run(stop)
			close(done)
		}()
		began := time.Now()
		for range 1000 {
			mustPrint(t, l, "a line that nobody reads\n")
		}
		if d := time.Since(began); d != 0 {
			t.Errorf("logging took %v", d)
		}
		out.mu.Unlock()
		close(stop)
		<-done
		if n := strings.Count(out.String(), "nobody reads"); n == 0 || n > 1000*telemetry.LineBurstSeconds/25 {
			t.Errorf("%d lines were kept", n)
		}
	})
}

func TestHistogramsAndGaugesAreServed(t *testing.T) {
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

// mustPrint logs a line; lines are dropped without an error.
func mustPrint(t *testing.T, l *telemetry.LineWriter, line string) {
	t.Helper()
	if _, err := fmt.Fprint(l, line); err != nil {
		t.Error(err)
	}
}

// writes keeps each write.
type writes struct{ all [][]byte }

func (w *writes) Write(b []byte) (int, error) {
	w.all = append(w.all, bytes.Clone(b))
	return len(b), nil
}

// TestLinesAreWrittenWholeInPiecesThatAPipeTakes: many lines that gathered are several
// writes of whole lines, and none is lost.
func TestLinesAreWrittenWholeInPiecesThatAPipeTakes(t *testing.T) {
	out := &writes{}
	l := telemetry.NewLineWriter(out, telemetry.NewMetrics(), 1<<20)
	var want []byte
	for i := range 100 {
		line := fmt.Appendf(nil, "line %d %s\n", i, strings.Repeat("x", i*7))
		want = append(want, line...)
		_, _ = l.Write(line) // it never fails
	}
	long := append(bytes.Repeat([]byte("y"), 9000), '\n')
	_, _ = l.Write(long)
	l.Flush()
	const pipe = 4096
	for _, b := range out.all {
		if b[len(b)-1] != '\n' || len(b) > pipe && !bytes.Equal(b, long) {
			t.Errorf("a write of %d bytes that ends with %q", len(b), b[len(b)-1])
		}
	}
	if got := bytes.Join(out.all, nil); !bytes.Equal(got, append(want, long...)) {
		t.Errorf("%d bytes of %d were written", len(got), len(want)+len(long))
	}
}

package eventstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/big"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"clovertrail.dev/eventstream"
)

// receiver passes the bytes of a run through a Run as a forwarder does.
type receiver struct {
	run       *eventstream.Run
	pending   []byte
	forwarded string
	events    int
	lastID    string
	unplaced  bool
	err       error
}

func newReceiver(after string) *receiver { return &receiver{run: eventstream.NewRun(after)} }

// read adds the bytes of one read.
func (r *receiver) read(text string) {
	r.pending = append(r.pending, text...)
	r.scan(false)
}

// end ends the run.
func (r *receiver) end() { r.scan(true) }

// scan forwards whole events, unless the run has failed.
func (r *receiver) scan(ended bool) {
	if r.err != nil {
		return
	}
	var b eventstream.Batch
	b, r.err = r.run.Scan(r.pending, ended)
	r.forwarded += string(r.pending[:b.Length])
	r.pending = r.pending[b.Length:]
	r.events += b.Events
	if b.LastID != "" {
		r.lastID = b.LastID
	}
	if b.Events > 0 {
		r.unplaced = b.Unplaced
	}
}

// TestRunForwards guards against events out of order that reach a caller, and against events in order that do not.
func TestRunForwards(t *testing.T) {
	for _, tc := range []struct {
		name      string
		after     string
		reads     []string
		open      bool // the run has not ended
		forwarded string
		events    int
		lastID    string
		err       string
	}{
		{"in order", "", []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"}, false, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2", ""},
		{"within an event", "", []string{"id: 1\nda", "ta: a\n", "\nid: 2\n"}, false, "id: 1\ndata: a\n\n", 1, "1", ""},
		{"no space after the colon", "", []string{"id:1\n\nid:1\n\n"}, false, "id:1\n\n", 1, "1", "event 1 follows event 1"},
		{"another field first", "", []string{"weights: 2\nid: 4\n\nweights: 3\nid: 3\n\n"}, false, "weights: 2\nid: 4\n\n", 1, "4", "event 3 follows event 4"},
		{"data that looks like an ID", "", []string{"id: 4\ndata: x\n\ndata: id: 3\nid: 5\n\n"}, false, "id: 4\ndata: x\n\ndata: id: 3\nid: 5\n\n", 2, "5", ""},
		{"a comment that looks like an ID", "", []string{"id: 4\n\n:id: 3\nid: 5\n\n"}, false, "id: 4\n\n:id: 3\nid: 5\n\n", 2, "5", ""},
		{"the last ID of an event counts", "", []string{"id: 4\nid: 6\n\nid: 5\n\n"}, false, "id: 4\nid: 6\n\n", 1, "6", "event 5 follows event 6"},
		{"a jump", "", []string{"id: 1\n\nid: 9\n\n"}, false, "id: 1\n\nid: 9\n\n", 2, "9", ""},
		{"numbers, not texts", "", []string{"id: 9\n\nid: 10\n\n"}, false, "id: 9\n\nid: 10\n\n", 2, "10", ""},
		{"leading zeros", "", []string{"id: 9\n\nid: 009\n\n"}, false, "id: 9\n\n", 1, "9", "event 009 follows event 9"},
		{"more than 64 bits", "", []string{"id: 99999999999999999999\n\nid: 100000000000000000000\n\nid: 5\n\n"}, false, "id: 99999999999999999999\n\nid: 100000000000000000000\n\n", 2, "100000000000000000000", "event 5 follows event 100000000000000000000"},
		{"zero first", "", []string{"id: 0\n\nid: 1\n\n"}, false, "id: 0\n\nid: 1\n\n", 2, "1", ""},
		{"back", "", []string{"id: 1\n\nid: 2\n\nid: 1\n\nid: 3\n\n"}, false, "id: 1\n\nid: 2\n\n", 2, "2", "event 1 follows event 2"},
		{"back in a later read", "", []string{"id: 1\n\nid: 2\n\n", "id: 1\n\n"}, false, "id: 1\n\nid: 2\n\n", 2, "2", "event 1 follows event 2"},
		{"continued", "2", []string{"id: 3\n\n"}, false, "id: 3\n\n", 1, "3", ""},
		{"continued with the last event", "2", []string{"id: 2\n\nid: 3\n\n"}, false, "", 0, "", "event 2 follows event 2"},
		{"begun again", "2", []string{"id: 1\n\nid: 2\n\n"}, false, "", 0, "", "event 1 follows event 2"},
		{"no IDs", "", []string{"data: a\n\ndata: a\n\n"}, false, "data: a\n\ndata: a\n\n", 2, "", ""},
		{"back after an event without an ID", "", []string{"id: 2\n\ndata: a\n\nid: 1\n\n"}, false, "id: 2\n\ndata: a\n\n", 2, "2", "event 1 follows event 2"},
		{"an empty ID", "", []string{"id: 2\n\ndata\nid\n\ndata\nid:\n\nid: 2\n\n"}, false, "id: 2\n\ndata\nid\n\ndata\nid:\n\n", 3, "2", "event 2 follows event 2"},
		{"an ID with a null character", "", []string{"id: 2\nid: 1\x00\n\nid: 3\n\n"}, false, "id: 2\nid: 1\x00\n\nid: 3\n\n", 2, "3", ""},
		{"IDs that are no numbers", "", []string{"id: b\n\nid: a\n\nid: -1\n\n"}, false, "id: b\n\nid: a\n\nid: -1\n\n", 3, "-1", ""},
		{"an ID that is no number twice", "", []string{"id: b\n\nid: b\n\n"}, false, "id: b\n\n", 1, "b", "event b follows event b"},
		{"continued after an ID that is no number", "b", []string{"id: b\n\n"}, false, "", 0, "", "event b follows event b"},
		{"back after an ID that is no number", "", []string{"id: 2\n\nid: a\n\nid: 1\n\n"}, false, "id: 2\n\nid: a\n\n", 2, "a", "event 1 follows event 2"},
		{"CRLF", "", []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n"}, true, "id: 1\r\ndata: a\r\n\r\nid: 2\r\n\r\n", 2, "2", ""},
		{"CRLF, back", "", []string{"id: 2\r\n\r\nid: 1\r\n\r\n"}, true, "id: 2\r\n\r\n", 1, "2", "event 1 follows event 2"},
		{"CRLF, split", "", []string{"id: 1\r", "\n\r", "\nid: 2\r\n\r"}, true, "id: 1\r\n\r\n", 1, "1", ""},
		{"CRLF, split, ended", "", []string{"id: 1\r", "\n\r", "\nid: 2\r\n\r"}, false, "id: 1\r\n\r\nid: 2\r\n\r", 2, "2", ""},
		{"CR", "", []string{"id: 1\rdata: a\r\rid: 2\r\r"}, true, "id: 1\rdata: a\r\rid: 2\r\r", 2, "2", ""},
		{"CR, back", "", []string{"id: 2\r\r", "id: 1\r\r"}, true, "id: 2\r\r", 1, "2", "event 1 follows event 2"},
		{"CR, then half of an event's end", "", []string{"id: 1\r\r", "\nid: 2\n"}, true, "id: 1\r\r\n", 1, "1", ""},
		{"all line ends", "", []string{"id: 1\ndata: a\r\r\nid: 2\r\n\nid: 3\n\r"}, false, "id: 1\ndata: a\r\r\nid: 2\r\n\nid: 3\n\r", 3, "3", ""},
		{"empty lines", "", []string{"\n\r\r\n", "id: 1\n\n\n"}, true, "\n\r\r\nid: 1\n\n\n", 1, "1", ""},
		{"comments", "", []string{": ping\n\n", ":\n\nid: 1\n: x\n\n: ping\n\n"}, true, ": ping\n\n:\n\nid: 1\n: x\n\n: ping\n\n", 1, "1", ""},
		{"fields without data and ID", "", []string{"retry: 9\n\nevent: x\n\nweights: 2\n\n"}, true, "retry: 9\n\nevent: x\n\nweights: 2\n\n", 0, "", ""},
		{"data without a colon", "", []string{"data\n\n"}, true, "data\n\n", 1, "", ""},
		{"another field whose name begins alike", "", []string{"id: 2\n\ndata: x\nidx: 1\n\nid: 3\n\n"}, false, "id: 2\n\ndata: x\nidx: 1\n\nid: 3\n\n", 3, "3", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := newReceiver(tc.after)
			for _, text := range tc.reads {
				r.read(text)
			}
			if !tc.open {
				r.end()
			}
			if r.forwarded != tc.forwarded || r.events != tc.events || r.lastID != tc.lastID {
				t.Errorf("forwarded %q, %d events, last ID %q", r.forwarded, r.events, r.lastID)
			}
			if got := errorText(r.err); got != tc.err {
				t.Errorf("error %q, want %q", got, tc.err)
			}
		})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func TestOrderErrorNamesEvents(t *testing.T) {
	r := newReceiver("7")
	r.read("id: 3\n\n")
	var e *eventstream.OrderError
	if !errors.As(r.err, &e) || e.ID() != "3" || e.Last() != "7" {
		t.Errorf("error %v", r.err)
	}
}

// TestBatchAfterWhichNoRunCanContinue guards against continuing a stream after an event that no ID names.
func TestBatchAfterWhichNoRunCanContinue(t *testing.T) {
	for text, want := range map[string]bool{
		"": false, "id: 1\n\n": false, "data\n\n": true, "id: 1\n\ndata\n\n": true, "data\n\nid: 1\n\n": false,
		"id: 1\n\n: ping\n\n": false, "data\n\n: ping\n\n": true, "id: 1\n\ndata\nid\n\n": true,
	} {
		r := newReceiver("")
		if r.read(text); r.unplaced != want {
			t.Errorf("%q: unplaced %v, want %v", text, r.unplaced, want)
		}
	}
}

// TestFailedRunForwardsNothing guards against a run that goes on after an event out of order.
func TestFailedRunForwardsNothing(t *testing.T) {
	run := eventstream.NewRun("7")
	buf := []byte("id: 3\n\n")
	_, failed := run.Scan(buf, false)
	b, err := run.Scan(append(buf, "id: 8\n\n"...), false)
	if failed == nil || !errors.Is(err, failed) || b != (eventstream.Batch{}) {
		t.Errorf("batch %+v, error %v", b, err)
	}
}

// block is an event as a test draws it.
type block struct {
	id   string // empty for none
	text string
}

// drawBlock draws an event that follows the text. Its ID is often the next one, so that runs are long, and seldom out of order.
func drawBlock(rt *rapid.T, text string, next int) block {
	var b block
	endLine := func() { b.text += drawEnd(rt, text+b.text) }
	for range rapid.IntRange(0, 3).Draw(rt, "lines") {
		b.text += rapid.SampledFrom([]string{"data: x", "data", ": id: 1", "id2: 1", "weights: 2"}).Draw(rt, "line")
		endLine()
	}
	if rapid.IntRange(0, 5).Draw(rt, "identified") > 0 {
		n := next + rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 0, 1, 7, 1000, -1, -2}).Draw(rt, "step")
		b.id = fmt.Sprint(max(n, 0))
		b.text += "id:" + rapid.SampledFrom([]string{" ", "", " 00"}).Draw(rt, "space") + b.id
		endLine()
	}
	endLine()
	return b
}

// drawEnd draws the end of the line at the end of the text. An LF that follows a CR would be a part of that line's end.
func drawEnd(rt *rapid.T, text string) string {
	ends := []string{"\r", "\r\n", "\n"}
	if strings.HasSuffix(text, "\r") {
		ends = ends[:2]
	}
	return rapid.SampledFrom(ends).Draw(rt, "end")
}

// rises reports whether the whole number is larger than the other; an empty one is the smallest.
func rises(id, last string) bool {
	a, _ := new(big.Int).SetString(id, 10)
	b, ok := new(big.Int).SetString(last, 10)
	return !ok || a.Cmp(b) > 0
}

// TestAnyReadsForwardSameEvents draws a stream and the reads in which it arrives. What is forwarded must be the events before the
// first one that is out of order, after each read a prefix of them that ends with an event, whatever the reads.
func TestAnyReadsForwardSameEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		after := rapid.SampledFrom([]string{"", "3"}).Draw(rt, "after")
		last, text, want, ordered := after, "", "", true
		ends := []int{0} // lengths of the text at which an event ends
		for i := range rapid.IntRange(0, 8).Draw(rt, "events") {
			b := drawBlock(rt, text, i+4)
			text += b.text
			if ordered = ordered && (b.id == "" || rises(b.id, last)); ordered {
				want += b.text
				ends = append(ends, len(text))
				if b.id != "" {
					last = b.id
				}
			}
		}
		r := newReceiver(after)
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, min(len(rest), 20)).Draw(rt, "read")
			r.read(rest[:n])
			rest = rest[n:]
			n = len(r.forwarded)
			if half := strings.HasSuffix(r.forwarded, "\r") && strings.HasPrefix(text[n:], "\n"); half {
				n++
			}
			if !slices.Contains(ends, n) {
				rt.Fatalf("forwarded %q, which does not end with an event in order, of %q", r.forwarded, text)
			}
		}
		r.end()
		if r.forwarded != want || (r.err == nil) != ordered {
			rt.Fatalf("forwarded %q, error %v, of %q after %q; want %q", r.forwarded, r.err, text, after, want)
		}
	})
}

// TestScannedBytesAreNotScannedAgain guards against scanning the bytes of a long event again for each read: it replaces them
// by empty lines after their scan.
func TestScannedBytesAreNotScannedAgain(t *testing.T) {
	run, buf := eventstream.NewRun(""), []byte(nil)
	for range 100 {
		buf = append(buf, "data: x"...)
		if b, err := run.Scan(buf, false); err != nil || b.Length > 0 {
			t.Fatalf("batch %+v, error %v", b, err)
		}
		copy(buf, bytes.Repeat([]byte("\n"), len(buf)))
	}
}

// FuzzScan checks that any bytes are forwarded alike in one read and byte by byte, and that the IDs of what is forwarded rise.
func FuzzScan(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", "")
	f.Add("id: 2\r\n\r\nid:2\r\rid: 1\n\n", "1")
	f.Add(": ping\n\nid: a\n\nid: a\n\n", "a")
	f.Fuzz(func(t *testing.T, text, after string) {
		whole, bytewise := newReceiver(after), newReceiver(after)
		whole.read(text)
		for i := range len(text) {
			bytewise.read(text[i : i+1])
		}
		whole.end()
		bytewise.end()
		if whole.forwarded != bytewise.forwarded || whole.events != bytewise.events || errorText(whole.err) != errorText(bytewise.err) {
			t.Errorf("%q in one read: %+v; byte by byte: %+v", text, whole, bytewise)
		}
		if !strings.HasPrefix(text, whole.forwarded) {
			t.Errorf("%q forwarded of %q", whole.forwarded, text)
		}
		again := newReceiver(after)
		again.read(whole.forwarded)
		again.end()
		if again.err != nil || again.forwarded != whole.forwarded {
			t.Errorf("what was forwarded of %q is not in order: %v", text, again.err)
		}
	})
}

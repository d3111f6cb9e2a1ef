package eventstream

import "bytes"

// Run finds the events of one run of a stream. It is not safe for concurrent use.
type Run struct {
	order   order
	event   event // the event that has not ended
	line    int   // where the line begins that has not ended, in the buffer
	scanned int   // bytes of the buffer that were scanned
	err     error // set once an event was out of order
}

// NewRun returns a run that continues a stream after the event with the ID; empty for a run from the beginning.
func NewRun(after string) *Run { return &Run{order: startAfter(after)} }

// Scan returns the whole events at the beginning of buf, which holds the bytes that the run has sent, less those of earlier
// batches. Bytes that an earlier call has scanned are not scanned again. The error is an *OrderError if another event follows
// the batch that must not follow it; the run has then failed, and each further call returns that error.
func (r *Run) Scan(buf []byte) (Batch, error) {
	var b Batch
	for r.err == nil {
		line, whole := r.nextLine(buf)
		if !whole {
			break
		}
		if len(line) > 0 {
			r.event.add(line)
			continue
		}
		if r.err = r.order.advance(r.event.id); r.err == nil {
			b.add(r.event, r.line)
			r.event = event{}
		}
	}
	r.line -= b.Length
	r.scanned -= b.Length
	return b, r.err
}

// nextLine returns the next line of the buffer without its end; false if it has not ended.
func (r *Run) nextLine(buf []byte) (line []byte, whole bool) {
	n := bytes.IndexByte(buf[r.scanned:], '\n')
	if n < 0 {
		r.scanned = len(buf)
		return nil, false
	}
	line = buf[r.line : r.scanned+n]
	r.scanned += n + 1
	r.line = r.scanned
	return line, true
}

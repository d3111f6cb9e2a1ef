package eventstream

import "bytes"

// Run finds the events of one run of a stream. It is not safe for concurrent use.
type Run struct {
	order   order
	event   event // the event that has not ended
	line    int   // where the line begins that has not ended, in the buffer
	scanned int   // bytes of the buffer that were scanned
	cr      bool  // the last line ended with a CR at the end of the buffer, which may be half of a CRLF
	crlf    bool  // a line ended with CRLF
	err     error // set once an event was out of order
}

// NewRun returns a run that continues a stream after the event with the ID; empty for a run from the beginning.
func NewRun(after string) *Run { return &Run{order: startAfter(after)} }

// Scan returns the whole events at the beginning of buf, which holds the bytes that the run has sent, less those of earlier
// batches; ended states that it sends no more. Bytes that an earlier call has scanned are not scanned again. The error is an
// *OrderError if another event follows the batch that must not follow it; the run has then failed, and each further call returns
// that error.
func (r *Run) Scan(buf []byte, ended bool) (Batch, error) {
	var b Batch
	if r.err == nil {
		b.Length = r.endCRLF(buf)
	}
	for r.err == nil {
		line, whole := r.nextLine(buf, ended)
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
func (r *Run) nextLine(buf []byte, ended bool) (line []byte, whole bool) {
	n := bytes.IndexAny(buf[r.scanned:], "\r\n")
	if n < 0 {
		r.scanned = len(buf)
		return nil, false
	}
	end := r.scanned + n
	cr := buf[end] == '\r'
	if cr && r.crlf && end+1 == len(buf) && !ended {
		r.scanned = end
		return nil, false
	}
	line = buf[r.line:end]
	r.line, r.scanned, r.cr = end+1, end+1, cr
	r.endCRLF(buf)
	return line, true
}

// endCRLF skips an LF that follows the CR at the end of the last line. It returns the number of bytes by which that lengthens
// the event that was the last of an earlier batch.
func (r *Run) endCRLF(buf []byte) int {
	if !r.cr || r.scanned == len(buf) {
		return 0
	}
	r.cr = false
	if buf[r.scanned] != '\n' {
		return 0
	}
	r.crlf = true
	r.line++
	r.scanned++
	if r.scanned == 1 {
		return 1
	}
	return 0
}

package limit

import "io"

// NestingReader reads JSON and replaces each array or object that is nested deeper than a limit by null. A decoder that has a
// limit of its own fails as a whole instead, together with what stands beside the value.
//
// What is no JSON stays so.
type NestingReader struct {
	from     io.Reader
	maxDepth int
	depth    int  // of the arrays and objects that are open
	inString bool // also of strings that are left out
	escaped  bool // the next byte of the string is escaped

	in, out []byte // buffers of fill
	pending []byte // the part of out that is not returned yet
	err     error  // of the last read, returned after pending
}

// NewNestingReader returns a NestingReader that keeps maxDepth levels.
func NewNestingReader(from io.Reader, maxDepth int) *NestingReader {
	return &NestingReader{from: from, maxDepth: maxDepth}
}

// readBytes is the size of one read.
const readBytes = 4 << 10

// Read implements io.Reader.
func (r *NestingReader) Read(p []byte) (int, error) {
	for len(r.pending) == 0 && r.err == nil {
		r.fill()
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	if len(r.pending) > 0 {
		return n, nil
	}
	return n, r.err
}

// fill reads once.
func (r *NestingReader) fill() {
	if r.in == nil {
		r.in = make([]byte, readBytes)
	}
	n, err := r.from.Read(r.in)
	r.out, r.err = r.out[:0], err
	for _, b := range r.in[:n] {
		kept, replaced := r.next(b)
		switch {
		case replaced:
			r.out = append(r.out, "null"...)
		case kept:
			r.out = append(r.out, b)
		}
	}
	r.pending = r.out
}

// next takes the next byte. It reports whether the byte is kept, and whether it begins a value that is replaced.
func (r *NestingReader) next(b byte) (kept, replaced bool) {
	switch {
	case r.escaped:
		r.escaped = false
	case r.inString:
		r.escaped, r.inString = b == '\\', b != '"'
	case b == '"':
		r.inString = true
	case b == '[', b == '{':
		r.depth++
		if r.depth == r.maxDepth+1 {
			return false, true
		}
	case b == ']', b == '}':
		r.depth--
		return r.depth < r.maxDepth, false
	}
	return r.depth <= r.maxDepth, false
}

package limit

import "io"

// Reader reads up to a limit, and fails if there is more.
type Reader struct {
	from     io.Reader
	exceeded *Error
	left     int64 // -1 once the limit is exceeded
}

// NewReader returns a Reader. The argument what names what is read in the error.
func NewReader(from io.Reader, what string, maxBytes int64) *Reader {
	return &Reader{from: from, exceeded: New(what, maxBytes), left: maxBytes}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, r.exceeded
	}
	if int64(len(p)) > r.left+1 { // one more than the limit shows whether there is more
		p = p[:r.left+1]
	}
	n, err := r.from.Read(p)
	if int64(n) > r.left {
		n = int(r.left)
		r.left = -1
		return n, r.exceeded
	}
	r.left -= int64(n)
	return n, err
}

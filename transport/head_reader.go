package transport

import (
	"errors"
	"io"
	"strings"

	"clovertrail.dev/core/limit"
)

// maxHeadBytes limits the head of a response with the interim responses before it. Heads of targets are some hundred bytes, and
// this is four times what boxes accept of callers by default. A head of many short lines takes 15 times its size while it is parsed.
const maxHeadBytes = 64 << 10

// maxErrorBytes limits the text of the error of a malformed head, which may quote a whole line and gets into logs.
const maxErrorBytes = 200

var errLongHead = limit.New("the head of a response", maxHeadBytes)

// headReader reads from a connection. While a head is read, it fails once maxHeadBytes have been read, which include what is
// buffered of the body behind the head.
type headReader struct {
	from     io.Reader
	limited  bool
	left     int             // bytes that may still be read while limited
	exceeded bool            // more than that was to be read
	encoding encodingScanner // of the head that is read
}

// begin limits what is read from now on.
func (r *headReader) begin() { r.limited, r.left, r.exceeded = true, maxHeadBytes, false }

// nextHead begins a head, of which some bytes have been read already.
func (r *headReader) nextHead(begin []byte) {
	r.encoding = encodingScanner{}
	r.encoding.scan(begin)
}

// end removes the limit once a head has been read, or reading it has failed with err. It returns the error of the limit in
// place of err if that is the cause: the parser of heads reports a line that is cut off as malformed.
func (r *headReader) end(err error) error {
	r.limited = false
	switch {
	case err == nil:
		return nil
	case r.exceeded:
		return errLongHead
	case len(err.Error()) > maxErrorBytes:
		return errors.New(strings.ToValidUTF8(err.Error()[:maxErrorBytes], "") + "...")
	default:
		return err
	}
}

// Read implements io.Reader.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.limited {
		return r.from.Read(p)
	}
	if r.left == 0 {
		r.exceeded = true
		return 0, errLongHead
	}
	n, err := r.from.Read(p[:min(len(p), r.left)])
	r.left -= n
	r.encoding.scan(p[:n])
	return n, err
}

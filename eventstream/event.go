package eventstream

import "bytes"

// event is what is known of an event from its lines so far.
type event struct {
	id   string
	data bool // it has data
}

// add reads one line. Lines that begin with a colon are comments: the name of their field is empty.
func (e *event) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "data":
		e.data = true
	case "id":
		if bytes.IndexByte(value, 0) < 0 { // the format ignores IDs with a null character
			e.id = string(bytes.TrimSpace(value))
		}
	}
}

// counts reports whether it is an event, and not comments or other fields alone.
func (e *event) counts() bool { return e.data || e.id != "" }

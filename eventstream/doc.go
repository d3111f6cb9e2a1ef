// Package eventstream finds whole events in the bytes of an event stream and checks their order.
//
// A stream reaches its caller in one run, or in several if it is resumed at another target after the last event that the
// caller has. The caller must get each event once and in order, so the IDs of events must rise within a run and over all runs
// of a stream. IDs that are whole numbers are compared as numbers of any length; they need not be consecutive. Other IDs
// have no order: they are passed on, except one that equals the ID before it, because an event that comes twice does more harm
// than a stream that is broken off. Events without an ID are passed on, but no run can continue a stream
// after one. Comments, which keep a connection alive, are passed on too but are no events: they do not show how far a stream got.
//
// Lines end with LF, CRLF or CR, and an event with an empty line. A CR at the end of the bytes so far may be the first half of
// a CRLF. If a line of the run ended with CRLF, the event waits for the second half, so that no caller gets half a line end from
// one run and the rest of the stream from another. Otherwise it is passed on at once, since the run may use CR alone, and the next
// bytes may come much later.
//
// The package does no I/O. The caller of Scan keeps the bytes that do not form a whole event yet, and bounds them.
//
// # Usage
//
//	run := eventstream.NewRun(lastEventID)
//	for {
//		// read, and append to buf
//		batch, err := run.Scan(buf, ended)
//		// forward buf[:batch.Length], and remove it from buf
//		if err != nil { ... } // an *OrderError: what follows must not reach the caller
//	}
package eventstream

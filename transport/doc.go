// Package transport carries single HTTP/1.1 requests to targets over connections
// that it keeps, with the codec of net/http.
//
// It is not http.Transport because a load balancer must know things that one
// hides: whether any byte of a request left the box, which alone allows to report that
// it did not run; that nothing is ever sent twice behind its back; and that an
// answer that comes where another was due belongs to a request before it, and the
// right one may follow. A connection serves one request at a time. One on which
// anything unexpected is waiting is not used again.
//
// # Usage
//
//	p := transport.NewPool(transport.Dial(settings), limits)
//	x, err := p.Open(ctx, "10.1.0.42:8446", transport.Fresh)
//	err = x.Send(req)               // x.Sent reports whether a byte left
//	resp, err := x.Receive(func(r *http.Response) bool { return r.Header.Get("X") == id })
//	... read resp.Body ...
//	x.Close()                       // keeps the connection if it is clean
package transport

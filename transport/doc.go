// Package transport sends single HTTP/1.1 requests to targets over a pool of connections, with the
// codec of net/http.
//
// It does not use http.Transport because a load balancer needs guarantees that http.Transport does not
// give. It must know whether any byte of a request left the box: only if none did can it report that
// the request was not executed. No request may be sent twice without its knowledge. And a response that
// belongs to an earlier request must be skipped, since the awaited response may follow it. A connection
// serves one request at a time. A connection with unexpected data to read is not used again.
//
// # Usage
//
//	p := transport.NewPool(transport.Dial(timeouts), settings)
//	x, err := p.Open(ctx, "10.1.0.42:8446", transport.DialNew)
//	err = x.Send(req)               // x.Sent reports whether a byte left
//	resp, err := x.Receive(req, func(r *http.Response) bool { return r.Header.Get("X") == id })
//	... read resp.Body ...
//	x.Close()                       // returns the connection to the pool if it is clean
package transport

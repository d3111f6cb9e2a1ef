// Package wellformed checks that responses are well-formed HTTP, where the parser of net/http is lenient.
//
// The parser accepts any status of three digits, and names of fields with blanks. Such a response comes from a server in trouble, and
// what it states is not what it says: "Content-Length : 5" states no length, so that the end of the body is another one, and a status
// below 100 makes the body pass for the next response.
//
// # Usage
//
//	resp, err := http.ReadResponse(r, req)
//	if err == nil {
//		err = wellformed.Response(resp) // of class Error; nothing of the response may be used
//	}
//
// At the end of a chunked body, Fields checks resp.Trailer. Requests that are sent by an http.Client are sent with Do.
package wellformed

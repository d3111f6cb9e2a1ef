// Package wellformed checks that responses are well-formed HTTP, where the parser of net/http is lenient.
//
// The parser accepts any status of three digits, and names of fields with blanks. Servers in trouble send such responses, and their
// bodies seem to be others: "Content-Length : 5" states no length, and what follows a status below 100 passes for the next response.
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

// Package wellformed checks that responses are well-formed HTTP, where the parser of net/http is lenient.
//
// The parser accepts any status of three digits and any version. Such a response comes from a server in trouble, and its parts are not
// what they seem: a status below 100 makes the body pass for the next response.
//
// # Usage
//
//	resp, err := http.ReadResponse(r, req)
//	if err == nil {
//		err = wellformed.Response(resp) // of class Error; nothing of the response may be used
//	}
package wellformed

// Package limit bounds what is read from peers that may send without end.
//
// # Usage
//
//	r := limit.NewReader(resp.Body, "the report", maxReportBytes)
//	err := json.NewDecoder(r).Decode(&report) // limit.IsExceeded(err) if the body is longer
//
// Sizes are in bytes. Unlike io.LimitReader, a Reader fails at its limit, so that a response that is too long is not taken for
// one that ends there. A NestingReader bounds how deeply values of JSON are nested.
package limit

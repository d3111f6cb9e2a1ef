package wellformed

import "net/http"

// Do sends a request as Client.Do does, but follows no redirect, so that the response is that of the server that r names. It returns an
// error of class Error if the response is not well-formed.
func Do(c *http.Client, r *http.Request) (*http.Response, error) {
	direct := *c
	direct.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := direct.Do(r)
	if err != nil {
		return nil, err
	}
	if err := Response(resp); err != nil {
		_ = resp.Body.Close() // nothing of it is used
		return nil, err
	}
	return resp, nil
}

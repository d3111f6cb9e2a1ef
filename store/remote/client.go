package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"syscall"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// Client is a store.Store behind HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store served at base, such as
// "http://127.0.0.1:7070".
func NewClient(base string, c *http.Client) *Client {
	return &Client{base: base, http: c}
}

// Get implements store.Reader.
func (c *Client) Get(ctx context.Context, key string) (store.Object, error) {
	var o wireObject
	err := c.read(ctx, objectPath, url.Values{keyParam: {key}}, &o)
	return o.object(), err
}

// Watch implements store.Reader.
func (c *Client) Watch(ctx context.Context, key string, since store.Version) (store.Object, error) {
	var o wireObject
	err := c.read(ctx, watchPath, url.Values{keyParam: {key}, sinceParam: {formatVersion(since)}}, &o)
	return o.object(), err
}

// List implements store.Reader.
func (c *Client) List(ctx context.Context, prefix string) ([]store.Object, error) {
	var wire []wireObject
	if err := c.read(ctx, listPath, url.Values{prefixParam: {prefix}}, &wire); err != nil {
		return nil, err
	}
	list := make([]store.Object, 0, len(wire))
	for _, o := range wire {
		list = append(list, o.object())
	}
	return list, nil
}

// Boxes implements store.BoxLister.
func (c *Client) Boxes(ctx context.Context) (store.Boxes, error) {
	var b wireBoxes
	err := c.read(ctx, boxesPath, nil, &b)
	return store.NewBoxes(b.Version, b.Boxes), err
}

// Put implements store.Writer.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect store.Version) (store.Version, error) {
	var o wireObject
	q := url.Values{keyParam: {key}, expectParam: {formatVersion(expect)}}
	err := c.write(ctx, http.MethodPut, objectPath, q, value, &o)
	return o.Version, err
}

// Delete implements store.Writer.
func (c *Client) Delete(ctx context.Context, key string, expect store.Version) error {
	q := url.Values{keyParam: {key}, expectParam: {formatVersion(expect)}}
	return c.write(ctx, http.MethodDelete, objectPath, q, nil, &wireObject{})
}

// SetBox puts a box on the list, where the server allows it.
func (c *Client) SetBox(ctx context.Context, b domain.Box) error {
	raw, err := json.Marshal(b)
	if err != nil {
		return err
	}
	return c.write(ctx, http.MethodPut, boxesPath, nil, raw, &wireObject{})
}

// RemoveBox takes a box off the list, where the server allows it.
func (c *Client) RemoveBox(ctx context.Context, id domain.BoxID) error {
	return c.write(ctx, http.MethodDelete, boxesPath, url.Values{"id": {string(id)}}, nil, &wireObject{})
}

func (o wireObject) object() store.Object {
	return store.NewObject(o.Key, o.Value, o.Version)
}

func formatVersion(v store.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

// read makes a call that changes nothing: whatever goes wrong on the way, the
// service was unavailable.
func (c *Client) read(ctx context.Context, path string, q url.Values, into any) error {
	err := c.call(ctx, http.MethodGet, path, q, nil, into)
	if err != nil && !isStoreError(err) && ctx.Err() == nil {
		return store.ErrUnavailable
	}
	return err
}

// write makes a call that may change something: if the request can have reached
// the service and no answer came, the outcome is unknown.
func (c *Client) write(ctx context.Context, method, path string, q url.Values, body []byte, into any) error {
	err := c.call(ctx, method, path, q, body, into)
	switch {
	case err == nil || isStoreError(err):
		return err
	case errors.Is(err, syscall.ECONNREFUSED):
		return store.ErrUnavailable
	default:
		return store.ErrUnknownOutcome
	}
}

func (c *Client) call(ctx context.Context, method, path string, q url.Values, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return errorOf(resp.StatusCode)
	}
	return json.NewDecoder(resp.Body).Decode(into)
}

func isStoreError(err error) bool {
	for _, row := range statuses {
		if errors.Is(err, row.err) {
			return true
		}
	}
	return false
}

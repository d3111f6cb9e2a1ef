// Package remote carries store.Store over HTTP, so that the programs can run
// as separate processes against one stand-in. It is thin: each call is one
// request, and each error of the interface is one status.
//
// # Usage
//
//	go http.ListenAndServe("127.0.0.1:7070", remote.Handler(standin.New(limits)))
//	store := remote.NewClient("http://127.0.0.1:7070", http.DefaultClient)
package remote

import (
	"errors"
	"net/http"

	"clovertrail.dev/core/domain"
	"clovertrail.dev/store"
)

// The paths and parameters of the protocol.
const (
	objectPath = "/v1/object"
	listPath   = "/v1/list"
	watchPath  = "/v1/watch"
	boxesPath  = "/v1/boxes"

	keyParam    = "key"
	prefixParam = "prefix"
	sinceParam  = "since"
	expectParam = "expect"
)

// wireObject is an object on the wire.
type wireObject struct {
	Key     string        `json:"key"`
	Value   []byte        `json:"value"`
	Version store.Version `json:"version"`
}

// wireBoxes is a list of boxes on the wire.
type wireBoxes struct {
	Version store.Version `json:"version"`
	Boxes   []domain.Box  `json:"boxes"`
}

// statuses has one row for each error of the interface.
var statuses = []struct {
	err    error
	status int
}{
	{store.ErrNotFound, http.StatusNotFound},
	{store.ErrConflict, http.StatusPreconditionFailed},
	{store.ErrUnavailable, http.StatusServiceUnavailable},
	{store.ErrRateLimited, http.StatusTooManyRequests},
	{store.ErrUnknownOutcome, http.StatusGatewayTimeout},
	{store.ErrTooLarge, http.StatusRequestEntityTooLarge},
}

func statusOf(err error) int {
	for _, row := range statuses {
		if errors.Is(err, row.err) {
			return row.status
		}
	}
	return http.StatusInternalServerError
}

func errorOf(status int) error {
	for _, row := range statuses {
		if status == row.status {
			return row.err
		}
	}
	return store.ErrUnknownOutcome
}

// Package watcher implements a client of the platform's Object API and VM list.
package watcher

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/fetcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindPlatformUnavailable means that the platform did not answer or returned an
	// unexpected response. After a write it is unknown whether the write took effect.
	KindPlatformUnavailable Kind = "platformAway"
	// KindConflict means that the object does not have the expected version, as
	// another write came first.
	KindConflict Kind = "conflict"
	// KindNotFound means that the object does not exist.
	KindNotFound Kind = "absent"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// maxResponseBytes is the largest response body that the client reads.
	maxResponseBytes = 16 << 20
	// callTimeout limits a call, not counting the time that a watch waits for a change.
	callTimeout = 3 * time.Second
)

// Client is a client of one platform.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client for the platform at base, such as http://192.0.2.1:9000.
func New(network dialer.Network, base string) *Client {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         network.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     time.Minute,
	}}
	return &Client{base: sling.New().Base(base + "/"), http: client}
}

// watchParams are the query parameters of a long poll: the platform delays its
// response until there is a newer version or the wait ends.
type watchParams struct {
	After      uint64 `url:"after,omitempty"`
	WaitMillis int64  `url:"waitMillis,omitempty"`
}

// versionParams are the query parameters of a conditional write.
type versionParams struct {
	Version uint64 `url:"version"`
}

// Object reads an object. If wait is positive, it returns as soon as the version of
// the object is above after, or when the wait ends.
func (c *Client) Object(ctx context.Context, name string, after uint64, wait time.Duration) (declarer.Object, error) {
	var object declarer.Object
	request := c.base.New().Get("objects/" + name).QueryStruct(watchParams{After: after, WaitMillis: wait.Milliseconds()})
	err := c.call(ctx, "read object "+name, request, callTimeout+wait, &object)
	return object, err
}

// VMs reads the VM list. The parameters after and wait are as for Object.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (declarer.VMList, error) {
	var list declarer.VMList
	request := c.base.New().Get("vms").QueryStruct(watchParams{After: after, WaitMillis: wait.Milliseconds()})
	err := c.call(ctx, "read VM list", request, callTimeout+wait, &list)
	return list, err
}

// Put writes an object if it has the expected version, and returns the new version.
// The expected version zero creates the object.
func (c *Client) Put(ctx context.Context, name string, expected uint64, value []byte) (uint64, error) {
	var object declarer.Object
	request := c.base.New().Put("objects/" + name).QueryStruct(versionParams{Version: expected}).Body(bytes.NewReader(value))
	err := c.call(ctx, "write object "+name, request, callTimeout, &object)
	return object.Version, err
}

// call sends a request, maps its status to an error and decodes the response into
// out.
func (c *Client) call(ctx context.Context, op string, s *sling.Sling, timeout time.Duration, out any) error {
	response, err := fetcher.Do(ctx, c.http, s, timeout, maxResponseBytes)
	if err != nil {
		return failer.Wrap(op, KindPlatformUnavailable, err)
	}
	switch response.Status {
	case http.StatusOK:
	case http.StatusConflict:
		return failer.New(op, KindConflict, "object does not have the expected version")
	case http.StatusNotFound:
		return failer.New(op, KindNotFound, "object does not exist")
	default:
		return failer.Wrap(op, KindPlatformUnavailable, fmt.Errorf("status %d", response.Status))
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return failer.Wrap(op, KindPlatformUnavailable, err)
	}
	return nil
}

// Package fetcher sends HTTP requests that are built with sling and reads their
// responses.
package fetcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

// Response is an HTTP response with its body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request and returns the response. The timeout covers the whole exchange.
// At most maxBytes of the body are read; the rest is discarded without an error.
func Do(ctx context.Context, client *http.Client, builder *sling.Sling, timeout time.Duration, maxBytes int64) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := builder.Request()
	if err != nil {
		return Response{}, err
	}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := validator.Reply(response); err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes))
	return Response{Status: response.StatusCode, Header: response.Header, Body: body}, err
}

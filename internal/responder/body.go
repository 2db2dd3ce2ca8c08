package responder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// hasBody reports whether a request has a body, empty or not.
func hasBody(request *http.Request) bool { return request.Body != nil && request.Body != http.NoBody }

// limitBodyTime makes reading the body of a request fail at a time, if it has one. net/http
// also reads what is left of it before a response after which the connection stays open. It
// ends the limit at the end of the body; without a body, the limit would end the request.
func limitBodyTime(w http.ResponseWriter, request *http.Request, until time.Time) {
	if hasBody(request) {
		_ = http.NewResponseController(w).SetReadDeadline(until)
	}
}

// interruptBody makes reading the body of a request fail once expired is closed, until the
// returned function is called.
func interruptBody(w http.ResponseWriter, expired <-chan struct{}) (end func()) {
	ended, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-expired:
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		case <-ended:
		}
	}()
	return func() {
		close(ended)
		<-done
	}
}

// readBody reads the request's body, until expired is closed. It returns an error response if
// the body is larger than limit or incomplete; a limit of 0 means none.
func (c *callerRequest) readBody(w http.ResponseWriter, request *http.Request, limit int64, expired <-chan struct{}) *response {
	if !hasBody(request) {
		return nil
	}
	body := request.Body
	if limit > 0 {
		body = http.MaxBytesReader(w, body, limit)
	}
	var err error
	end := interruptBody(w, expired)
	c.body, err = io.ReadAll(body)
	end()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newErrorResponse(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The rest of the body may still arrive, so that no other request can follow.
		w.Header().Set("Connection", "close")
		return newErrorResponse(http.StatusRequestTimeout, "the body did not arrive in time")
	case err != nil:
		return newErrorResponse(http.StatusBadRequest, "the body did not arrive whole")
	default:
		return nil
	}
}

// discardBody sends the response and reads the rest of the request's body, up to
// maxDiscardedBytes and until expired is closed. net/http does not if the caller asked for
// the end of the connection, and closing it with unread bytes would reset it.
func discardBody(w http.ResponseWriter, request *http.Request, expired <-chan struct{}) {
	if err := http.NewResponseController(w).Flush(); err != nil || request.Body == nil {
		return
	}
	defer interruptBody(w, expired)()
	_, _ = io.CopyN(io.Discard, request.Body, maxDiscardedBytes)
}

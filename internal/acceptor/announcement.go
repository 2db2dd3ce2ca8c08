package acceptor

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// arrivalMargin is added to the time that a response announces before its connection is
// closed: the caller counts it from when the response arrives, and its request has to arrive,
// too.
const arrivalMargin = 500 * time.Millisecond

// Announcement is how long callers may reuse their connections after a response. It is
// immutable.
type Announcement struct {
	// Idle is the limit for idle connections of the current configuration.
	Idle time.Duration
	// Notice is the time between the beginning of a stop and its first closed connection.
	Notice time.Duration
	// Closing makes each response close its connection.
	Closing bool
}

// reusable returns how long a connection may be reused, in whole seconds; zero announces
// nothing.
func (a Announcement) reusable() time.Duration {
	return max(0, (min(a.Idle, a.Notice) - arrivalMargin).Truncate(time.Second))
}

// Announce adds to the header of a response whether and for how long the connection of its
// request may be used again. ctx is the request's context. The connection stays open for that
// time, whatever the limits are by then.
func Announce(ctx context.Context, h http.Header, a Announcement) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok || h.Get("Connection") == "close" {
		return
	}
	reusable := a.reusable()
	switch {
	case a.Closing:
		h.Set("Connection", "close")
		return
	case reusable > 0:
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(reusable/time.Second)))
		reusable += arrivalMargin
	}
	c.setAnnounced(reusable)
}

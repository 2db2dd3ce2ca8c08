package acceptor

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// arrivalMargin is the least time by which a connection stays open longer than its response
// announces: the caller counts from when the response arrives, and its request has to arrive,
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

// kept returns how long a connection stays open after a response, whatever the limits are by
// then.
func (a Announcement) kept() time.Duration { return max(0, min(a.Idle, a.Notice)) }

// reusable returns how long a connection may be reused, in whole seconds; zero announces
// nothing.
func (a Announcement) reusable() time.Duration {
	return max(0, (a.kept() - arrivalMargin).Truncate(time.Second))
}

// Announce adds to the header of a response whether and for how long the connection of its
// request may be used again, unless the header says that it may not. ctx is the request's
// context.
func Announce(ctx context.Context, h http.Header, a Announcement) {
	c, ok := ctx.Value(connKey{}).(*Conn)
	if !ok || h.Get("Connection") == "close" {
		return
	}
	if a.Closing {
		h.Set("Connection", "close")
		return
	}
	if reusable := a.reusable(); reusable > 0 {
		h.Set("Keep-Alive", "timeout="+strconv.Itoa(int(reusable/time.Second)))
	}
	c.setKept(a.kept())
}

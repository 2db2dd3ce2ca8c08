package supervisor

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// backstopTime bounds headers and unused connections where the operator's
	// limits don't: far above what is declared for callers.
	backstopTime = 5 * time.Minute
	// defaultIdle and defaultHeader are used while no limits are known.
	defaultIdle   = time.Minute
	defaultHeader = 10 * time.Second
	// idleInterval is how often connections are looked at; one ends that much
	// after its limit, so that a caller within it never loses the race.
	idleInterval = time.Second
)

// idler closes callers' connections that are unused, or whose first request has
// not begun, for longer than the operator's limits. The limits change with the
// configuration, which a server's own time-outs can't follow.
type idler struct {
	mu sync.Mutex
	// waiting holds connections without a request, by since when, and whether
	// they are new.
	waiting map[net.Conn]waiting
}

type waiting struct {
	since time.Time
	fresh bool
}

func newIdler() *idler { return &idler{waiting: map[net.Conn]waiting{}} }

// note follows a connection of the server.
func (i *idler) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		i.waiting[c] = waiting{since: time.Now(), fresh: state == http.StateNew}
	case http.StateActive, http.StateClosed, http.StateHijacked:
		delete(i.waiting, c)
	}
}

// sweep closes what waits for longer than a limit; a limit of zero is the default.
func (i *idler) sweep(now time.Time, header, idle time.Duration) int {
	if header <= 0 {
		header = defaultHeader
	}
	if idle <= 0 {
		idle = defaultIdle
	}
	i.mu.Lock()
	var over []net.Conn
	for c, w := range i.waiting {
		limit := idle
		if w.fresh {
			limit = max(header, idle)
		}
		if now.Sub(w.since) > limit {
			over = append(over, c)
			delete(i.waiting, c)
		}
	}
	i.mu.Unlock()
	for _, c := range over {
		// The server notes the end itself.
		_ = c.Close()
	}
	return len(over)
}

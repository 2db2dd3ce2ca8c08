package supervisor

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/acceptor"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

const (
	// maxServerTimeout is the HTTP servers' own header and idle timeout. It is far
	// above the limits that configurations declare for callers and applies only if
	// those are not enforced.
	maxServerTimeout = 5 * time.Minute
	// defaultIdleTimeout and defaultHeaderTimeout apply until the daemon has a
	// configuration, and if the configuration sets no limit.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// connectionSweepInterval is how often the limits are checked. A connection ends up
	// to this long after its limit, never before it, so that a caller that keeps to the
	// limit does not race with the end.
	connectionSweepInterval = time.Second
)

// newConnectionLimits returns the limits for callers' connections. A limit of zero or less
// means the default.
func newConnectionLimits(declared planner.Limits) acceptor.Limits {
	head, idle := declared.HeaderTimeout, declared.IdleTimeout
	if head <= 0 {
		head = defaultHeaderTimeout
	}
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return acceptor.Limits{New: max(head, idle), Idle: idle, Head: head}
}

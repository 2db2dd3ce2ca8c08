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
	// idleSweepInterval is how often idle connections are checked. A connection is
	// closed up to this long after its limit, never before it, so that a caller
	// that keeps to the limit does not race with the close.
	idleSweepInterval = time.Second
)

// connectionLimits returns the limits for callers' connections. A limit of zero or less
// means the default.
func connectionLimits(limits planner.Limits) acceptor.Limits {
	applied := acceptor.Limits{Head: limits.HeaderTimeout, Idle: limits.IdleTimeout}
	if applied.Head <= 0 {
		applied.Head = defaultHeaderTimeout
	}
	if applied.Idle <= 0 {
		applied.Idle = defaultIdleTimeout
	}
	return applied
}

package supervisor

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/acceptor"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
)

// TestConnectionLimitsDefault covers the limits while no configuration declares any.
func TestConnectionLimitsDefault(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	is.Equal(newConnectionLimits(planner.Limits{}), acceptor.Limits{New: defaultIdleTimeout, Idle: defaultIdleTimeout, Head: defaultHeaderTimeout})
	is.Equal(newConnectionLimits(planner.Limits{HeaderTimeout: -1, IdleTimeout: time.Second}), acceptor.Limits{New: defaultHeaderTimeout, Idle: time.Second, Head: defaultHeaderTimeout})
}

package acceptor

import (
	"fmt"

	vm "github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"
)

// Record logs and counts a cut request. A caller that leaves is not logged.
func (c Cut) Record(metrics *vm.Set, stopping bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`cutRequestsTotal{cause=%q}`, c.Cause)).Inc()
	if c.Cause == CauseCaller {
		return
	}
	klog.ErrorS(c.Err, "connection closed with a request unanswered", "cause", c.Cause, "remote", c.Remote, "active", c.IsActive, "bytes", c.Bytes, "written", c.Written,
		"sinceFirstByteMillis", c.SinceFirstByte.Milliseconds(), "sinceLastByteMillis", c.SinceLastByte.Milliseconds(), "stopping", stopping)
}

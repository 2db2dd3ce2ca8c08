package responder

import (
	"fmt"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// record updates the metrics for a finished request and logs it. A request whose
// caller left has status 0.
func (r *Responder) record(c *callerRequest, resp response) {
	elapsed := time.Since(c.arrived)
	route, rank := "none", -1
	if c.route != nil {
		route, rank = c.route.Name, c.route.Rank
	}
	status := resp.status
	if resp.callerLeft {
		status = 0
	}
	r.config.Metrics.set.GetOrCreateHistogram(fmt.Sprintf(`requestSeconds{rank="%d",status="%d"}`, rank, status)).Update(elapsed.Seconds())
	if status == http.StatusOK && resp.reason == "" && len(resp.trail.steps) == 0 {
		klog.InfoS("answered", "id", c.id, "route", route, "version", c.version, "millis", elapsed.Milliseconds())
		return
	}
	klog.InfoS("request ended", "id", c.id, "route", route, "version", c.version, "status", status,
		"why", resp.reason, "callerLeft", resp.callerLeft, "answered", resp.answered, "shards", resp.shards, "extra", resp.extra,
		"millis", elapsed.Milliseconds(), "trail", resp.trail.String())
}

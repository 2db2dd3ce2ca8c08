package supervisor

import (
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/responder"
)

const (
	// lameDuckPeriod is how long a stopping daemon reports not ready but still
	// accepts connections. The load balancer probes once a second and stops routing
	// to a daemon after two failed probes.
	lameDuckPeriod = 2700 * time.Millisecond
	// answerPart is the part of the platform's stop grace period after which the requests
	// in progress end. Their responses are sent in the rest of it, all at once, and by a
	// process that may be short of processor time.
	answerPart = 0.9
	// exitPart is the part of the grace period after which the process exits, so that it
	// does so before the platform kills it.
	exitPart = 0.97
)

// noticePeriod returns how long a stopping daemon accepts connections, within a grace period.
func noticePeriod(gracePeriod time.Duration) time.Duration {
	return min(lameDuckPeriod, gracePeriod/2)
}

// newStop returns the schedule of a stop that begins now.
func newStop(now time.Time, gracePeriod time.Duration) responder.Stop {
	after := func(part float64) time.Time { return now.Add(time.Duration(part * float64(gracePeriod))) }
	return responder.Stop{AcceptUntil: now.Add(noticePeriod(gracePeriod)), AnswerBy: after(answerPart), ExitBy: after(exitPart)}
}

package responder

import "time"

// Stop is the schedule of a daemon's shutdown. It is immutable.
type Stop struct {
	// AcceptUntil is when the load balancer has stopped routing callers to the daemon. All
	// requests that are complete before it are executed.
	AcceptUntil time.Time
	// AnswerBy is when the requests in progress end with whatever answer they have. It is
	// later than AcceptUntil.
	AnswerBy time.Time
	// ExitBy is when the process ends, with whatever is left. It is later than AnswerBy by
	// the time in which the responses to those requests are sent.
	ExitBy time.Time
}

// accepts reports whether a request that is complete now is executed. After AcceptUntil a
// retry reaches another daemon, which is better for the caller than an execution that may
// not finish within the latency objective.
func (s Stop) accepts(now time.Time, objective time.Duration) bool {
	return now.Before(s.AcceptUntil) || now.Add(objective).Before(s.AnswerBy)
}

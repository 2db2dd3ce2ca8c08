package responder

import (
	"fmt"
	"strings"
	"time"
)

// maxTrailSteps limits the steps in the log line of a request.
const maxTrailSteps = 12

// trail lists the events of a request's attempts other than successful replies,
// for the log.
type trail struct {
	steps   []string
	omitted int
}

func (t *trail) add(step string) {
	if len(t.steps) >= maxTrailSteps {
		t.omitted++
		return
	}
	t.steps = append(t.steps, step)
}

// attemptEnded records how an attempt ended. A leading + marks a hedge or a retry.
func (t *trail) attemptEnded(attempt *pendingAttempt, now time.Time, outcome string) {
	prefix := ""
	if attempt.extra {
		prefix = "+"
	}
	t.add(fmt.Sprintf("%s%s@%s %s %dms", prefix, attempt.shard, attempt.searcher.Instance, outcome, now.Sub(attempt.sentAt).Milliseconds()))
}

// retryDenied records that the retry budget denied a hedge or retry.
func (t *trail) retryDenied(shard string) { t.add(shard + " budget denied") }

// String returns the steps in order, and the number of omitted ones.
func (t *trail) String() string {
	text := strings.Join(t.steps, "; ")
	if t.omitted > 0 {
		text += fmt.Sprintf("; and %d more", t.omitted)
	}
	return text
}

package responder

import (
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/gatherer"
	"github.com/fuchsiastile/fuchsiastile/internal/merger"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// retryAfter is when to come back; zero says nothing.
	retryAfter time.Duration
	// why says what decided the answer, for the log.
	why string
	// shards and answered tell how whole it is.
	shards, answered int
	// extra counts hedges and retries.
	extra int
	trail trail
	// gone means that the caller left first.
	gone bool
}

func refused(status int, why string) *answer { return &answer{status: status, why: why} }

func (a *answer) after(span time.Duration) *answer {
	a.retryAfter = span
	return a
}

func (a *answer) write(w http.ResponseWriter, id string) {
	h := w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	platform.WriteRequestID(h, id)
	if a.retryAfter > 0 {
		platform.WriteRetryAfter(h, a.retryAfter)
	}
	body := a.body
	if body == nil && a.status >= http.StatusBadRequest && a.header == nil {
		body = []byte(a.why + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if h.Get("Content-Type") == "" {
		// Keeps the server from guessing at the records' type.
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(a.status)
	_, _ = w.Write(body)
}

// answer makes the caller's answer of a query that has ended.
func (run *runner) answer() answer {
	a := run.outcome(run.query.Answer())
	a.trail = run.trail
	a.gone = run.gone
	return a
}

func (run *runner) outcome(got gatherer.Answer) answer {
	a := answer{shards: got.Shards, answered: got.Answered, extra: got.Extra}
	switch {
	case run.call.route.IsScatterGather() && got.Answered >= run.call.route.NeededShards():
		run.merge(&a, got)
	case !run.call.route.IsScatterGather() && got.Answered == 1:
		pass(&a, run.replies[got.WinningAttempts[0]])
	case !got.MayHaveRun, !got.ReportedMayHaveRun && run.neverSent():
		a.status, a.retryAfter = http.StatusServiceUnavailable, busyRetryAfter
		a.why = "no searcher ran the request"
	case !run.call.route.IsScatterGather() && run.failure != nil:
		pass(&a, *run.failure)
		a.why = "the searcher failed"
	case !time.Now().Before(run.call.deadline):
		a.status, a.why = http.StatusGatewayTimeout, "the time was up"
	default:
		a.status, a.why = http.StatusBadGateway, "too few searchers answered"
	}
	return a
}

// pass hands on a searcher's reply as it is.
func pass(a *answer, reply exchanger.Reply) {
	a.status, a.header, a.body = reply.Status, platform.EndToEndHeaders(reply.Header), reply.Body
}

// merge makes one answer of the shards' replies and states what it lacks.
func (run *runner) merge(a *answer, got gatherer.Answer) {
	stamps := make([]string, len(got.WinningAttempts))
	parts := make([][]byte, len(got.WinningAttempts))
	for i, attempt := range got.WinningAttempts {
		reply := run.replies[attempt]
		stamps[i], parts[i] = platform.ServerStamp(reply.Header), reply.Body
	}
	a.status = http.StatusOK
	a.header = http.Header{}
	platform.WriteCoverage(a.header, stamps, got.Shards-got.Answered)
	a.body = merger.Top(parts, run.call.route.TopK)
	if a.body == nil {
		a.body = []byte{}
	}
	if got.Answered < got.Shards {
		a.why = "thin"
	}
}

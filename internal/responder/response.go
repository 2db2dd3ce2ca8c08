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

// response is the HTTP response to a caller, with the details that are logged.
type response struct {
	status int
	header http.Header
	body   []byte
	// retryAfter is sent as the Retry-After header; zero omits the header.
	retryAfter time.Duration
	// reason explains a status other than 200 or an incomplete response. It is
	// logged, and sent as the body of an error response that has no other.
	reason string
	// shards and answered count the shards of the query and those that replied.
	shards, answered int
	// extra is the number of hedges and retries.
	extra int
	trail trail
	// callerLeft is set when the caller ended its sending direction, or the connection,
	// before the response.
	callerLeft bool
}

func newErrorResponse(status int, reason string) *response {
	return &response{status: status, reason: reason}
}

func (resp *response) withRetryAfter(delay time.Duration) *response {
	resp.retryAfter = delay
	return resp
}

func (resp *response) write(w http.ResponseWriter, id string) {
	h := w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	platform.WriteRequestID(h, id)
	if resp.retryAfter > 0 {
		platform.WriteRetryAfter(h, resp.retryAfter)
	}
	body := resp.body
	if body == nil && resp.status >= http.StatusBadRequest && resp.header == nil {
		body = []byte(resp.reason + "\n")
		h.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if h.Get("Content-Type") == "" {
		// A nil value disables net/http's content type detection.
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(resp.status)
	_, _ = w.Write(body)
}

// response returns the caller's response after the query has ended.
func (run *runner) response() response {
	resp := run.buildResponse(run.query.Answer())
	resp.trail = run.trail
	resp.callerLeft = run.callerLeft
	return resp
}

// buildResponse selects the response for the query's outcome: the merged shard
// replies, one searcher's reply, or an error.
func (run *runner) buildResponse(answer gatherer.Answer) response {
	resp := response{shards: answer.Shards, answered: answer.Answered, extra: answer.Extra}
	switch {
	case run.call.route.IsScatterGather() && answer.Answered >= run.call.route.RequiredShards():
		run.mergeReplies(&resp, answer)
	case !run.call.route.IsScatterGather() && answer.Answered == 1:
		forwardReply(&resp, run.replies[answer.WinningAttempts[0]])
	case !answer.MayHaveRun, !answer.ReportedMayHaveRun && run.allCancelledUnsent():
		resp.status, resp.retryAfter = http.StatusServiceUnavailable, run.retryAfter(answer.Missing)
		resp.reason = "no searcher ran the request"
	case !run.call.route.IsScatterGather() && run.errorReply != nil:
		forwardReply(&resp, *run.errorReply)
		resp.reason = "the searcher failed"
	case !time.Now().Before(run.call.deadline):
		resp.status, resp.reason = http.StatusGatewayTimeout, "the time was up"
	case run.callerLeft:
		resp.status, resp.reason = http.StatusBadGateway, "the caller left"
	default:
		resp.status, resp.reason = http.StatusBadGateway, "too few searchers answered"
	}
	return resp
}

// forwardReply copies a searcher's reply to the response, without its
// hop-by-hop headers.
func forwardReply(resp *response, reply exchanger.Reply) {
	resp.status, resp.header, resp.body = reply.Status, platform.EndToEndHeaders(reply.Header), reply.Body
}

// mergeReplies merges the shards' replies into one response. Its headers state
// which shards it contains and how many are missing.
func (run *runner) mergeReplies(resp *response, answer gatherer.Answer) {
	stamps := make([]string, len(answer.WinningAttempts))
	parts := make([][]byte, len(answer.WinningAttempts))
	for i, id := range answer.WinningAttempts {
		reply := run.replies[id]
		stamps[i], parts[i] = platform.ServerStamp(reply.Header), reply.Body
	}
	resp.status = http.StatusOK
	resp.header = http.Header{}
	platform.WriteCoverage(resp.header, stamps, answer.Shards-answer.Answered)
	resp.body = merger.Top(parts, run.call.route.TopK)
	if resp.body == nil {
		resp.body = []byte{}
	}
	if answer.Answered < answer.Shards {
		resp.reason = "thin"
	}
}

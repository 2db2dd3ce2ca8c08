package daemon

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
)

const (
	// maxBodyBytes is the largest query that is taken.
	maxBodyBytes = 64 << 10
	// maxKeyBytes is the longest key of a non-idempotent request.
	maxKeyBytes = 256
	// retryAfterSeconds is what a refused caller is told to wait.
	retryAfterSeconds = 1
	// problemType starts the type of every problem.
	problemType = "urn:fuchsiastile:problem:"
	// undeclaredClass stands in metrics for classes that nobody declared.
	undeclaredClass = "undeclared"
)

func (d *Daemon) callersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/search/{service}", d.handleSearch)
	mux.HandleFunc("POST /v1/once/{service}/{key}", d.handleOnce)
	mux.HandleFunc("POST /v1/tickets", d.handleTicket)
	mux.HandleFunc("GET /ready", d.handleReady)
	return mux
}

// readRequest reads what a caller asks; its error has a kind of this package.
func readRequest(w http.ResponseWriter, r *http.Request) (caller.Request, error) {
	const op = "read request"
	request := caller.Request{
		Service: r.PathValue("service"),
		Key:     r.PathValue("key"),
		Class:   r.Header.Get(caller.HeaderClass),
		Tenant:  r.Header.Get(caller.HeaderTenant),
		Ticket:  r.Header.Get(caller.HeaderTicket),
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, failer.New(op, KindBodyTooLarge, "the body is above %d bytes", maxBodyBytes)
	}
	if err != nil {
		return request, failer.Wrap(op, KindInvalidRequest, err)
	}
	if !json.Valid(body) {
		return request, failer.New(op, KindInvalidRequest, "the body is no JSON value")
	}
	request.Body = body
	if len(request.Key) > maxKeyBytes {
		return request, failer.New(op, KindInvalidRequest, "the key is above %d bytes", maxKeyBytes)
	}
	request.DeadlineMillis, err = parseDeadline(r.Header.Get(caller.HeaderDeadline))
	return request, err
}

// parseDeadline reads a time span such as "80ms"; an empty one is zero.
func parseDeadline(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	span, err := time.ParseDuration(text)
	if err != nil {
		return 0, failer.New("read deadline", KindInvalidRequest, "%s: %q is no time span such as 80ms", caller.HeaderDeadline, text)
	}
	if span < time.Millisecond {
		return 0, failer.New("read deadline", KindInvalidRequest, "%s: %q has passed already", caller.HeaderDeadline, text)
	}
	return int(span.Milliseconds()), nil
}

func (d *Daemon) handleSearch(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := d.newRequestID()
	request, err := readRequest(w, r)
	if err != nil {
		d.refuse(w, id, request, started, err)
		return
	}
	if class, err := d.documents.View().Class(request.Class); err == nil && !class.Idempotent {
		err := failer.New("search", KindInvalidRequest, "class %q is not idempotent; use /v1/once/{service}/{key}", class.Name)
		d.refuse(w, id, request, started, err)
		return
	}
	answer, err := d.search(r.Context(), request, id)
	if err != nil {
		d.refuse(w, id, request, started, err)
		return
	}
	d.metrics.request(request.Class, request.Tenant, answer.Outcome, time.Since(started), answer.Coverage.Fraction)
	writeAnswer(w, answer)
}

// writeAnswer writes an answer with the status that fits its outcome.
func writeAnswer(w http.ResponseWriter, answer caller.Answer) {
	status := http.StatusOK
	switch answer.Outcome {
	case caller.OutcomeNotRun:
		status = http.StatusServiceUnavailable
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	case caller.OutcomeUnknown:
		status = http.StatusGatewayTimeout
	case caller.OutcomeAnswered:
	}
	w.Header().Set(caller.HeaderRequest, answer.RequestID)
	writeJSON(w, status, "application/json", answer)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// refusedOutcome tells what a refusal means for a request. A try that was
// refused before its ticket was looked at says nothing of earlier tries with
// that ticket, which may have run or may yet arrive.
func refusedOutcome(request caller.Request, err error) caller.Outcome {
	if request.Ticket == "" || kindIs(err, ticketer.KindReused, ticketer.KindMalformed) {
		return caller.OutcomeNotRun
	}
	return caller.OutcomeUnknown
}

// refuse answers a request that is not carried out, with the problem that says why.
func (d *Daemon) refuse(w http.ResponseWriter, id string, request caller.Request, started time.Time, err error) {
	status, title := statusOf(err)
	class := request.Class
	if _, unknown := d.documents.View().Class(class); unknown != nil {
		class = undeclaredClass
	}
	outcome := refusedOutcome(request, err)
	d.metrics.request(class, request.Tenant, outcome, time.Since(started), 0)
	problem := caller.Problem{
		Type:      problemType + title,
		Title:     title,
		Status:    status,
		Detail:    err.Error(),
		RequestID: id,
		Outcome:   outcome,
	}
	if kindIs(err, KindTicketNeeded) {
		problem.Ticket, _ = d.tickets.Issue(time.Now())
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.Header().Set(caller.HeaderRequest, id)
	writeJSON(w, status, "application/problem+json", problem)
}

// statusOf maps an error to an HTTP status and the title of its problem.
func statusOf(err error) (int, string) {
	switch {
	case kindIs(err, KindInvalidRequest):
		return http.StatusBadRequest, string(KindInvalidRequest)
	case kindIs(err, KindBodyTooLarge):
		return http.StatusRequestEntityTooLarge, string(KindBodyTooLarge)
	case kindIs(err, KindOverloaded):
		return http.StatusServiceUnavailable, string(KindOverloaded)
	case kindIs(err, KindTicketNeeded):
		return http.StatusPreconditionRequired, string(KindTicketNeeded)
	case kindIs(err, planner.KindUnknownClass):
		return http.StatusBadRequest, string(planner.KindUnknownClass)
	case kindIs(err, planner.KindUnknownService):
		return http.StatusNotFound, string(planner.KindUnknownService)
	case kindIs(err, planner.KindUnknownSnapshot):
		return http.StatusServiceUnavailable, string(planner.KindUnknownSnapshot)
	case kindIs(err, ticketer.KindMalformed):
		return http.StatusBadRequest, string(ticketer.KindMalformed)
	case kindIs(err, ticketer.KindReused):
		return http.StatusConflict, string(ticketer.KindReused)
	case kindIs(err, ticketer.KindTableFull):
		return http.StatusServiceUnavailable, string(ticketer.KindTableFull)
	case kindIs(err, ticketer.KindTableClosed):
		return http.StatusServiceUnavailable, string(ticketer.KindTableClosed)
	default:
		return http.StatusInternalServerError, "internal"
	}
}

func (d *Daemon) handleTicket(w http.ResponseWriter, r *http.Request) {
	ticket, err := d.tickets.Issue(time.Now())
	if err != nil {
		d.refuse(w, d.newRequestID(), caller.Request{Class: r.Header.Get(caller.HeaderClass)}, time.Now(), err)
		return
	}
	writeJSON(w, http.StatusOK, "application/json", caller.TicketResponse{Ticket: ticket})
}

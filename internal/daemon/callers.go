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
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 64 << 10
	// maxKeyBytes is the maximum length of the key of a non-idempotent request.
	maxKeyBytes = 256
	// retryAfterSeconds is the value of the Retry-After header of 503 responses.
	retryAfterSeconds = 1
	// problemType is the prefix of the type URN of every problem document.
	problemType = "urn:fuchsiastile:problem:"
	// undeclaredClass replaces the names of undeclared classes in metric labels.
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

// readRequest reads and checks a caller's HTTP request. Its errors have kinds
// of this package.
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
		return request, failer.New(op, KindBodyTooLarge, "the request body exceeds %d bytes", maxBodyBytes)
	}
	if err != nil {
		return request, failer.Wrap(op, KindInvalidRequest, err)
	}
	if !json.Valid(body) {
		return request, failer.New(op, KindInvalidRequest, "the request body is no JSON value")
	}
	request.Body = body
	if len(request.Key) > maxKeyBytes {
		return request, failer.New(op, KindInvalidRequest, "the key exceeds %d bytes", maxKeyBytes)
	}
	request.DeadlineMillis, err = parseDeadline(r.Header.Get(caller.HeaderDeadline))
	return request, err
}

// parseDeadline parses a duration such as "80ms" and returns it in milliseconds.
// An empty text yields 0.
func parseDeadline(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, failer.New("read deadline", KindInvalidRequest, "%s: %q is no time span such as 80ms", caller.HeaderDeadline, text)
	}
	if duration < time.Millisecond {
		return 0, failer.New("read deadline", KindInvalidRequest, "%s: %q has passed already", caller.HeaderDeadline, text)
	}
	return int(duration.Milliseconds()), nil
}

func (d *Daemon) handleSearch(w http.ResponseWriter, r *http.Request) {
	started := time.Now()
	id := d.newRequestID()
	request, err := readRequest(w, r)
	if err != nil {
		d.rejectRequest(w, id, request, started, err)
		return
	}
	if class, err := d.documents.View().Class(request.Class); err == nil && !class.Idempotent {
		err := failer.New("search", KindInvalidRequest, "class %q is not idempotent; use /v1/once/{service}/{key}", class.Name)
		d.rejectRequest(w, id, request, started, err)
		return
	}
	answer, err := d.search(r.Context(), request, id)
	if err != nil {
		d.rejectRequest(w, id, request, started, err)
		return
	}
	d.metrics.recordRequest(request.Class, request.Tenant, answer.Outcome, time.Since(started), answer.Coverage.Fraction)
	d.writeAnswer(w, answer)
}

// writeAnswer writes an answer with the HTTP status of its outcome.
func (d *Daemon) writeAnswer(w http.ResponseWriter, answer caller.Answer) {
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
	d.respond(w, status, "application/json", answer)
}

// respond writes a response to a caller. While the daemon stops it asks the caller to close
// the connection.
func (d *Daemon) respond(w http.ResponseWriter, status int, contentType string, v any) {
	if d.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	writeJSON(w, status, contentType, v)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, v any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// outcomeOfRejection returns the outcome to report for a rejected request. If a
// request with a ticket is rejected before its ticket was checked, the outcome
// is unknown: earlier attempts with that ticket may have run or may still arrive.
func outcomeOfRejection(request caller.Request, err error) caller.Outcome {
	if request.Ticket == "" || hasKind(err, ticketer.KindReused, ticketer.KindMalformed) {
		return caller.OutcomeNotRun
	}
	return caller.OutcomeUnknown
}

// rejectRequest writes a problem document with the reason why the request was rejected.
func (d *Daemon) rejectRequest(w http.ResponseWriter, id string, request caller.Request, started time.Time, err error) {
	status, title := httpStatusOf(err)
	class := request.Class
	if _, classErr := d.documents.View().Class(class); classErr != nil {
		class = undeclaredClass
	}
	outcome := outcomeOfRejection(request, err)
	d.metrics.recordRequest(class, request.Tenant, outcome, time.Since(started), 0)
	problem := caller.Problem{
		Type:      problemType + title,
		Title:     title,
		Status:    status,
		Detail:    err.Error(),
		RequestID: id,
		Outcome:   outcome,
	}
	if hasKind(err, KindTicketNeeded) {
		problem.Ticket, _ = d.tickets.Issue(time.Now())
	}
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	w.Header().Set(caller.HeaderRequest, id)
	d.respond(w, status, "application/problem+json", problem)
}

// httpStatusOf maps an error to an HTTP status and the title of the problem document.
func httpStatusOf(err error) (int, string) {
	switch {
	case hasKind(err, KindInvalidRequest):
		return http.StatusBadRequest, string(KindInvalidRequest)
	case hasKind(err, KindBodyTooLarge):
		return http.StatusRequestEntityTooLarge, string(KindBodyTooLarge)
	case hasKind(err, KindOverloaded):
		return http.StatusServiceUnavailable, string(KindOverloaded)
	case hasKind(err, KindStopping):
		return http.StatusServiceUnavailable, string(KindStopping)
	case hasKind(err, KindTicketNeeded):
		return http.StatusPreconditionRequired, string(KindTicketNeeded)
	case hasKind(err, planner.KindUnknownClass):
		return http.StatusBadRequest, string(planner.KindUnknownClass)
	case hasKind(err, planner.KindUnknownService):
		return http.StatusNotFound, string(planner.KindUnknownService)
	case hasKind(err, planner.KindUnknownSnapshot):
		return http.StatusServiceUnavailable, string(planner.KindUnknownSnapshot)
	case hasKind(err, ticketer.KindMalformed):
		return http.StatusBadRequest, string(ticketer.KindMalformed)
	case hasKind(err, ticketer.KindReused):
		return http.StatusConflict, string(ticketer.KindReused)
	case hasKind(err, ticketer.KindTableFull):
		return http.StatusServiceUnavailable, string(ticketer.KindTableFull)
	case hasKind(err, ticketer.KindTableClosed):
		return http.StatusServiceUnavailable, string(ticketer.KindTableClosed)
	default:
		return http.StatusInternalServerError, "internal"
	}
}

func (d *Daemon) handleTicket(w http.ResponseWriter, r *http.Request) {
	ticket, err := d.tickets.Issue(time.Now())
	if err != nil {
		d.rejectRequest(w, d.newRequestID(), caller.Request{Class: r.Header.Get(caller.HeaderClass)}, time.Now(), err)
		return
	}
	d.respond(w, http.StatusOK, "application/json", caller.TicketResponse{Ticket: ticket})
}

package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/dghubble/sling"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindNotRun means that the request was rejected and is known not to have run.
	KindNotRun Kind = "notRun"
	// KindUnknown means that the request may have run.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// maxBodyBytes is the largest response body that the client reads.
const maxBodyBytes = 32 << 20

// Client sends requests to one daemon, or to a load balancer in front of several.
type Client struct {
	base *sling.Sling
	http *http.Client
}

// New returns a client for a base URL such as http://192.0.2.1:7000. The HTTP client must not
// retry requests on its own, except that net/http's sends searches and requests for tickets
// again whose kept connection was closed before a response began.
func New(base string, client *http.Client) *Client {
	return &Client{base: sling.New().Base(base), http: client}
}

// Search sends an idempotent query. Partial coverage is not an error.
func (c *Client) Search(ctx context.Context, r Request) (Answer, error) {
	return c.send(ctx, c.base.New().Post("/v1/search/"+url.PathEscape(r.Service)), r)
}

// Submit sends a non-idempotent request. If the request has no ticket, Submit
// obtains one first. To be able to retry after an unknown outcome, the caller
// obtains the ticket itself and keeps it.
func (c *Client) Submit(ctx context.Context, r Request) (Answer, error) {
	if r.Ticket == "" {
		ticket, err := c.Ticket(ctx)
		if err != nil {
			return Answer{Outcome: OutcomeNotRun}, err
		}
		r.Ticket = ticket
	}
	path := "/v1/once/" + url.PathEscape(r.Service) + "/" + url.PathEscape(r.Key)
	return c.send(ctx, c.base.New().Post(path), r)
}

// Ticket obtains a new idempotency ticket. This runs no request at a backend server.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	const op = "obtain ticket"
	request, err := c.base.New().Post("/v1/tickets").Request()
	if err != nil {
		return "", failer.Wrap(op, KindNotRun, err)
	}
	response, err := c.http.Do(asIdempotent(request).WithContext(ctx))
	if err != nil {
		return "", failer.Wrap(op, KindNotRun, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := validator.Reply(response); err != nil {
		return "", failer.Wrap(op, KindNotRun, err)
	}
	var reply TicketResponse
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&reply); err != nil {
		return "", failer.Wrap(op, KindNotRun, err)
	}
	if reply.Ticket == "" {
		return "", failer.New(op, KindNotRun, "response has no ticket (status %d)", response.StatusCode)
	}
	return reply.Ticket, nil
}

// asIdempotent lets net/http send a request again if a kept connection is closed before a
// response begins. The header itself is not sent.
func asIdempotent(request *http.Request) *http.Request {
	request.Header["Idempotency-Key"] = nil
	return request
}

// send sends a request and decodes the response.
func (c *Client) send(ctx context.Context, s *sling.Sling, r Request) (Answer, error) {
	const op = "send request"
	s = s.Body(bytes.NewReader(r.Body)).Set(HeaderClass, r.Class).Set(HeaderTenant, r.Tenant).Set(HeaderTicket, r.Ticket)
	if r.DeadlineMillis > 0 {
		s = s.Set(HeaderDeadline, fmt.Sprintf("%dms", r.DeadlineMillis))
	}
	request, err := s.Request()
	if err != nil {
		return Answer{Outcome: OutcomeNotRun}, failer.Wrap(op, KindNotRun, err)
	}
	if r.Ticket == "" {
		request = asIdempotent(request)
	}
	response, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return Answer{Outcome: OutcomeUnknown}, failer.Wrap(op, KindUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := validator.Reply(response); err != nil {
		return Answer{Outcome: OutcomeUnknown}, failer.Wrap(op, KindUnknown, err)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return Answer{Outcome: OutcomeUnknown}, failer.Wrap(op, KindUnknown, err)
	}
	return decodeAnswer(response, body)
}

// decodeAnswer decodes a response body, which is an Answer or a Problem.
func decodeAnswer(response *http.Response, body []byte) (Answer, error) {
	const op = "send request"
	var answer Answer
	var problem Problem
	if response.Header.Get("Content-Type") == "application/problem+json" && json.Unmarshal(body, &problem) == nil {
		kind := KindUnknown
		if problem.Outcome == OutcomeNotRun {
			kind = KindNotRun
		}
		return Answer{RequestID: problem.RequestID, Outcome: problem.Outcome}, failer.New(op, kind, "%s (status %d)", problem.Detail, problem.Status)
	}
	if err := json.Unmarshal(body, &answer); err != nil {
		return Answer{Outcome: OutcomeUnknown}, failer.Wrap(op, KindUnknown, err)
	}
	switch answer.Outcome {
	case OutcomeAnswered:
		return answer, nil
	case OutcomeNotRun:
		return answer, failer.New(op, KindNotRun, "request was not run: %v", answer.Coverage.Missing)
	default:
		return answer, failer.New(op, KindUnknown, "request may have run: %v", answer.Coverage.Missing)
	}
}

// Package framer defines the HTTP protocol between gateways and backend servers:
// its headers, refusals and hits. It performs no I/O.
package framer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Path is the URL path of search requests on backend servers.
const Path = "/search"

// The header names of the protocol.
const (
	HeaderRequest       = "Search-Request"
	HeaderAttempt       = "Search-Attempt"
	HeaderSnapshot      = "Search-Snapshot"
	HeaderShard         = "Search-Shard"
	HeaderRemaining     = "Search-Remaining-Micros"
	HeaderOnce          = "Search-Once"
	HeaderDigest        = "Search-Digest"
	HeaderLoad          = "Search-Load"
	HeaderDraining      = "Search-Draining"
	HeaderRefusal       = "Search-Refusal"
	HeaderNewerSnapshot = "Search-Newer-Snapshot"
)

// Refusal is the reason why a backend server did not run a request.
type Refusal string

// The refusals of a backend server. A refused request was not run.
const (
	RefusedShed         Refusal = "shed"
	RefusedDraining     Refusal = "draining"
	RefusedSnapshotGone Refusal = "snapshotGone"
	RefusedTooLate      Refusal = "tooLate"
)

// Kind classifies an Error.
type Kind string

// KindMalformed means that a header is missing or cannot be parsed.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Hit is one search result of a shard.
type Hit struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Snapshot string  `json:"snapshot"`
}

// Request holds the identity and limits of one shard request.
type Request struct {
	RequestID string
	Attempt   uint64
	Snapshot  string
	Shard     string
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Once marks a non-idempotent request.
	Once bool
}

// RunKey returns the key by which runs of a request on a shard are counted.
func (r Request) RunKey() string {
	return r.RequestID + "/" + r.Shard
}

// SetHeaders sets the request headers in h.
func (r Request) SetHeaders(h http.Header) {
	r.Echo(h)
	h[HeaderRemaining] = []string{strconv.FormatInt(r.Remaining.Microseconds(), 10)}
	if r.Once {
		h[HeaderOnce] = []string{"true"}
	}
}

// Echo sets in h the identity headers that a reply must repeat.
func (r Request) Echo(h http.Header) {
	h[HeaderRequest] = []string{r.RequestID}
	h[HeaderAttempt] = []string{strconv.FormatUint(r.Attempt, 10)}
	h[HeaderSnapshot] = []string{r.Snapshot}
	h[HeaderShard] = []string{r.Shard}
}

// Echoes reports whether h repeats the identity of the request, including its snapshot.
func (r Request) Echoes(h http.Header) bool {
	return h.Get(HeaderRequest) == r.RequestID &&
		h.Get(HeaderAttempt) == strconv.FormatUint(r.Attempt, 10) &&
		h.Get(HeaderSnapshot) == r.Snapshot &&
		h.Get(HeaderShard) == r.Shard
}

// ParseRequest parses the request headers in h.
func ParseRequest(h http.Header) (Request, error) {
	attempt, err := strconv.ParseUint(h.Get(HeaderAttempt), 10, 64)
	if err != nil {
		return Request{}, failer.Wrap("parse attempt", KindMalformed, err)
	}
	micros, err := strconv.ParseInt(h.Get(HeaderRemaining), 10, 64)
	if err != nil {
		return Request{}, failer.Wrap("parse remaining time", KindMalformed, err)
	}
	return Request{
		RequestID: h.Get(HeaderRequest),
		Attempt:   attempt,
		Snapshot:  h.Get(HeaderSnapshot),
		Shard:     h.Get(HeaderShard),
		Remaining: time.Duration(micros) * time.Microsecond,
		Once:      h.Get(HeaderOnce) == "true",
	}, nil
}

// Load is the load that a backend server reports on its replies.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
}

// String returns the load in header format: slots;in flight;queued.
func (l Load) String() string {
	return fmt.Sprintf("%d;%d;%d", l.Slots, l.InFlight, l.Queued)
}

// ParseLoad parses a load in header format. It returns the zero Load if the text
// is malformed or a value is negative.
func ParseLoad(text string) Load {
	parts := strings.SplitN(text, ";", 3)
	if len(parts) != 3 {
		return Load{}
	}
	slots, err1 := strconv.Atoi(parts[0])
	inFlight, err2 := strconv.Atoi(parts[1])
	queued, err3 := strconv.Atoi(parts[2])
	if err1 != nil || err2 != nil || err3 != nil || slots < 0 || inFlight < 0 || queued < 0 {
		return Load{}
	}
	return Load{Slots: slots, InFlight: inFlight, Queued: queued}
}

// Digest returns the value of the Search-Digest header for a reply body: its
// XXH64 hash in hexadecimal.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Package framer holds the HTTP protocol between gateways and backend
// servers: its headers, refusals and hits. It does no input or output.
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

// Path is where backend servers take searches.
const Path = "/search"

// The headers of the protocol.
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

// Refusal tells why a backend server did not run a request.
type Refusal string

// The refusals of a backend server; after each, the request was not run.
const (
	RefusedShed         Refusal = "shed"
	RefusedDraining     Refusal = "draining"
	RefusedSnapshotGone Refusal = "snapshotGone"
	RefusedTooLate      Refusal = "tooLate"
)

// Kind is the kind of an Error.
type Kind string

// KindMalformed means that a header is missing or unreadable.
const KindMalformed Kind = "malformed"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Hit is one result of a shard.
type Hit struct {
	ID       string  `json:"id"`
	Score    float64 `json:"score"`
	Snapshot string  `json:"snapshot"`
}

// Request is the identity and limits of one shard request.
type Request struct {
	RequestID string
	Attempt   uint64
	Snapshot  string
	Shard     string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Once marks a non-idempotent request.
	Once bool
}

// RunKey is the key under which runs of a request are counted.
func (r Request) RunKey() string {
	return r.RequestID + "/" + r.Shard
}

// SetHeaders writes the request into h.
func (r Request) SetHeaders(h http.Header) {
	r.Echo(h)
	h[HeaderRemaining] = []string{strconv.FormatInt(r.Remaining.Microseconds(), 10)}
	if r.Once {
		h[HeaderOnce] = []string{"true"}
	}
}

// Echo writes the identity that a reply must repeat into h.
func (r Request) Echo(h http.Header) {
	h[HeaderRequest] = []string{r.RequestID}
	h[HeaderAttempt] = []string{strconv.FormatUint(r.Attempt, 10)}
	h[HeaderSnapshot] = []string{r.Snapshot}
	h[HeaderShard] = []string{r.Shard}
}

// Echoes reports whether h repeats the identity of the request, snapshot included.
func (r Request) Echoes(h http.Header) bool {
	return h.Get(HeaderRequest) == r.RequestID &&
		h.Get(HeaderAttempt) == strconv.FormatUint(r.Attempt, 10) &&
		h.Get(HeaderSnapshot) == r.Snapshot &&
		h.Get(HeaderShard) == r.Shard
}

// ParseRequest reads a request from h.
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

// Load is what a backend server reports of itself.
type Load struct {
	Slots    int
	InFlight int
	Queued   int
}

// String returns the header form of the load.
func (l Load) String() string {
	return fmt.Sprintf("%d;%d;%d", l.Slots, l.InFlight, l.Queued)
}

// ParseLoad reads the header form; a load that cannot be read is zero.
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

// Digest is the value of the digest header for a reply's bytes.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

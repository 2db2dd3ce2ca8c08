package ticketer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"strings"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Ticket is a parsed idempotency ticket.
type Ticket struct {
	// Incarnation identifies the daemon process that issued the ticket.
	Incarnation string
	Sequence    uint64
	// Expires is the age of the issuing incarnation at which the ticket expires.
	Expires time.Duration
	mac     []byte
}

func (t Ticket) sign(secret []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write(t.payload())
	return mac.Sum(nil)[:macBytes]
}

func (t Ticket) payload() []byte {
	out := binary.AppendUvarint(nil, t.Sequence)
	out = binary.AppendUvarint(out, uint64(t.Expires.Milliseconds()))
	return append(out, t.Incarnation...)
}

// String returns the text form in which callers send the ticket.
func (t Ticket) String() string {
	body := base64.RawURLEncoding.EncodeToString(append(bytes.Clone(t.mac), t.payload()...))
	return ticketVersion + "." + body
}

// Parse parses the text form of a ticket. It does not verify who issued the ticket;
// Claim does.
func Parse(text string) (Ticket, error) {
	const op = "parse ticket"
	version, body, ok := strings.Cut(text, ".")
	if !ok || version != ticketVersion {
		return Ticket{}, failer.New(op, KindMalformed, "not a %s ticket", ticketVersion)
	}
	data, err := base64.RawURLEncoding.DecodeString(body)
	if err != nil {
		return Ticket{}, failer.Wrap(op, KindMalformed, err)
	}
	if len(data) <= macBytes {
		return Ticket{}, failer.New(op, KindMalformed, "the ticket is too short")
	}
	rest := data[macBytes:]
	sequence, n := binary.Uvarint(rest)
	if n <= 0 {
		return Ticket{}, failer.New(op, KindMalformed, "the sequence number is missing or invalid")
	}
	rest = rest[n:]
	millis, n := binary.Uvarint(rest)
	if n <= 0 || n == len(rest) || millis > uint64(1<<40) {
		return Ticket{}, failer.New(op, KindMalformed, "the expiry or the incarnation is missing or invalid")
	}
	return Ticket{
		Incarnation: string(rest[n:]),
		Sequence:    sequence,
		Expires:     time.Duration(millis) * time.Millisecond,
		mac:         data[:macBytes],
	}, nil
}

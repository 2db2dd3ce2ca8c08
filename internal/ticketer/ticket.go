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

// Ticket is the parsed form of a ticket.
type Ticket struct {
	// Incarnation names the daemon process that issued the ticket.
	Incarnation string
	Sequence    uint64
	// Expires is the age of the issuing incarnation at which the ticket ends.
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

// String returns the text form that callers carry.
func (t Ticket) String() string {
	body := base64.RawURLEncoding.EncodeToString(append(bytes.Clone(t.mac), t.payload()...))
	return ticketVersion + "." + body
}

// Parse reads the text form; who issued the ticket is checked by Begin.
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
		return Ticket{}, failer.New(op, KindMalformed, "too short")
	}
	rest := data[macBytes:]
	sequence, n := binary.Uvarint(rest)
	if n <= 0 {
		return Ticket{}, failer.New(op, KindMalformed, "no sequence")
	}
	rest = rest[n:]
	millis, n := binary.Uvarint(rest)
	if n <= 0 || n == len(rest) || millis > uint64(1<<40) {
		return Ticket{}, failer.New(op, KindMalformed, "no expiry or no incarnation")
	}
	return Ticket{
		Incarnation: string(rest[n:]),
		Sequence:    sequence,
		Expires:     time.Duration(millis) * time.Millisecond,
		mac:         data[:macBytes],
	}, nil
}

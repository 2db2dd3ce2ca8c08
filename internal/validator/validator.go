// Package validator checks what net/http accepts in the head of an HTTP/1.1 reply
// although it is not valid (RFC 9110 and RFC 9112). A sender of such a head is faulty, so
// that nothing else in the reply can be relied on, its framing included.
package validator

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	// KindStatus means that the status code is none that a client can receive.
	KindStatus Kind = "invalidStatus"
	// KindField means that a line is no header field, or that the name of a field is no
	// token.
	KindField Kind = "invalidField"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// opCheck is the operation in all errors of this package.
const opCheck = "check reply"

// The lowest and highest status codes of HTTP.
const (
	minStatus = 100
	maxStatus = 599
)

// Status returns an error of KindStatus for a code outside of 100 to 599 (RFC 9110,
// section 15) and for 101, which only follows a request to switch protocols; the project
// sends none.
func Status(code int) error {
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return failer.New(opCheck, KindStatus, "status %03d", code)
	}
	return nil
}

// FieldLine returns an error of KindField for a line, without its line end, that is not a
// field name followed by a colon (RFC 9112, section 5). A line that begins with a space or
// tab continues the field before it in an obsolete syntax, which is rejected too.
func FieldLine(line []byte) error {
	name, _, found := bytes.Cut(line, []byte{':'})
	valid := found && len(name) > 0
	for _, b := range name {
		valid = valid && httpguts.IsTokenRune(rune(b))
	}
	if !valid {
		return failer.New(opCheck, KindField, "%.64q is no header field", line)
	}
	return nil
}

// FieldNames returns an error of KindField if a name is no token.
func FieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return failer.New(opCheck, KindField, "%.64q is no field name", name)
		}
	}
	return nil
}

// Reply returns an error if the head of a reply that net/http has read is not valid. It
// cannot detect a line that continued another field; who reads the bytes checks each line
// with FieldLine.
func Reply(r *http.Response) error {
	if err := Status(r.StatusCode); err != nil {
		return err
	}
	return FieldNames(r.Header)
}

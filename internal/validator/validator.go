// Package validator checks what net/http accepts in the head of an HTTP/1.1 reply
// although it is not valid (RFC 9110 and RFC 9112). A sender of such a head is faulty, so
// that nothing else in the reply can be relied on, its framing included.
package validator

import (
	"net/http"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// KindStatus means that the status code is none that a client can receive.
const KindStatus Kind = "invalidStatus"

// Error is the error type of this package.
type Error = failer.Error[Kind]

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
		return failer.New("check reply", KindStatus, "status %03d", code)
	}
	return nil
}

// Reply returns an error if the head of a reply that net/http has read is not valid.
func Reply(r *http.Response) error {
	return Status(r.StatusCode)
}

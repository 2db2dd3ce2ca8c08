// Package failer provides the error type that the packages of fuchsiastile share.
package failer

import (
	"errors"

	"github.com/rotisserie/eris"
)

// Error is an error with the operation that failed and the kind of the failure.
// Each package declares its instance: type Error = failer.Error[Kind].
type Error[K ~string] struct {
	// Op is the operation that failed; it is never empty.
	Op string
	// Kind classifies the failure; callers decide by it how to handle the error.
	Kind K
	// Err is the cause; it may be nil.
	Err error
}

// Error implements error.
func (e *Error[K]) Error() string {
	text := e.Op + ": " + string(e.Kind)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error[K]) Unwrap() error {
	return e.Err
}

// New returns an error of a kind whose cause is a formatted message.
func New[K ~string](op string, kind K, format string, args ...any) error {
	return &Error[K]{Op: op, Kind: kind, Err: eris.Errorf(format, args...)}
}

// Wrap returns an error of a kind with err as its cause.
func Wrap[K ~string](op string, kind K, err error) error {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Is reports whether the first Error of this kind's type in err's chain has the
// kind.
func Is[K ~string](err error, kind K) bool {
	var e *Error[K]
	return errors.As(err, &e) && e.Kind == kind
}

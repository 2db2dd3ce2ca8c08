package validator_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

func TestStatus(t *testing.T) {
	is := is.New(t)
	for _, code := range []int{100, 102, 199, 200, 404, 503, 599} {
		is.NoErr(validator.Status(code))
	}
	for _, code := range []int{0, 7, 99, 101, 600, 999} {
		is.True(failer.Is(validator.Status(code), validator.KindStatus))
	}
}

package validator_test

import (
	"bufio"
	"net/http"
	"strings"
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

func TestFieldLine(t *testing.T) {
	is := is.New(t)
	for _, line := range []string{"A:", "A: b", "a-B_1:\tc: d", "!#$%&'*+-.^_`|~:x"} {
		is.NoErr(validator.FieldLine([]byte(line)))
	}
	for _, line := range []string{"", "A", ":", ": b", "A : b", "A\t: b", " A: b", "\tA: b", "A B: c", "A\x00: b", "A\x7f: b", "\u00c4: b", "A\r: b", "(A): b"} {
		is.True(failer.Is(validator.FieldLine([]byte(line)), validator.KindField))
	}
}

// TestReply checks the fields that net/http accepts in a head that it has read.
func TestReply(t *testing.T) {
	is := is.New(t)
	for line, valid := range map[string]bool{"A: b": true, "A B: c": false, "A : b": false} {
		head := "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n"
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		is.NoErr(err)
		is.Equal(validator.Reply(r) == nil, valid)
	}
}

package exchanger_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/exchanger"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// TestInvalidStatusEndsExchange covers servers that reply with a status that HTTP does
// not define, or that switch protocols without being asked to, and leave the connection
// open: the exchange must end at once, and what follows must not be taken for the reply.
func TestInvalidStatusEndsExchange(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "007", "099", "+99", "101", "600", "999"} {
		for name, rest := range map[string]string{"silence": "", "a reply": formatReply("mine", "late")} {
			t.Run(status+" and "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, _ int64) {
					writeString(c, "HTTP/1.1 "+status+" X\r\nId: mine\r\nContent-Length: 0\r\n\r\n"+rest)
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				_, err := f.doConnected(ctx, f.target)
				is.True(failer.Is(err, exchanger.KindReplyLost))
				is.NoErr(ctx.Err()) // before the deadline
				is.Equal(f.ConnectionCount(), 0)
			})
		}
	}
}

// invalidFieldLines are lines that are no header field. net/http skips some of them, joins
// others to the field before, and rejects the rest.
var invalidFieldLines = []string{
	"X Filler: 1", "X-Filler : 1", " X-Filler: 1", "\tX-Filler: 1", "X\tFiller: 1", "X\x00Filler: 1",
	"X\x01Filler: 1", "X\x7fFiller: 1", "X\u00e4: 1", "(X): 1", ": 1", " : 1", "X-Filler", "X\rFiller: 1", " ",
	"Content-Length : 4", "Content-Length\t: 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked",
}

// TestInvalidFieldLineEndsExchange covers servers that send a line which is no header
// field, in the head of a reply, of an interim reply or in a trailer, at any place: such a
// reply must not be returned, since its fields and its body may not be the server's.
func TestInvalidFieldLineEndsExchange(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 4\r\n\r\nbody"
	for _, line := range invalidFieldLines {
		for name, reply := range map[string]string{
			"first":   "HTTP/1.1 200 OK\r\n" + line + "\r\nId: mine\r\n" + body,
			"last":    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 4\r\n" + line + "\r\n\r\nbody",
			"unix":    "HTTP/1.1 200 OK\nId: mine\n" + line + "\nContent-Length: 4\n\nbody",
			"unsized": "HTTP/1.1 200 OK\r\nId: mine\r\n" + line + "\r\n\r\nbody" + formatReply("stray", "wrong"),
			"interim": "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + formatReply("mine", "body"),
			"refusal": "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\n" + line + "\r\n" + body,
			"trailer": "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n",
			"beyond":  "HTTP/1.1 200 OK\r\nId: mine\r\nX-Long: " + strings.Repeat("x", 40<<10) + "\r\n" + line + "\r\n" + body,
		} {
			t.Run(fmt.Sprintf("%q %s", line, name), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, _ int64) {
					writeString(c, reply)
					_ = c.Close()
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				got, err := f.doConnected(ctx, f.target)
				is.Equal(string(got.Body), "")
				is.True(failer.Is(err, exchanger.KindReplyLost))
				is.Equal(f.ConnectionCount(), 0)
			})
		}
	}
}

// TestReplyHeadsOfAnyShapeAreRead checks that valid heads are read whatever their length
// and however they arrive, and that their connection is used again.
func TestReplyHeadsOfAnyShapeAreRead(t *testing.T) {
	t.Parallel()
	for name, head := range map[string]string{
		"short":         "",
		"no reason":     "X-A:\r\n",
		"token":         "!#$%&'*+-.^_`|~09aZ: 1\r\n",
		"long value":    "X-Long: " + strings.Repeat("x", 60<<10) + "\r\n",
		"many fields":   strings.Repeat("X-Filler: 0123456789abcdef\r\n", 2000),
		"buffer filled": "X-Long: " + strings.Repeat("x", 1<<10-len("HTTP/1.1 200 OK\r\nX-Long: \r\n")) + "\r\n",
	} {
		for _, pieces := range []int{1, 2, 3, 40} {
			t.Run(fmt.Sprintf("%s in %d", name, pieces), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := newScriptedServer(t, func(c net.Conn, n int64) {
					reply := "HTTP/1.1 200 OK\r\n" + head + "Id: mine\r\nContent-Length: 1\r\n\r\n" + fmt.Sprint(n)
					for rest := pieces; rest > 0; rest-- {
						size := len(reply) / rest
						writeString(c, reply[:size])
						reply = reply[size:]
						time.Sleep(time.Millisecond)
					}
				})
				f := newFixture(s.address, 1)
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				for n := range 3 {
					got, err := f.doConnected(ctx, f.target)
					is.NoErr(err)
					is.Equal(string(got.Body), fmt.Sprint(n+1))
				}
				is.Equal(f.ConnectionCount(), 1)
				is.Equal(s.requests.Load(), int64(3))
			})
		}
	}
}

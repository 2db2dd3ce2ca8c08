package exchanger

import (
	"bufio"
	"bytes"
	"io"

	"github.com/fuchsiastile/fuchsiastile/internal/validator"
)

// checkHead waits for the head of the next reply and checks its header lines before
// http.ReadResponse reads it: that one skips a field whose name holds a space, though it
// may be the one that frames the body, and joins a line that begins with a space to the
// field before. checkHead consumes nothing.
func (c *conn) checkHead() error {
	for start, isStatusLine := 0, true; ; isStatusLine = false {
		line, err := c.peekLine(start)
		if err != nil {
			return err
		}
		start += len(line)
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte{'\n'}), []byte{'\r'})
		switch {
		case isStatusLine:
			// http.ReadResponse checks it.
		case len(line) == 0:
			return nil
		default:
			if err := validator.FieldLine(line); err != nil {
				return err
			}
		}
	}
}

// peekLine returns the line, with its line end, that begins start bytes after the last
// byte that was consumed. The bytes between have been peeked already.
func (c *conn) peekLine(start int) ([]byte, error) {
	for searched := start; ; {
		unread, _ := c.reader.Peek(c.reader.Buffered())
		if end := bytes.IndexByte(unread[searched:], '\n'); end >= 0 {
			return unread[start : searched+end+1], nil
		}
		searched = len(unread)
		if searched == c.reader.Size() {
			c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(unread), c.limit), 2*searched)
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return nil, err
		}
	}
}

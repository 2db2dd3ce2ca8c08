package logger_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/logger"
)

// TestErrorsAreLoggedOnce guards against errors that klog writes once for each severity, and
// that so use up the limits of the log.
func TestErrorsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	w := logger.New(&out)
	is.NoErr(logger.Attach(w))
	klog.ErrorS(nil, "an error")
	klog.InfoS("a message")
	klog.Flush()
	w.Close(time.Second)
	is.Equal(strings.Count(out.String(), "an error"), 1)
	is.Equal(strings.Count(out.String(), "a message"), 1)
}

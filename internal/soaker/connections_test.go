package soaker

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cutOutput is what a daemon logs on a cut request, and unansweredOutput what it logs at its
// end if there were such requests.
const (
	cutOutput        = `E1208 01:58:23.166299   11117 cut.go:18] "connection closed with a request unanswered" err="broken pipe" cause="limit" remote="127.0.0.1:58818" active=false bytes=106 written=0 sinceFirstByteMillis=150 sinceLastByteMillis=15 stopping=false` + "\n"
	unansweredOutput = `E1208 01:58:25.101020   11117 ledger.go:101] "requests of callers ended without a response" name="vm-0" begun=30 open=0 answered=28 refused=1 callerLeft=0 cut=1` + "\n"
)

// TestLoggedCutsAreViolations covers the check on what a process logs: lines in parts, and
// processes that were suspended while or shortly before the request was read.
func TestLoggedCutsAreViolations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var s Soak
	var log, written bytes.Buffer
	faults := &faultRecord{}
	w := &outputWatcher{soak: &s, log: &log, faults: faults}
	write := func(text string) {
		for len(text) > 0 {
			n, err := io.WriteString(io.MultiWriter(&written, w), text[:min(100, len(text))])
			is.NoErr(err)
			text = text[n:]
		}
	}
	write("another line\n" + cutOutput + cutOutput + "the end")
	is.Equal(len(s.report.Violations), 2)
	faults.recordSuspension()
	write("\n" + cutOutput)
	faults.recordResumption()
	write(cutOutput)
	is.Equal(len(s.report.Violations), 2)
	faults.suspended[0], faults.resumed[0] = time.Now().Add(-3*time.Second), time.Now().Add(-2*time.Second)
	write(cutOutput)
	is.Equal(len(s.report.Violations), 3)
	is.Equal(log.String(), written.String())
}

// TestLoggedSumsOfCutsAreViolations covers the check on the sum that a process logs at its
// end: it may contain requests that any suspension of the process has cut.
func TestLoggedSumsOfCutsAreViolations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var s Soak
	faults := &faultRecord{}
	w := &outputWatcher{soak: &s, log: io.Discard, faults: faults}
	write := func(text string) {
		_, err := io.WriteString(w, text)
		is.NoErr(err)
	}
	write(`I1208 01:58:25.101020   11117 ledger.go:104] "all requests of callers ended" name="vm-0" begun=1` + "\n")
	is.Equal(len(s.report.Violations), 0)
	write(unansweredOutput)
	is.Equal(len(s.report.Violations), 1)
	faults.suspended, faults.resumed = []time.Time{time.Now().Add(-time.Hour)}, []time.Time{time.Now().Add(-time.Hour)}
	write(unansweredOutput)
	is.Equal(len(s.report.Violations), 1)
}

// TestCutAnswersAreViolations covers the check on what a caller with a connection of its own
// receives.
func TestCutAnswersAreViolations(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		answer     string
		kill       bool
		violations int
	}{
		"whole":            {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno", false, 0},
		"head cut":         {"HTTP/1.1 503 Service", false, 1},
		"body cut":         {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nn", false, 1},
		"body cut, killed": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nn", true, 0},
		"none":             {"", false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = l.Close() }()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				// The caller closes first, so that no reset discards the answer.
				go func() { _, _ = io.WriteString(conn, test.answer); _ = conn.(*net.TCPConn).CloseWrite() }()
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
			p := &process{faults: &faultRecord{killed: test.kill}}
			s := &Soak{processes: []*process{p}, onceStatus: map[string]int{}}
			conn, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			caller := s.newConnectionCaller(2) // on the path of single searchers
			caller.use(t.Context(), conn)
			is.Equal(s.report.Requests, 1)
			is.Equal(len(s.report.Violations), test.violations)
		})
	}
}

package soaker

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
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

// Answers of a daemon. The caller may use the connection for up to a second after
// announcedAnswer, and for up to four fifths of the idle limit after keptAnswer.
const (
	closingAnswer   = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 2\r\n\r\nno"
	announcedAnswer = "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nno"
	endingAnswer    = "HTTP/1.1 503 Service Unavailable\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nno"
	keptAnswer      = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nno"
	cutAnswer       = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\nn"
)

// answerConnection answers the first request of a connection and closes it, and returns the
// caller's end.
func answerConnection(t *testing.T, answer string) net.Conn {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		// The caller closes first, so that no reset discards the answer.
		go func() { _, _ = io.WriteString(conn, answer); _ = conn.(*net.TCPConn).CloseWrite() }()
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	return conn
}

// TestCutAnswersAreViolations covers the check on what a caller with a connection of its own
// receives.
func TestCutAnswersAreViolations(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		answer                                        string
		kill, suspend                                 bool
		requests, kept, keptLost, newLost, violations int
	}{
		"whole":                              {answer: closingAnswer, requests: 1},
		"head cut":                           {answer: "HTTP/1.1 503 Service", requests: 1, violations: 1},
		"body cut":                           {answer: cutAnswer, requests: 1, violations: 1},
		"body cut, killed":                   {answer: cutAnswer, kill: true, requests: 1},
		"none":                               {answer: "", requests: 1, newLost: 1},
		"none, killed":                       {answer: "", kill: true, requests: 1},
		"closed earlier than announced":      {answer: announcedAnswer, requests: 2, kept: 1, keptLost: 1, violations: 1},
		"closed earlier, killed":             {answer: announcedAnswer, kill: true, requests: 2, kept: 1, keptLost: 1},
		"closed earlier, suspended":          {answer: announcedAnswer, suspend: true, requests: 2, kept: 1, keptLost: 1},
		"closed as announced":                {answer: endingAnswer, requests: 1},
		"closed earlier than the idle limit": {answer: keptAnswer, requests: 2, kept: 1, keptLost: 1, violations: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := &process{faults: &faultRecord{killed: test.kill}}
			if test.suspend {
				p.faults.recordSuspension()
			}
			s := &Soak{processes: []*process{p}, onceStatus: map[string]int{}, tier: &stager.Tier{}}
			s.tier.StoredConfiguration.Limits.IdleTimeout = time.Second
			caller := s.newConnectionCaller(2) // on the path of single searchers
			caller.use(t.Context(), answerConnection(t, test.answer))
			is.Equal(s.report.Requests, test.requests)
			is.Equal(s.report.Kept, test.kept)
			is.Equal(s.report.KeptLost, test.keptLost)
			is.Equal(s.report.NewLost, test.newLost)
			is.Equal(len(s.report.Violations), test.violations)
		})
	}
}

// TestIdleLimitsThatMayBeInForce covers the limit that callers keep to without an
// announcement: a process may still have a configuration that was replaced a while ago.
func TestIdleLimitsThatMayBeInForce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := &Soak{tier: &stager.Tier{}}
	s.tier.StoredConfiguration.Limits.IdleTimeout = 10 * time.Second
	is.Equal(s.lifetimeAfter(stager.Reply{}), 8*time.Second)
	s.replacedLimits = []replacedLimit{{time.Second, time.Now().Add(-configurationAge)}, {5 * time.Second, time.Now()}, {20 * time.Second, time.Now()}}
	is.Equal(s.lifetimeAfter(stager.Reply{}), 4*time.Second)
	is.Equal(s.lifetimeAfter(stager.Reply{Header: http.Header{"Keep-Alive": {"timeout=2"}}}), 2*time.Second)
}

package soaker

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

const (
	// connectionCallersPerDaemon is the number of callers that use connections of their own.
	connectionCallersPerDaemon = 4
	// shortPause and longPause bound the pauses before and within the head of a request.
	shortPause, longPause = 50 * time.Millisecond, 300 * time.Millisecond
	// answerLimit is far above the time in which a daemon that runs answers or exits.
	answerLimit = 10 * time.Second
	// suspensionEffect is the time after a suspension during which it excuses a cut.
	suspensionEffect = time.Second
	// configurationAge is above the age of any configuration that a process may apply.
	configurationAge = 15 * time.Second
)

// faultRecord records what the soak did to one run of a process.
type faultRecord struct {
	mu     sync.Mutex
	killed bool
	// suspended and resumed are the times of each suspension; one in progress has no
	// resumption.
	suspended, resumed []time.Time
}

func (r *faultRecord) recordKill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.killed = true
}

func (r *faultRecord) recordSuspension() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended = append(r.suspended, time.Now())
}

func (r *faultRecord) recordResumption() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumed = append(r.resumed, time.Now())
}

// recordPause records a suspension that is about to end.
func (r *faultRecord) recordPause(suspended, resumed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspended, r.resumed = append(r.suspended, suspended), append(r.resumed, resumed)
}

func (r *faultRecord) wasKilled() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.killed
}

// wasSuspendedSince reports whether a suspension may have had an effect between start and now.
func (r *faultRecord) wasSuspendedSince(start time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.suspended {
		if n >= len(r.resumed) || r.resumed[n].Add(suspensionEffect).After(start) {
			return true
		}
	}
	return false
}

// cutLine matches the daemon's log line on a request that it began to read and cut, and
// unansweredLine the one at its end on the number of such requests.
var (
	cutLine        = regexp.MustCompile(`"connection closed with a request unanswered".* sinceFirstByteMillis=(\d+)`)
	unansweredLine = regexp.MustCompile(`"requests of callers ended without a response"`)
)

// outputWatcher copies the output of a process to its log and reports cut requests. Only the
// daemon knows what it has read, and a line shows that it ran: no stop or kill excuses it.
type outputWatcher struct {
	soak    *Soak
	index   int
	log     io.Writer
	faults  *faultRecord
	partial []byte
}

// Write implements io.Writer.
func (w *outputWatcher) Write(p []byte) (int, error) {
	w.partial = append(w.partial, p...)
	for {
		line, rest, whole := bytes.Cut(w.partial, []byte("\n"))
		if !whole {
			return w.log.Write(p)
		}
		w.partial = rest
		if since, ok := cutSince(line); ok && !w.faults.wasSuspendedSince(since) {
			w.soak.reportViolation("process %d: %s", w.index, line)
		}
	}
}

// cutSince returns the time from which a suspension excuses the requests that a line reports
// as cut; ok is false if it reports none.
func cutSince(line []byte) (since time.Time, ok bool) {
	if unansweredLine.Match(line) {
		return time.Time{}, true
	}
	match := cutLine.FindSubmatch(line)
	if match == nil {
		return time.Time{}, false
	}
	millis, _ := strconv.ParseInt(string(match[1]), 10, 64)
	return time.Now().Add(-time.Duration(millis) * time.Millisecond), true
}

// connectionCaller sends requests to one process on connections of its own: on each for as
// long as the process announces to keep it, or one on each. It does not look at an idle
// connection: a request that finds it closed would cross the close on a longer network.
type connectionCaller struct {
	soak    *Soak
	process *process
	rng     *rand.Rand
	keeps   bool
	sent    int
}

func (s *Soak) newConnectionCaller(n int) *connectionCaller {
	return &connectionCaller{
		soak: s, process: s.processes[n%len(s.processes)], keeps: n/len(s.processes)%2 == 0,
		rng: rand.New(rand.NewPCG(s.config.Seed, firstCallerStream+uint64(n))), sent: n,
	}
}

func (c *connectionCaller) run(ctx context.Context) {
	c.soak.mu.Lock()
	address := c.process.Settings.CallerAddress
	c.soak.mu.Unlock()
	for ctx.Err() == nil {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(c.randomPause())
			continue
		}
		c.use(ctx, conn)
	}
}

func (c *connectionCaller) randomPause() time.Duration {
	return randomDuration(c.rng, shortPause, longPause)
}

// callerConn is a connection to a run of a process.
type callerConn struct {
	net.Conn
	reader *bufio.Reader
	faults *faultRecord
	// answeredAt is when the last response was received, and keptUntil when the connection
	// may be closed after it; both are zero until then.
	answeredAt, keptUntil time.Time
	// sentAt is when the first bytes of the last request had been sent.
	sentAt time.Time
}

// isKept reports whether the last request was sent on a connection that was to be kept.
func (c *callerConn) isKept() bool { return c.sentAt.Before(c.keptUntil) }

// use sends requests on a connection until it is closed or its time is over, or one.
func (c *connectionCaller) use(ctx context.Context, dialed net.Conn) {
	conn := &callerConn{Conn: dialed, reader: bufio.NewReader(dialed), faults: c.soak.faultsOf(c.process)}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	for open := c.keeps || conn.isOpenAfter(c.randomPause()); open; {
		paths := []string{stager.ScatterGatherPath, stager.AtMostOncePath, stager.SinglePath}
		path := paths[c.sent%len(paths)]
		c.sent++
		isReusable := c.request(ctx, conn, path)
		open = c.keeps && isReusable && c.awaitNext(ctx, conn)
	}
}

// awaitNext waits before a connection is used again, and reports whether it still may be.
func (c *connectionCaller) awaitNext(ctx context.Context, conn *callerConn) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(c.idlePause(conn.keptUntil.Sub(conn.answeredAt))):
		return time.Now().Before(conn.keptUntil)
	}
}

// idlePause returns the pause before a connection is used again: short, or of any length.
func (c *connectionCaller) idlePause(lifetime time.Duration) time.Duration {
	if lifetime <= shortPause || c.rng.IntN(2) == 0 {
		return min(lifetime, c.randomPause())
	}
	return randomDuration(c.rng, shortPause, lifetime)
}

// isOpenAfter waits and reports whether the connection is still open.
func (c *callerConn) isOpenAfter(pause time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(pause))
	_, err := c.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// request sends a request, checks the answer and reports whether the connection can be used
// for another. An answer that begins and does not end is a violation, and so are a daemon
// that keeps the connection and sends none, and one that closes a connection earlier than
// announced.
func (c *connectionCaller) request(ctx context.Context, conn *callerConn, path string) bool {
	id, method := c.soak.nextRequestID(), methodOf(path)
	r, err := http.NewRequestWithContext(ctx, method, "http://"+stager.TierHost+path+"x", nil)
	if err != nil {
		panic(err)
	}
	platform.WriteCallerHeaders(r.Header, id, callerTimeout)
	started := time.Now()
	c.send(conn, r)
	_ = conn.SetReadDeadline(time.Now().Add(answerLimit))
	_, err = conn.reader.Peek(1)
	begun := err == nil
	var reply stager.Reply
	isReusable := false
	if begun {
		reply, isReusable, err = readReply(conn.reader, r)
	}
	if ctx.Err() != nil {
		return false
	}
	isKept, since := conn.isKept(), started
	if isKept {
		since = conn.answeredAt
		c.soak.recordKept(err)
	}
	isExcused := conn.faults.wasKilled() || conn.faults.wasSuspendedSince(since)
	isCut := err != nil && (begun || isKept || errors.Is(err, os.ErrDeadlineExceeded))
	if isCut && !isExcused {
		c.soak.reportViolation("%s: process %d: no whole answer after %v, begun: %t, kept: %t, idle for %v before, %v", id, c.process.index, time.Since(started), begun, isKept, started.Sub(since), err)
	}
	if err != nil && !begun && conn.answeredAt.IsZero() && !isExcused {
		c.soak.recordNewLost()
	}
	c.soak.recordReply(id, path, reply, err)
	if isReusable {
		conn.answeredAt = time.Now()
		conn.keptUntil = conn.answeredAt.Add(c.soak.lifetimeAfter(reply))
	}
	return isReusable
}

// recordKept counts a request on a kept connection, which got a whole answer if err is nil.
func (s *Soak) recordKept(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Kept++
	if err != nil {
		s.report.KeptLost++
	}
}

// recordNewLost counts the first request of a connection that was closed without an answer.
func (s *Soak) recordNewLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.NewLost++
}

// lifetimeAfter returns how long a connection is kept after a reply. Without an announcement
// this is four fifths of the idle limit, which callers of the users' platform rely on.
func (s *Soak) lifetimeAfter(reply stager.Reply) time.Duration {
	if lifetime, ok := reply.KeptFor(); ok {
		return lifetime
	}
	return s.smallestIdleLimit() * 4 / 5
}

// send sends a request, half of the time in two parts. Its errors show as missing answers.
func (c *connectionCaller) send(conn *callerConn, r *http.Request) {
	var head bytes.Buffer
	_ = r.Write(&head)
	first := head.Len()
	if c.rng.IntN(2) == 0 {
		first = 1 + c.rng.IntN(head.Len()-1)
	}
	_, _ = conn.Write(head.Next(first))
	conn.sentAt = time.Now()
	if head.Len() > 0 {
		time.Sleep(c.randomPause())
		_, _ = conn.Write(head.Bytes())
	}
}

// readReply reads a whole response and reports whether the connection remains open after it.
func readReply(reader *bufio.Reader, r *http.Request) (stager.Reply, bool, error) {
	response, err := http.ReadResponse(reader, r)
	if err != nil {
		return stager.Reply{}, false, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return stager.Reply{Status: response.StatusCode, Header: response.Header, Body: body}, err == nil && !response.Close, err
}

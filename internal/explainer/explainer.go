// Package explainer reports on one request from the log lines of daemons: its
// outcome, the cause, and the state that the daemon had last logged before it.
package explainer

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	// KindUnknownRequest means that no log line has the request's ID.
	KindUnknownRequest Kind = "unknownRequest"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// maxLineBytes is the length of the longest line that can be read.
const maxLineBytes = 1 << 20

// Line is one structured log line in klog's format.
type Line struct {
	// Origin is the last word before the klog header, such as a VM's name; empty if
	// there is none.
	Origin string
	// Timestamp is the line's date and time as logged, in the form "0102 15:04:05.000000".
	Timestamp string
	Message   string
	Fields    map[string]string
}

var (
	headerPattern = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ [\w.]+:\d+\] ("(?:[^"\\]|\\.)*")(.*)$`)
	fieldPattern  = regexp.MustCompile(` (\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Parse parses a line and reports whether it is a structured klog line.
func Parse(text string) (Line, bool) {
	m := headerPattern.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	l := Line{Origin: originOf(m[1]), Timestamp: m[2], Message: unquote(m[3]), Fields: map[string]string{}}
	for _, f := range fieldPattern.FindAllStringSubmatch(m[4], -1) {
		l.Fields[f[1]] = unquote(f[2])
	}
	return l, true
}

// originOf returns the last word before the klog header, which names the daemon
// where the lines of several daemons are read together.
func originOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func unquote(text string) string {
	if unquoted, err := strconv.Unquote(text); err == nil {
		return unquoted
	}
	return text
}

// stateMessages maps the messages that report a daemon's state to the subject of
// the state. A later message on the same subject supersedes an earlier one.
var stateMessages = map[string]string{
	"daemon started":                        "process",
	"daemon is stopping":                    "process",
	"configuration in force":                "configuration",
	"servers changed":                       "servers",
	"store lost":                            "store",
	"store regained":                        "store",
	"store confirmed again after an outage": "outage",
	"daemons alive":                         "daemons",
	"settings reloaded":                     "settings",
	"settings not taken, the old ones hold": "settings",
}

// Explain reads log lines and writes a report on the request with the given ID.
func Explain(in io.Reader, id string, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, maxLineBytes), maxLineBytes)
	states := map[string]map[string]Line{}
	found := false
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		if subject, ok := stateMessages[line.Message]; ok {
			if states[line.Origin] == nil {
				states[line.Origin] = map[string]Line{}
			}
			states[line.Origin][subject] = line
		}
		if line.Fields["id"] == id {
			found = true
			writeReport(out, line, states[line.Origin])
		}
	}
	if err := scanner.Err(); err != nil {
		return failer.Wrap("read log", KindUnreadable, err)
	}
	if !found {
		return failer.New("explain", KindUnknownRequest, "no log line has the request ID %q; another daemon may have served the request, or its line was dropped (search for \"log lines dropped\")", id)
	}
	return nil
}

func writeReport(out io.Writer, line Line, states map[string]Line) {
	f := line.Fields
	_, _ = fmt.Fprintf(out, "%s %s: %s after %s ms, status %s\n", line.Timestamp, line.Origin, line.Message, f["millis"], valueOr(f["status"], "200"))
	_, _ = fmt.Fprintf(out, "  route %s of configuration %s\n", f["route"], f["version"])
	if f["why"] != "" {
		_, _ = fmt.Fprintf(out, "  because: %s\n", f["why"])
	}
	if f["callerLeft"] == "true" {
		_, _ = fmt.Fprintln(out, "  the caller left before the answer")
	}
	if f["shards"] != "" {
		_, _ = fmt.Fprintf(out, "  shards answered: %s of %s, further attempts: %s\n", f["answered"], f["shards"], f["extra"])
	}
	if f["trail"] != "" {
		for _, step := range strings.Split(f["trail"], "; ") {
			_, _ = fmt.Fprintf(out, "    %s\n", step)
		}
	}
	for _, subject := range []string{"process", "settings", "configuration", "servers", "store", "outage", "daemons"} {
		if l, ok := states[subject]; ok {
			_, _ = fmt.Fprintf(out, "  last known of %s: %s %s%s\n", subject, l.Timestamp, l.Message, stateFields(l))
		}
	}
}

// stateFields formats the fields of a state message that the report includes.
func stateFields(l Line) string {
	text := ""
	for _, name := range []string{"version", "routes", "revision", "ready", "draining", "heldAfterOutage", "ageMillis", "outageMillis", "cause", "live", "sharing"} {
		if value, ok := l.Fields[name]; ok {
			text += " " + name + "=" + value
		}
	}
	return text
}

func valueOr(text, fallback string) string {
	if text == "" {
		return fallback
	}
	return text
}

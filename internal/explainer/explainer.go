// Package explainer reads a daemon's log lines and tells the story of one
// request: what became of it and why, and what the daemon believed at the time.
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

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	// KindUnknownRequest means that no line names the request.
	KindUnknownRequest Kind = "unknownRequest"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// maxLine is the longest line that is read, in bytes.
const maxLine = 1 << 20

// Line is one structured log line.
type Line struct {
	// Origin is what stands before the line's own header, such as a VM's name.
	Origin string
	// Timestamp is the line's time of day.
	Timestamp string
	Message   string
	Fields    map[string]string
}

var (
	header = regexp.MustCompile(`^(.*?)[IWEF](\d{4} \d\d:\d\d:\d\d\.\d+)\s+\d+ [\w.]+:\d+\] ("(?:[^"\\]|\\.)*")(.*)$`)
	field  = regexp.MustCompile(` (\w+)=("(?:[^"\\]|\\.)*"|\S+)`)
)

// Parse reads a line; ok is false where it is none of a daemon's.
func Parse(text string) (Line, bool) {
	m := header.FindStringSubmatch(text)
	if m == nil {
		return Line{}, false
	}
	l := Line{Origin: originOf(m[1]), Timestamp: m[2], Message: unquote(m[3]), Fields: map[string]string{}}
	for _, f := range field.FindAllStringSubmatch(m[4], -1) {
		l.Fields[f[1]] = unquote(f[2])
	}
	return l, true
}

// originOf is the last word before the header, which names the daemon where
// several daemons' lines are read together.
func originOf(prefix string) string {
	words := strings.Fields(prefix)
	if len(words) == 0 {
		return ""
	}
	return words[len(words)-1]
}

func unquote(text string) string {
	if plain, err := strconv.Unquote(text); err == nil {
		return plain
	}
	return text
}

// beliefs are the messages that tell what a daemon believes, each with the
// subject that a later line of the same kind replaces.
var beliefs = map[string]string{
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

// Explain reads log lines and writes the story of the request with the id.
func Explain(in io.Reader, id string, out io.Writer) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, maxLine), maxLine)
	known := map[string]map[string]Line{}
	found := false
	for scanner.Scan() {
		line, ok := Parse(scanner.Text())
		if !ok {
			continue
		}
		if subject, ok := beliefs[line.Message]; ok {
			if known[line.Origin] == nil {
				known[line.Origin] = map[string]Line{}
			}
			known[line.Origin][subject] = line
		}
		if line.Fields["id"] == id {
			found = true
			tell(out, line, known[line.Origin])
		}
	}
	if err := scanner.Err(); err != nil {
		return failer.Wrap("read log", KindUnreadable, err)
	}
	if !found {
		return failer.New("explain", KindUnknownRequest, "no line names the request %q; it may have reached another daemon, or its line was dropped (look for \"log lines dropped\")", id)
	}
	return nil
}

func tell(out io.Writer, line Line, believed map[string]Line) {
	f := line.Fields
	_, _ = fmt.Fprintf(out, "%s %s: %s after %s ms, status %s\n", line.Timestamp, line.Origin, line.Message, f["millis"], orElse(f["status"], "200"))
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
		if l, ok := believed[subject]; ok {
			_, _ = fmt.Fprintf(out, "  last known of %s: %s %s%s\n", subject, l.Timestamp, l.Message, details(l))
		}
	}
}

// details lists the fields that matter of a belief.
func details(l Line) string {
	text := ""
	for _, name := range []string{"version", "routes", "revision", "ready", "draining", "heldAfterOutage", "ageMillis", "outageMillis", "cause", "live", "sharing"} {
		if value, ok := l.Fields[name]; ok {
			text += " " + name + "=" + value
		}
	}
	return text
}

func orElse(text, other string) string {
	if text == "" {
		return other
	}
	return text
}

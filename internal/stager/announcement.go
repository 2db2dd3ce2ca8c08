package stager

import (
	"strconv"
	"strings"
	"time"
)

// KeptFor returns how long after the reply the daemon keeps the idle connection open, as its
// Keep-Alive header announces; ok is false if it announces nothing.
func (r Reply) KeptFor() (duration time.Duration, ok bool) {
	for part := range strings.SplitSeq(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(seconds) * time.Second, true
		}
	}
	return 0, false
}

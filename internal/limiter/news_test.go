package limiter_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
)

// TestNewestReplyDecides guards against news of other daemons that bring back a limit
// that has ended, or end one that a server has named since.
func TestNewestReplyDecides(t *testing.T) {
	is := is.New(t)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	told := limiter.New(start.Add(-time.Minute))
	told.RecordLimit(at(0), key, 0.5)
	named := told.News(at(100))
	is.Equal(len(named), 1)
	told.RecordNoLimit(at(500), at(500), key)
	ended := told.News(at(600))
	is.True(ended[0].Ended)

	l := limiter.New(start.Add(-time.Minute))
	is.Equal(l.Merge(at(700), named), 1) // learned from another daemon
	is.Equal(l.Merge(at(700), ended), 1) // and that it has ended
	is.Equal(l.Merge(at(700), named), 0) // older news
	_, ok := l.Take(at(700), key, 0.99)
	is.True(ok)
	l.RecordLimit(at(800), key, 0.5) // the server names it anew
	is.Equal(l.Merge(at(900), ended), 0)
	_, ok = l.Take(at(900), key, 0.99)
	is.True(!ok)
}

// TestInvalidNewsIsIgnored guards against a datagram with impossible values that lifts
// or sets a limit.
func TestInvalidNewsIsIgnored(t *testing.T) {
	is := is.New(t)
	l := limiter.New(start.Add(-time.Minute))
	for _, o := range []limiter.Observation{
		{Server: 1, PerSecond: math.NaN(), RepliedAt: start},
		{Server: 1, PerSecond: math.Inf(1), RepliedAt: start},
		{Server: 1, PerSecond: -1, RepliedAt: start},
		{Server: 1, PerSecond: 1, RepliedAt: start.Add(time.Second)},
		{Server: 1, PerSecond: 1, RepliedAt: start.Add(-time.Minute)},
	} {
		is.Equal(l.Merge(start, []limiter.Observation{o}), 0)
	}
}

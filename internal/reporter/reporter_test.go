package reporter

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// report returns the report of a daemon that observed one searcher.
func report(key string, answered, failed int, serviceTime time.Duration) []Observation {
	return []Observation{{Searcher: Hash(key), Answered: answered, Failed: failed, ServiceTime: serviceTime}}
}

func TestSummaryNamesSearchersThatDeviate(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New()
	for daemon := range 3 {
		sender := fmt.Sprint("daemon-", daemon)
		for n := range 8 {
			r.Collect(sender, report(fmt.Sprint("usual-", n), 2, 0, 20*time.Millisecond))
		}
		r.Collect(sender, report("refusing", 1, 1, 20*time.Millisecond))
		r.Collect(sender, report("slow", 1, 0, 60*time.Millisecond))
	}
	summary := r.Summary()
	is.Equal(summary.TypicalServiceTime, 20*time.Millisecond)
	is.Equal(len(summary.Searchers), 2)
	is.Equal(summary.Searchers[0], Observation{Searcher: Hash("slow"), Answered: 3, ServiceTime: 60 * time.Millisecond})
	is.Equal(summary.Searchers[1], Observation{Searcher: Hash("refusing"), Answered: 3, Failed: 3, ServiceTime: 20 * time.Millisecond})
	is.Equal(len(r.Summary().Searchers), 0) // each observation counts once
}

// TestRecoveredSearcherIsNamed checks that a searcher that deviated is in a few summaries
// when it is sound again, so that daemons that avoid it learn that.
func TestRecoveredSearcherIsNamed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New()
	r.Collect("a", report("x", 0, 1, 0))
	r.Collect("b", report("x", 0, 1, 0))
	is.Equal(len(r.Summary().Searchers), 1)
	is.Equal(len(r.Summary().Searchers), 0) // nobody met it
	for n := range recoveryReports + 1 {
		r.Collect("c", report("x", 1, 0, time.Millisecond))
		is.Equal(len(r.Summary().Searchers), min(1, recoveryReports-n))
	}
}

// TestOneDaemonCannotCondemnSearchers covers a daemon that reports false refusals or
// service times: alone it puts no searcher into a summary, and beside others it counts
// as a few requests only.
func TestOneDaemonCannotCondemnSearchers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New()
	for range 10 {
		r.Collect("liar", report("a", 0, math.MaxInt32, 0))
	}
	is.Equal(len(r.Summary().Searchers), 0)

	for daemon := range 10 {
		r.Collect(fmt.Sprint("daemon-", daemon), report("a", 2, 0, time.Millisecond))
	}
	r.Collect("liar", report("a", 0, math.MaxInt32, 0))
	r.Collect("liar", report("a", math.MinInt32, math.MinInt32, -time.Hour))
	is.Equal(len(r.Summary().Searchers), 0) // 4 of 24 requests
}

func TestReportsAndPoolAreBounded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	r := New()
	for n := range 10 * maxObservations {
		r.RecordAnswer(fmt.Sprint("searcher-", n), time.Millisecond)
	}
	r.RecordFailure("refusing")
	own := r.Report()
	is.Equal(len(own), maxObservations)
	is.Equal(own[0].Searcher, Hash("refusing"))
	is.Equal(len(r.Report()), 0)
	for n := range 2 * maxPooled {
		for _, sender := range []string{"a", "b"} {
			r.Collect(sender, report(fmt.Sprint("searcher-", n), 0, 1, 0))
		}
	}
	is.Equal(len(r.pool), maxPooled)
	is.Equal(len(r.Summary().Searchers), maxObservations)
	for range recoveryIntervals + 1 {
		r.Summary()
	}
	is.Equal(len(r.pool), 0)
}

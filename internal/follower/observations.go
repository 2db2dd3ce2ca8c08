package follower

import (
	"math"
	"slices"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
)

// collectorsPerDomain is how many daemons of a failure domain pool its observations;
// with two, the loss of one loses none.
const collectorsPerDomain = 2

// SendReport sends what this daemon observed to the other collectors of its failure
// domain, which follow from the membership, and reports whether this daemon is one.
func (f *Follower) SendReport(report []reporter.Observation) (isCollector bool) {
	collectors := assigner.TopRanked("observations", f.localAddresses(), collectorsPerDomain)
	isCollector = slices.Contains(collectors, f.address)
	if len(report) > 0 {
		f.gossip.SendTo(f.withoutSelf(collectors), &messenger.Packet{
			From: f.address, Target: f.config.Settings.FailureDomain, Report: encodeObservations(report),
		})
	}
	return isCollector
}

// SendSummary sends what this daemon pooled to the other daemons of its failure domain.
func (f *Follower) SendSummary(summary reporter.Summary) {
	if len(summary.Searchers) == 0 {
		return
	}
	f.gossip.SendTo(f.withoutSelf(f.localAddresses()), &messenger.Packet{
		From: f.address, Target: f.config.Settings.FailureDomain,
		Summary: encodeObservations(summary.Searchers), TypicalServiceMicros: encodeMicros(summary.TypicalServiceTime),
	})
}

// encodeMicros returns a duration of at least zero in microseconds.
func encodeMicros(d time.Duration) uint32 { return uint32(min(d.Microseconds(), math.MaxUint32)) }

func decodeMicros(micros uint32) time.Duration { return time.Duration(micros) * time.Microsecond }

func encodeObservations(list []reporter.Observation) []*messenger.Observation {
	out := make([]*messenger.Observation, len(list))
	for i, o := range list {
		out[i] = &messenger.Observation{
			Searcher: o.Searcher, Answered: uint32(o.Answered), Failed: uint32(o.Failed),
			ServiceMicros: encodeMicros(o.ServiceTime),
		}
	}
	return out
}

func decodeObservations(list []*messenger.Observation) []reporter.Observation {
	out := make([]reporter.Observation, len(list))
	for i, o := range list {
		out[i] = reporter.Observation{
			Searcher: o.GetSearcher(), Answered: int(o.GetAnswered()), Failed: int(o.GetFailed()),
			ServiceTime: decodeMicros(o.GetServiceMicros()),
		}
	}
	return out
}

// handleObservations passes on the report or the summary in a packet.
func (f *Follower) handleObservations(now time.Time, packet *messenger.Packet) {
	if report := packet.GetReport(); len(report) > 0 {
		f.config.OnReport(packet.GetFrom(), decodeObservations(report))
	}
	if summary := packet.GetSummary(); len(summary) > 0 {
		f.config.OnSummary(now, reporter.Summary{
			Searchers: decodeObservations(summary), TypicalServiceTime: decodeMicros(packet.GetTypicalServiceMicros()),
		})
	}
}

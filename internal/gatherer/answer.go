package gatherer

// Answer is the result of a query that has ended.
type Answer struct {
	Snapshot string
	// Shards is the size of the pinned snapshot's partition map.
	Shards   int
	Answered int
	// Missing maps each shard without an answer to the reason.
	Missing map[string]Reason
	// ShardHits holds the hits of the answered shards.
	ShardHits [][]byte
	// WinningAttempts holds the attempt that answered each of these shards.
	WinningAttempts []uint64
	Restarts        int
	Sent            int
	Extra           int
	// MayHaveRun is false only if every request certainly was not run.
	MayHaveRun bool
	// ReportedMayHaveRun is false only if every request whose end was told was not run; what
	// was given up is left out.
	ReportedMayHaveRun bool
}

// Answer returns the result; the query must be done.
func (q *Query) Answer() Answer {
	a := Answer{
		Snapshot: q.config.Plan.Snapshot,
		Shards:   len(q.shards),
		Answered: q.answered,
		Restarts: q.restarts,
		Sent:     q.sent,
		Extra:    q.extra,

		MayHaveRun:         q.mayHaveRun || q.gaveUp,
		ReportedMayHaveRun: q.mayHaveRun,
	}
	for _, s := range q.shards {
		if s.answered {
			a.ShardHits = append(a.ShardHits, s.hits)
			a.WinningAttempts = append(a.WinningAttempts, s.winner)
			continue
		}
		if a.Missing == nil {
			a.Missing = map[string]Reason{}
		}
		a.Missing[s.plan.Name] = s.missing
	}
	return a
}

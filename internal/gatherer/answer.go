package gatherer

// Answer is the result of a finished query.
type Answer struct {
	Snapshot string
	// Shards is the number of shards in the partition map of the pinned snapshot.
	Shards   int
	Answered int
	// Missing maps the name of each unanswered shard to the reason.
	Missing map[string]Reason
	// ShardHits holds the hits of each answered shard.
	ShardHits [][]byte
	// WinningAttempts holds, in the order of ShardHits, the ID of the attempt
	// that answered each shard.
	WinningAttempts []uint64
	// Restarts is the number of restarts on a newer snapshot.
	Restarts int
	// Sent is the number of shard requests sent, including those in Extra.
	Sent int
	// Extra is the number of hedges and retries sent.
	Extra int
	// MayHaveRun is false only if it is certain that no request was run.
	MayHaveRun bool
	// ReportedMayHaveRun is false only if every request with a reported outcome was not
	// run. Cancelled requests are not considered.
	ReportedMayHaveRun bool
}

// Answer returns the result. The query must be done.
func (q *Query) Answer() Answer {
	a := Answer{
		Snapshot: q.config.Plan.Snapshot,
		Shards:   len(q.shards),
		Answered: q.answered,
		Restarts: q.restarts,
		Sent:     q.sent,
		Extra:    q.extra,

		MayHaveRun:         q.mayHaveRun || q.cancelledInFlight,
		ReportedMayHaveRun: q.mayHaveRun,
	}
	for _, s := range q.shards {
		if s.answered {
			a.ShardHits = append(a.ShardHits, s.hits)
			a.WinningAttempts = append(a.WinningAttempts, s.winningAttempt)
			continue
		}
		if a.Missing == nil {
			a.Missing = map[string]Reason{}
		}
		a.Missing[s.plan.Name] = s.missing
	}
	return a
}

package gatherer

// Answer is the result of a finished query.
type Answer struct {
	Snapshot string
	// Shards is the number of shards in the partition map of the pinned snapshot.
	Shards   int
	Answered int
	// Missing maps the name of each unanswered shard to the reason.
	Missing map[string]Reason
	// Parts holds the hits of each answered shard.
	Parts [][]byte
	// Winners holds, in the order of Parts, the ID of the attempt that answered
	// each shard.
	Winners  []uint64
	Restarts int
	Sent     int
	Extra    int
	// MayHaveRun is false only if it is certain that no request was run.
	MayHaveRun bool
	// Reported is false only if every request with a reported outcome was not
	// run. Cancelled requests are not considered.
	Reported bool
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

		MayHaveRun: q.mayHaveRun || q.cancelledInFlight,
		Reported:   q.mayHaveRun,
	}
	for _, s := range q.shards {
		if s.answered {
			a.Parts = append(a.Parts, s.hits)
			a.Winners = append(a.Winners, s.winningAttempt)
			continue
		}
		if a.Missing == nil {
			a.Missing = map[string]Reason{}
		}
		a.Missing[s.plan.Name] = s.missing
	}
	return a
}

package sender

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/framer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestRefusalsOutliveClosedIdleConnections guards against refusals without a body that are
// lost since idle connections are closed at that moment: each proves NOT_RUN.
func TestRefusalsOutliveClosedIdleConnections(t *testing.T) {
	t.Parallel()
	const workers, rounds = 128, 750
	is := is.New(t)
	var refused sync.Map
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := framer.ParseRequest(r.Header)
		if err != nil {
			t.Error(err)
			return
		}
		refused.Store(request.Attempt, true)
		w.Header().Set(framer.HeaderRefusal, string(framer.RefusedDraining))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	searcher := strings.TrimPrefix(server.URL, "http://")
	s := newTestSender()
	s.config.Budget = func(string) int { return workers }
	s.config.QueueLimit = workers
	s.config.Network = patientNetwork()
	defer s.Close()

	// Each of these refusals closes the idle connections, as its searcher drains.
	var attempts, sent, lost atomic.Uint64
	var wait sync.WaitGroup
	for range workers {
		wait.Go(func() {
			results := make(chan *messenger.ShardResult, 1)
			for range rounds {
				s.Submit(&messenger.QueryBatch{
					RequestId: "q", Once: true, RemainingMicros: 10e6, Body: []byte("{}"),
					Calls: []*messenger.ShardCall{{Searcher: searcher, Shard: "a", Attempt: attempts.Add(1)}},
				}, func(result *messenger.ShardResult) { results <- result })
				result := <-results
				if _, ok := refused.Load(result.GetAttempt()); !ok {
					continue
				}
				sent.Add(1)
				if result.GetOutcome() != messenger.Outcome_NOT_RUN {
					lost.Add(1)
				}
			}
		})
	}
	wait.Wait()
	t.Logf("%d refusals sent, %d not reported as NOT_RUN", sent.Load(), lost.Load())
	is.True(sent.Load() > 0)
	is.Equal(lost.Load(), uint64(0)) // Every refusal that was sent is reported as NOT_RUN.
}

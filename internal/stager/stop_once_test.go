package stager_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/linker"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// TestPeersOnceCallsAtTheEndOfAStopAreAnswered guards against calls of peers that a stopping
// daemon accepts and then cuts as it ends, though its drain timeout is not over.
func TestPeersOnceCallsAtTheEndOfAStopAreAnswered(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster := startNoticeCluster(t)
	stopping := cluster.Daemons[0]
	for _, s := range cluster.SearchersOf("bookings") {
		s.SetFaults(emulator.SearcherFaults{SlowFactor: 300})
	}
	tickets := make([]string, 12)
	for i := range tickets {
		ticket, err := cluster.Client(0).Ticket(t.Context())
		is.NoErr(err)
		tickets[i] = ticket
	}
	noticeEnd := time.Now().Add(noticePeriod)
	stopping.Stop()
	var answered, cut atomic.Int64
	var wait sync.WaitGroup
	for n, ticket := range tickets {
		// Each call ends at the latest 0.7 s before the drain timeout does.
		delay := 50*time.Millisecond + time.Duration(n)*60*time.Millisecond
		wait.Go(func() {
			peer := linker.New(dialer.System(), nil)
			defer peer.Close()
			time.Sleep(time.Until(noticeEnd.Add(delay)))
			reply, err := peer.Peer(t.Context(), stopping.Settings().PeerAddress).Once(context.Background(), &messenger.OnceRequest{
				Ticket: ticket, RequestId: fmt.Sprint(n), Service: "bookings", Class: "booking", Key: fmt.Sprint(n),
				RemainingMicros: time.Second.Microseconds(), Body: []byte(`{}`),
			})
			var lost *linker.Error
			switch {
			case errors.As(err, &lost) && lost.Kind == linker.KindDial:
				t.Logf("call %d was not accepted: %v", n, err)
			case err != nil || reply.GetOutcome() == messenger.Outcome_OUTCOME_UNSPECIFIED:
				t.Logf("call %d, sent %v after the notice: %v", n, delay, err)
				cut.Add(1)
			default:
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	is.NoErr(<-stopping.RunErr)
	t.Logf("%d calls answered, %d cut", answered.Load(), cut.Load())
	is.True(answered.Load()+cut.Load() > 0)
	is.Equal(cut.Load(), int64(0)) // Each accepted call has an outcome.
}

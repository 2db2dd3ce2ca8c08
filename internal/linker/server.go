package linker

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// coalesceDelay is how long a result waits for others to be sent in the same frame.
const coalesceDelay = 200 * time.Microsecond

// Gateway holds the callbacks of the serving side of exchange streams.
type Gateway struct {
	Submit func(batch *messenger.QueryBatch, deliver func(*messenger.ShardResult))
	Cancel func(attempts []uint64)
	// Leaving is closed when the gateway is leaving; entries must then send no further
	// requests.
	Leaving <-chan struct{}
}

// session is the serving side of one exchange stream.
type session struct {
	stream messenger.DRPCPeer_ExchangeStream

	mu           sync.Mutex
	results      []*messenger.ShardResult
	resultsReady chan struct{}
	// unfinished holds the attempts without a result; they are cancelled when the
	// stream ends.
	unfinished map[uint64]struct{}
}

// Serve receives the frames of one stream and sends results back until the stream ends.
func (g Gateway) Serve(stream messenger.DRPCPeer_ExchangeStream) error {
	s := &session{stream: stream, resultsReady: make(chan struct{}, 1), unfinished: map[uint64]struct{}{}}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go s.writeFrames(ctx, g.Leaving)
	defer func() { g.Cancel(s.unfinishedAttempts()) }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil
		}
		g.Cancel(frame.GetCancels())
		for _, batch := range frame.GetBatches() {
			s.track(batch)
			g.Submit(batch, s.deliver)
		}
	}
}

func (s *session) track(batch *messenger.QueryBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch.GetCalls() {
		s.unfinished[c.GetAttempt()] = struct{}{}
	}
}

func (s *session) unfinishedAttempts() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]uint64, 0, len(s.unfinished))
	for attempt := range s.unfinished {
		out = append(out, attempt)
	}
	return out
}

func (s *session) deliver(result *messenger.ShardResult) {
	s.mu.Lock()
	delete(s.unfinished, result.GetAttempt())
	s.results = append(s.results, result)
	s.mu.Unlock()
	select {
	case s.resultsReady <- struct{}{}:
	default:
	}
}

// writeFrames sends frames with the results collected since the last one, and once a
// frame that announces that the gateway is leaving.
func (s *session) writeFrames(ctx context.Context, leaving <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-leaving:
			leaving = nil
			if err := s.stream.Send(&messenger.GatewayFrame{Leaving: true}); err != nil {
				return
			}
			continue
		case <-s.resultsReady:
		}
		time.Sleep(coalesceDelay)
		s.mu.Lock()
		results := s.results
		s.results = nil
		s.mu.Unlock()
		if len(results) == 0 {
			continue
		}
		if err := s.stream.Send(&messenger.GatewayFrame{Results: results}); err != nil {
			return
		}
	}
}

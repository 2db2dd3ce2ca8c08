package linker

import (
	"context"
	"sync"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// gatherTime is how long results wait for others to share a frame with.
const gatherTime = 200 * time.Microsecond

// Gateway is what the serving side of an exchange stream hands calls to.
type Gateway struct {
	Submit func(batch *messenger.QueryBatch, deliver func(*messenger.ShardResult))
	Cancel func(attempts []uint64)
	// Leaving is closed when entries must send nothing more.
	Leaving <-chan struct{}
}

// session is the serving side of one exchange stream.
type session struct {
	stream messenger.DRPCPeer_ExchangeStream

	mu      sync.Mutex
	results []*messenger.ShardResult
	ready   chan struct{}
	// live holds attempts that have not ended, to be cancelled when the entry is gone.
	live map[uint64]struct{}
}

// Serve moves frames of one stream until it ends.
func (g Gateway) Serve(stream messenger.DRPCPeer_ExchangeStream) error {
	s := &session{stream: stream, ready: make(chan struct{}, 1), live: map[uint64]struct{}{}}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go s.write(ctx, g.Leaving)
	defer func() { g.Cancel(s.attempts()) }()
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil
		}
		g.Cancel(frame.GetCancels())
		for _, batch := range frame.GetBatches() {
			s.expect(batch)
			g.Submit(batch, s.deliver)
		}
	}
}

func (s *session) expect(batch *messenger.QueryBatch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range batch.GetCalls() {
		s.live[c.GetAttempt()] = struct{}{}
	}
}

func (s *session) attempts() []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]uint64, 0, len(s.live))
	for attempt := range s.live {
		out = append(out, attempt)
	}
	return out
}

func (s *session) deliver(result *messenger.ShardResult) {
	s.mu.Lock()
	delete(s.live, result.GetAttempt())
	s.results = append(s.results, result)
	s.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// write sends whatever results have gathered since the last frame.
func (s *session) write(ctx context.Context, leaving <-chan struct{}) {
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
		case <-s.ready:
		}
		time.Sleep(gatherTime)
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

package sender

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

// lane is the queue and the connections to one searcher.
type lane struct {
	mu        sync.Mutex
	core      *admitter.Lane[*call]
	budget    int
	transport *http.Transport
	url       *url.URL
	// usedAt is when a request last went out, in nanoseconds of the process's clock.
	usedAt atomic.Int64
}

// lane returns the lane of a searcher, made anew when its budget has changed.
func (s *Sender) lane(searcher string) (*lane, bool) {
	budget := s.config.Budget(searcher)
	if budget == 0 {
		return nil, false
	}
	if l, ok := s.lanes.Load(searcher); ok && l.budget == budget {
		return l, true
	}
	made := newLane(searcher, budget, s.config)
	l, _ := s.lanes.Compute(searcher, func(old *lane, loaded bool) (*lane, xsync.ComputeOp) {
		if loaded && old.budget == budget {
			return old, xsync.CancelOp
		}
		if loaded {
			// What is under way on the old lane ends there.
			go old.transport.CloseIdleConnections()
		}
		return made, xsync.UpdateOp
	})
	return l, true
}

func newLane(searcher string, budget int, config Config) *lane {
	return &lane{
		budget: budget,
		url:    &url.URL{Scheme: "http", Host: searcher, Path: framer.Path},
		core: admitter.New[*call](admitter.Config{
			MaxConcurrency: budget,
			QueueLimit:     config.QueueLimit,
			Adaptive:       config.Adaptive,
		}),
		transport: &http.Transport{
			DialContext:         dialWithin(config.Network),
			MaxConnsPerHost:     budget,
			MaxIdleConnsPerHost: budget,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

// dialWithin bounds the time for a new connection.
func dialWithin(network dialer.Network) func(ctx context.Context, kind, address string) (net.Conn, error) {
	return func(ctx context.Context, kind, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return network.Dial(ctx, kind, address)
	}
}

package sender

import (
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"

	"github.com/puzpuzpuz/xsync/v4"

	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/framer"
)

// lane is the queue and the connections to one searcher.
type lane struct {
	mu        sync.Mutex
	core      *admitter.Queue[*call]
	budget    int
	transport *http.Transport
	url       *url.URL
	// retired is set once another lane has taken this one's place.
	retired atomic.Bool
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
	made := newLane(searcher, budget, s.config, s.held(searcher))
	l, _ := s.lanes.Compute(searcher, func(old *lane, loaded bool) (*lane, xsync.ComputeOp) {
		if loaded && old.budget == budget {
			return old, xsync.CancelOp
		}
		if loaded {
			// What is under way on the old lane ends there.
			old.retired.Store(true)
			go old.transport.CloseIdleConnections()
		}
		return made, xsync.UpdateOp
	})
	return l, true
}

func newLane(searcher string, budget int, config Config, held *connections) *lane {
	return &lane{
		budget: budget,
		url:    &url.URL{Scheme: "http", Host: searcher, Path: framer.Path},
		core: admitter.New[*call](admitter.Config{
			MaxConcurrency: budget,
			QueueLimit:     config.QueueLimit,
			Adaptive:       config.Adaptive,
		}),
		transport: &http.Transport{
			DialContext:         held.dialer(config.Network, func() int { return config.Budget(searcher) }),
			MaxConnsPerHost:     budget,
			MaxIdleConnsPerHost: budget,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
	}
}

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

// upstream holds the request queue of one searcher and the HTTP transport with
// the connections to it.
type upstream struct {
	mu        sync.Mutex
	queue     *admitter.Queue[*call]
	budget    int
	transport *http.Transport
	url       *url.URL
	// retired is set once this upstream was replaced or removed; requests in flight
	// still complete on it.
	retired atomic.Bool
	// usedAt is the Unix time in nanoseconds at which the last request was sent.
	usedAt atomic.Int64
}

// upstream returns the upstream of a searcher and creates it if there is none or
// its connection budget has changed. It returns false if this daemon is not a
// gateway of the searcher.
func (s *Sender) upstream(searcher string) (*upstream, bool) {
	budget := s.config.Budget(searcher)
	if budget == 0 {
		return nil, false
	}
	if u, ok := s.upstreams.Load(searcher); ok && u.budget == budget {
		return u, true
	}
	created := newUpstream(searcher, budget, s.config, s.conns(searcher))
	u, _ := s.upstreams.Compute(searcher, func(old *upstream, loaded bool) (*upstream, xsync.ComputeOp) {
		if loaded && old.budget == budget {
			return old, xsync.CancelOp
		}
		if loaded {
			// Requests in flight on the old upstream complete there.
			old.retired.Store(true)
			go old.transport.CloseIdleConnections()
		}
		return created, xsync.UpdateOp
	})
	return u, true
}

func newUpstream(searcher string, budget int, config Config, conns *connections) *upstream {
	return &upstream{
		budget: budget,
		url:    &url.URL{Scheme: "http", Host: searcher, Path: framer.Path},
		queue: admitter.New[*call](admitter.Config{
			MaxConcurrency: budget,
			QueueLimit:     config.QueueLimit,
			Adaptive:       config.Adaptive,
		}),
		transport: &http.Transport{
			DialContext:         conns.dialer(config.Network, func() int { return config.Budget(searcher) }),
			MaxConnsPerHost:     budget,
			MaxIdleConnsPerHost: budget,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,

			MaxResponseHeaderBytes: maxHeadBytes,
		},
	}
}

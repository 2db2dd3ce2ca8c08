// Package linker keeps one exchange stream to each gateway that an entry uses.
// Batches of many queries share a stream; results are matched to their queries by
// attempt ID. When a stream breaks, every attempt pending on it ends with
// outcome UNKNOWN.
package linker

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindDial Kind = "dialFailed"
	KindLost Kind = "linkLost"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// dialTimeout bounds the time to open a connection, TLS handshake included.
	dialTimeout = 500 * time.Millisecond
	// reconnectDelay is how long a link that broke or could not connect is neither
	// used nor reconnected.
	reconnectDelay = 500 * time.Millisecond
	// silenceTimeout is how long a link with pending requests may receive no frame
	// before it is avoided.
	silenceTimeout = 400 * time.Millisecond
	// sendQueueSize is the maximum number of frames queued for a stream's writer.
	sendQueueSize = 1024
	// maxFrameBatches is the number of batches up to which queued frames are coalesced.
	maxFrameBatches = 64
	// poolExpiration is how long an idle pooled connection is kept.
	poolExpiration = time.Minute
	// poolCapacity is the maximum number of pooled connections.
	poolCapacity = 256
)

// Deliver receives the result of a shard request. It must not block.
type Deliver func(*messenger.ShardResult)

// Linker holds a daemon's links to gateways and its pooled connections for unary calls.
type Linker struct {
	network dialer.Network
	tls     *tls.Config
	pool    *drpcpool.Pool[string, drpcpool.Conn]

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a Linker without links. A nil tlsConfig disables TLS.
func New(network dialer.Network, tlsConfig *tls.Config) *Linker {
	return &Linker{
		network: network,
		tls:     tlsConfig,
		links:   map[string]*link{},
		pool: drpcpool.New[string, drpcpool.Conn](drpcpool.Options{
			Expiration: poolExpiration,
			Capacity:   poolCapacity,
		}),
	}
}

// link is one exchange stream and the attempts pending on it.
type link struct {
	address   string
	sendQueue chan *messenger.EntryFrame

	mu      sync.Mutex
	pending map[uint64]Deliver
	// waitingSince is when the last frame was received or, if later, when the first
	// request was sent on a link without pending ones.
	waitingSince time.Time
	// reconnectAt is the earliest time to reconnect; it is set when the stream breaks.
	reconnectAt time.Time
	// broken is set when the stream ends; a broken link accepts no requests.
	broken bool
	// leaving is set when the gateway announces that it is leaving. The link then
	// accepts no further requests; those already pending still complete on it.
	leaving bool
	stop    context.CancelFunc
}

// IsUsable reports whether requests may be sent to a gateway. A link is not usable
// after its gateway announced on the open stream that it is leaving, during the
// reconnect delay, or while requests have been pending for silenceTimeout without
// a frame from the gateway.
func (l *Linker) IsUsable(address string) bool {
	l.mu.Lock()
	lnk, ok := l.links[address]
	l.mu.Unlock()
	return !ok || lnk.usable(time.Now())
}

func (lnk *link) usable(now time.Time) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.leaving && !lnk.broken || now.Before(lnk.reconnectAt) {
		return false
	}
	return len(lnk.pending) == 0 || now.Sub(lnk.waitingSince) < silenceTimeout
}

// Submit sends a batch to a gateway and calls deliver exactly once for each of the
// batch's calls that is not cancelled.
func (l *Linker) Submit(address string, batch *messenger.QueryBatch, deliver Deliver) {
	lnk := l.link(address)
	if lnk == nil || !lnk.register(batch, deliver) {
		failUnsent(batch, deliver)
		return
	}
	select {
	case lnk.sendQueue <- &messenger.EntryFrame{Batches: []*messenger.QueryBatch{batch}}:
	default:
		lnk.removeUnsent(batch, deliver)
	}
}

// failUnsent ends all calls of a batch that was not queued on a stream with
// outcome NOT_RUN.
func failUnsent(batch *messenger.QueryBatch, deliver Deliver) {
	for _, c := range batch.GetCalls() {
		deliver(&messenger.ShardResult{
			Attempt: c.GetAttempt(),
			Shard:   c.GetShard(),
			Outcome: messenger.Outcome_NOT_RUN,
			Reason:  messenger.Reason_CONNECT_FAILED,
		})
	}
}

// Cancel cancels attempts: it sends a cancel message to the gateway and drops results
// that still arrive. The message is dropped if the send queue is full.
func (l *Linker) Cancel(address string, attempts []uint64) {
	l.mu.Lock()
	lnk, ok := l.links[address]
	l.mu.Unlock()
	if !ok {
		return
	}
	lnk.mu.Lock()
	for _, attempt := range attempts {
		delete(lnk.pending, attempt)
	}
	lnk.mu.Unlock()
	select {
	case lnk.sendQueue <- &messenger.EntryFrame{Cancels: attempts}:
	default:
	}
}

// link returns the link to an address. It creates a new one if there is none, or
// if the last one broke and the reconnect delay has passed.
func (l *Linker) link(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	lnk, ok := l.links[address]
	now := time.Now()
	if ok && (!lnk.isBroken() || lnk.inReconnectDelay(now)) {
		return lnk
	}
	ctx, stop := context.WithCancel(context.Background())
	lnk = &link{
		address:      address,
		sendQueue:    make(chan *messenger.EntryFrame, sendQueueSize),
		pending:      map[uint64]Deliver{},
		waitingSince: now,
		stop:         stop,
	}
	l.links[address] = lnk
	go l.run(ctx, lnk)
	return lnk
}

// inReconnectDelay reports whether it is too early to reconnect a broken link.
func (lnk *link) inReconnectDelay(now time.Time) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return now.Before(lnk.reconnectAt)
}

func (lnk *link) isBroken() bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	return lnk.broken
}

// register adds the calls of a batch to the pending ones; it returns false if the
// link is broken or leaving.
func (lnk *link) register(batch *messenger.QueryBatch, deliver Deliver) bool {
	lnk.mu.Lock()
	defer lnk.mu.Unlock()
	if lnk.broken || lnk.leaving {
		return false
	}
	now := time.Now()
	if len(lnk.pending) == 0 {
		lnk.waitingSince = now
	}
	for _, c := range batch.GetCalls() {
		lnk.pending[c.GetAttempt()] = deliver
	}
	return true
}

// removeUnsent removes a batch that did not fit into the send queue and ends its
// calls, unless the link broke in the meantime and has already ended them.
func (lnk *link) removeUnsent(batch *messenger.QueryBatch, deliver Deliver) {
	lnk.mu.Lock()
	first := batch.GetCalls()[0].GetAttempt()
	_, registered := lnk.pending[first]
	for _, c := range batch.GetCalls() {
		delete(lnk.pending, c.GetAttempt())
	}
	lnk.mu.Unlock()
	if registered {
		failUnsent(batch, deliver)
	}
}

// run connects a link and receives frames until its stream breaks.
func (l *Linker) run(ctx context.Context, lnk *link) {
	defer lnk.stop()
	defer lnk.failPending()
	conn, err := l.dial(ctx, lnk.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return
	}
	go lnk.writeFrames(ctx, stream)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		lnk.handleFrame(frame)
	}
}

func (lnk *link) writeFrames(ctx context.Context, stream messenger.DRPCPeer_ExchangeClient) {
	defer lnk.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-lnk.sendQueue:
			lnk.coalesce(frame)
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}

// coalesce merges queued frames into frame, so that many queries share one write.
func (lnk *link) coalesce(frame *messenger.EntryFrame) {
	for len(frame.GetBatches()) < maxFrameBatches {
		select {
		case more := <-lnk.sendQueue:
			frame.Batches = append(frame.Batches, more.GetBatches()...)
			frame.Cancels = append(frame.Cancels, more.GetCancels()...)
		default:
			return
		}
	}
}

func (lnk *link) handleFrame(frame *messenger.GatewayFrame) {
	delivers := make([]Deliver, len(frame.GetResults()))
	lnk.mu.Lock()
	lnk.waitingSince = time.Now()
	lnk.leaving = lnk.leaving || frame.GetLeaving()
	for i, result := range frame.GetResults() {
		delivers[i] = lnk.pending[result.GetAttempt()]
		delete(lnk.pending, result.GetAttempt())
	}
	lnk.mu.Unlock()
	for i, result := range frame.GetResults() {
		if delivers[i] != nil {
			delivers[i](result)
		}
	}
}

// failPending marks a link as broken and ends every pending attempt with outcome
// UNKNOWN, because each may have run.
func (lnk *link) failPending() {
	lnk.mu.Lock()
	pending := lnk.pending
	lnk.pending = nil
	lnk.broken = true
	lnk.reconnectAt = time.Now().Add(reconnectDelay)
	lnk.mu.Unlock()
	for attempt, deliver := range pending {
		deliver(&messenger.ShardResult{
			Attempt: attempt,
			Outcome: messenger.Outcome_UNKNOWN,
			Reason:  messenger.Reason_LINK_LOST,
		})
	}
}

func (l *Linker) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, failer.Wrap("dial peer", KindDial, err)
	}
	if l.tls != nil {
		conn, err = l.handshake(ctx, conn, address)
	}
	if err != nil {
		return nil, failer.Wrap("dial peer", KindDial, err)
	}
	return drpcconn.New(conn), nil
}

// handshake makes the TLS handshake. The peer's certificate must be valid for its
// IP address.
func (l *Linker) handshake(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	config := l.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// Peer returns a client for unary calls to a peer, over pooled connections.
func (l *Linker) Peer(ctx context.Context, address string) messenger.DRPCPeerClient {
	return messenger.NewDRPCPeerClient(l.pool.Get(ctx, address, l.dial))
}

// Forget closes the links to addresses that are not in keep.
func (l *Linker) Forget(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, lnk := range l.links {
		if !keep[address] {
			lnk.stop()
			delete(l.links, address)
		}
	}
}

// Close closes every link and the pooled connections.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, lnk := range l.links {
		lnk.stop()
	}
	_ = l.pool.Close()
}

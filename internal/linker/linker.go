// Package linker keeps one exchange stream to each gateway that an entry uses.
// Batches of many queries share a stream, and a result finds its query by its
// attempt. A stream that breaks ends every attempt on it as unknown.
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

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindDial Kind = "dialFailed"
	KindLost Kind = "linkLost"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	dialTimeout = 500 * time.Millisecond
	// downTime is how long a link that failed is not used.
	downTime = 500 * time.Millisecond
	// silence is how long a link with requests out may say nothing before it is avoided.
	silence = 400 * time.Millisecond
	// outboxSize is how many batches wait for a stream's writer.
	outboxSize = 1024
	// maxFrame is how many batches share one frame.
	maxFrame = 64
	// poolExpiration is how long an unused connection for single calls is kept.
	poolExpiration = time.Minute
	// poolCapacity bounds the connections for single calls.
	poolCapacity = 256
)

// Deliver takes the end of a shard request. It must not block.
type Deliver func(*messenger.ShardResult)

// Linker holds the links of one daemon.
type Linker struct {
	network dialer.Network
	tls     *tls.Config
	pool    *drpcpool.Pool[string, drpcpool.Conn]

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// New returns a linker without links; a nil configuration means no TLS.
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

// link is one exchange stream and what is out on it.
type link struct {
	address string
	outbox  chan *messenger.EntryFrame

	mu      sync.Mutex
	pending map[uint64]Deliver
	// heardAt is when the last frame came in, or the first request went out since.
	heardAt time.Time
	// downUntil is set when the stream breaks.
	downUntil time.Time
	// broken is set once, when the stream ends; a broken link takes nothing.
	broken bool
	// leaving is set once, when the gateway asks for nothing more; what is out on
	// the link still ends on it.
	leaving bool
	stop    context.CancelFunc
}

// IsUsable reports whether a link is worth trying.
func (l *Linker) IsUsable(address string) bool {
	l.mu.Lock()
	k, ok := l.links[address]
	l.mu.Unlock()
	return !ok || k.usable(time.Now())
}

func (k *link) usable(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving && !k.broken || now.Before(k.downUntil) {
		return false
	}
	return len(k.pending) == 0 || now.Sub(k.heardAt) < silence
}

// Submit sends a batch to a gateway; each call ends with exactly one Deliver,
// unless it is cancelled.
func (l *Linker) Submit(address string, batch *messenger.QueryBatch, deliver Deliver) {
	k := l.link(address)
	if k == nil || !k.add(batch, deliver) {
		fail(batch, deliver)
		return
	}
	select {
	case k.outbox <- &messenger.EntryFrame{Batches: []*messenger.QueryBatch{batch}}:
	default:
		k.drop(batch, deliver)
	}
}

// fail ends a batch that was never handed to a stream.
func fail(batch *messenger.QueryBatch, deliver Deliver) {
	for _, c := range batch.GetCalls() {
		deliver(&messenger.ShardResult{
			Attempt: c.GetAttempt(),
			Shard:   c.GetShard(),
			Outcome: messenger.Outcome_NOT_RUN,
			Reason:  messenger.Reason_CONNECT_FAILED,
		})
	}
}

// Cancel gives attempts up: their results are dropped and the gateway is told.
func (l *Linker) Cancel(address string, attempts []uint64) {
	l.mu.Lock()
	k, ok := l.links[address]
	l.mu.Unlock()
	if !ok {
		return
	}
	k.mu.Lock()
	for _, attempt := range attempts {
		delete(k.pending, attempt)
	}
	k.mu.Unlock()
	select {
	case k.outbox <- &messenger.EntryFrame{Cancels: attempts}:
	default:
	}
}

// link returns the link to an address, made anew where the last one broke.
func (l *Linker) link(address string) *link {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	k, ok := l.links[address]
	now := time.Now()
	if ok && (!k.isBroken() || k.isDown(now)) {
		return k
	}
	ctx, stop := context.WithCancel(context.Background())
	k = &link{
		address: address,
		outbox:  make(chan *messenger.EntryFrame, outboxSize),
		pending: map[uint64]Deliver{},
		heardAt: now,
		stop:    stop,
	}
	l.links[address] = k
	go l.run(ctx, k)
	return k
}

// isDown reports whether a link that broke is not to be made anew yet.
func (k *link) isDown(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Before(k.downUntil)
}

func (k *link) isBroken() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.broken
}

// add registers the calls of a batch; it fails on a link that broke.
func (k *link) add(batch *messenger.QueryBatch, deliver Deliver) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.broken || k.leaving {
		return false
	}
	now := time.Now()
	if len(k.pending) == 0 {
		k.heardAt = now
	}
	for _, c := range batch.GetCalls() {
		k.pending[c.GetAttempt()] = deliver
	}
	return true
}

// drop takes back a batch that found the outbox full, unless the link broke and ended it.
func (k *link) drop(batch *messenger.QueryBatch, deliver Deliver) {
	k.mu.Lock()
	first := batch.GetCalls()[0].GetAttempt()
	_, ours := k.pending[first]
	for _, c := range batch.GetCalls() {
		delete(k.pending, c.GetAttempt())
	}
	k.mu.Unlock()
	if ours {
		fail(batch, deliver)
	}
}

// run dials, then moves frames until the stream breaks.
func (l *Linker) run(ctx context.Context, k *link) {
	defer k.stop()
	defer k.breakUp()
	conn, err := l.dial(ctx, k.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stream, err := messenger.NewDRPCPeerClient(conn).Exchange(ctx)
	if err != nil {
		return
	}
	go k.write(ctx, stream)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		k.receive(frame)
	}
}

func (k *link) write(ctx context.Context, stream messenger.DRPCPeer_ExchangeClient) {
	defer k.stop()
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-k.outbox:
			k.gather(frame)
			if err := stream.Send(frame); err != nil {
				return
			}
		}
	}
}

// gather adds what else is waiting to a frame, so that many queries share one write.
func (k *link) gather(frame *messenger.EntryFrame) {
	for len(frame.GetBatches()) < maxFrame {
		select {
		case more := <-k.outbox:
			frame.Batches = append(frame.Batches, more.GetBatches()...)
			frame.Cancels = append(frame.Cancels, more.GetCancels()...)
		default:
			return
		}
	}
}

func (k *link) receive(frame *messenger.GatewayFrame) {
	delivers := make([]Deliver, len(frame.GetResults()))
	k.mu.Lock()
	k.heardAt = time.Now()
	k.leaving = k.leaving || frame.GetLeaving()
	for i, result := range frame.GetResults() {
		delivers[i] = k.pending[result.GetAttempt()]
		delete(k.pending, result.GetAttempt())
	}
	k.mu.Unlock()
	for i, result := range frame.GetResults() {
		if delivers[i] != nil {
			delivers[i](result)
		}
	}
}

// breakUp ends every attempt that is out: each may have run.
func (k *link) breakUp() {
	k.mu.Lock()
	pending := k.pending
	k.pending = nil
	k.broken = true
	k.downUntil = time.Now().Add(downTime)
	k.mu.Unlock()
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
		conn, err = l.secure(ctx, conn, address)
	}
	if err != nil {
		return nil, failer.Wrap("dial peer", KindDial, err)
	}
	return drpcconn.New(conn), nil
}

// secure makes the TLS handshake; the peer's certificate must name its IP address.
func (l *Linker) secure(ctx context.Context, conn net.Conn, address string) (net.Conn, error) {
	config := l.tls.Clone()
	config.ServerName, _, _ = net.SplitHostPort(address)
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// Peer returns a client for single calls to a peer, over pooled connections.
func (l *Linker) Peer(ctx context.Context, address string) messenger.DRPCPeerClient {
	return messenger.NewDRPCPeerClient(l.pool.Get(ctx, address, l.dial))
}

// Forget closes links to peers that are not in keep.
func (l *Linker) Forget(keep map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.links {
		if !keep[address] {
			k.stop()
			delete(l.links, address)
		}
	}
}

// Close ends every link.
func (l *Linker) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, k := range l.links {
		k.stop()
	}
	_ = l.pool.Close()
}

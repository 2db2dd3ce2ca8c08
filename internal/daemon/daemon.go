// Package daemon implements a process of the query tier. It connects the core
// packages, which perform no I/O, to sockets, timers and the platform.
// Each process serves callers as an entry, reaches searchers as a gateway and
// may watch the platform as a relay.
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fuchsiastile/fuchsiastile/internal/acceptor"
	"github.com/fuchsiastile/fuchsiastile/internal/admitter"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/gossiper"
	"github.com/fuchsiastile/fuchsiastile/internal/hedger"
	"github.com/fuchsiastile/fuchsiastile/internal/linker"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/relayer"
	"github.com/fuchsiastile/fuchsiastile/internal/router"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/internal/sender"
	"github.com/fuchsiastile/fuchsiastile/internal/ticketer"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen         Kind = "listenFailed"
	KindTLS            Kind = "tlsUnusable"
	KindOverloaded     Kind = "overloaded"
	KindInvalidRequest Kind = "invalidRequest"
	KindTicketNeeded   Kind = "ticketNeeded"
	KindBodyTooLarge   Kind = "bodyTooLarge"
	KindStopping       Kind = "stopping"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// secretBytes is the length of the key that signs tickets.
	secretBytes = 32
	// headerTimeout bounds the time in which the head of a request arrives.
	headerTimeout = 5 * time.Second
)

// Daemon is one process of the query tier.
type Daemon struct {
	settings    loader.Settings
	incarnation string
	secret      []byte
	started     time.Time

	scheduler *scheduler.Scheduler
	picker    *picker.Picker
	gate      *admitter.Gate
	documents *relayer.Relayer
	router    *router.Router
	sender    *sender.Sender
	linker    *linker.Linker
	tickets   *ticketer.Table
	metrics   *metrics
	news      *newsStore
	members   *gossiper.Gossiper

	// attempts is the last attempt ID. It starts at a random value, so that two
	// incarnations do not use the same IDs.
	attempts atomic.Uint64

	mu sync.Mutex
	// hedgers holds one hedger per class and service, which all their queries share.
	hedgers map[hedgerKey]*hedger.Hedger
	// takenOver holds the ticket tables handed over by stopping daemons, by
	// incarnation.
	takenOver map[string]*ticketer.Table
	// fetchingNews is set while a fetchNews call is running; there is at most one.
	fetchingNews atomic.Bool

	stopping atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	// answerBy is when the searches in progress end because the daemon stops; nil until
	// the load balancer has removed the daemon.
	answerBy atomic.Pointer[time.Time]
	// expired is closed at answerBy.
	expired chan struct{}
	// foreignOnce limits logging of packets from other tiers to the first one.
	foreignOnce sync.Once
	// leaving is closed to notify peers that they must send no further requests
	// through this gateway.
	leaving chan struct{}
	callers *http.Server
	// callerConns is the listener of callers.
	callerConns *acceptor.Acceptor
	operators   *http.Server
	listeners   listeners
	// forwardTo is the address of the successor that confirmed the hand-over of
	// the tickets, or empty if none did.
	forwardTo atomic.Pointer[string]
	// handedOver is closed when the hand-over has ended and forwardTo is set.
	handedOver chan struct{}
	// onceActive is the number of non-idempotent requests in progress.
	onceActive atomic.Int64
}

type hedgerKey struct {
	class   string
	service string
}

// listeners holds the sockets of a daemon.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	packets   net.PacketConn
}

// New returns a daemon with open sockets. Run serves them.
func New(settings loader.Settings, network dialer.Network) (*Daemon, error) {
	tlsConfig, err := peerTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	l, err := listen(settings, network, tlsConfig)
	if err != nil {
		return nil, err
	}
	settings = l.withBoundAddresses(settings)
	d := &Daemon{
		settings:    settings,
		incarnation: settings.PeerAddress + "/" + randomHex(),
		secret:      randomBytes(secretBytes),
		started:     time.Now(),
		scheduler:   scheduler.New(),
		gate:        admitter.NewGate(newRand()),
		linker:      linker.New(network, tlsConfig),
		metrics:     newMetrics(),
		news:        newNewsStore(time.Duration(settings.Tickets.Lifetime)),
		hedgers:     map[hedgerKey]*hedger.Hedger{},
		takenOver:   map[string]*ticketer.Table{},
		leaving:     make(chan struct{}),
		handedOver:  make(chan struct{}),
		expired:     make(chan struct{}),
		stop:        make(chan struct{}),
		listeners:   l,
	}
	d.picker = picker.New(picker.Config{
		FailureDomain: settings.FailureDomain,
		Region:        settings.Region,
		Policy:        settings.Policy.Replica,
		Rand:          newRand(),
	})
	d.sender = sender.New(sender.Config{
		Network:    network,
		Budget:     d.connectionBudget,
		Draining:   func(searcher string) bool { return d.picker.IsDraining(time.Now(), searcher) },
		OnDraining: d.recordDraining,
		QueueLimit: settings.Policy.QueueLimit,
		Adaptive:   settings.Policy.AdaptiveConcurrency,
	})
	d.tickets = ticketer.New(ticketer.Config{
		Incarnation: d.incarnation,
		Secret:      d.secret,
		Started:     d.started,
		Lifetime:    time.Duration(settings.Tickets.Lifetime),
		Capacity:    settings.Tickets.Capacity,
	})
	d.router = router.New(router.Config{Self: settings.PeerAddress, Route: settings.Policy.Route})
	d.documents = d.newRelayer(network)
	d.attempts.Store(newRand().Uint64())
	d.members = d.newGossiper()
	d.callerConns = acceptor.New(l.callers, func(cut acceptor.Cut) { cut.Record(d.metrics.set, d.stopping.Load()) })
	d.callers = &http.Server{Handler: d.callersHandler(), ReadHeaderTimeout: headerTimeout}
	d.callerConns.Attach(d.callers)
	d.callerConns.Register(d.metrics.set)
	d.operators = &http.Server{Handler: d.operatorsHandler(), ReadHeaderTimeout: headerTimeout}
	d.addSeeds(settings.Seeds)
	return d, nil
}

func (d *Daemon) newRelayer(network dialer.Network) *relayer.Relayer {
	return relayer.New(relayer.Config{
		Platform:          watcher.New(network, d.settings.Platform),
		Peer:              d.linker.Peer,
		IsRelay:           d.isRelay,
		OnChanged:         d.onDocumentChanged,
		Announce:          func() { d.members.Push() },
		OnPlatformCall:    d.metrics.platformCalls.Inc,
		OnPlatformFailure: d.metrics.platformFailures.Inc,
		OnFetched:         d.metrics.fetchedBytes.Add,
		OnConflict:        d.metrics.conflicts.Inc,
	})
}

func (d *Daemon) newGossiper() *gossiper.Gossiper {
	return gossiper.New(gossiper.Config{
		Machine:         prober.New(prober.DefaultConfig(d.selfRecord(), newRand())),
		Socket:          d.listeners.packets,
		Scheduler:       d.scheduler,
		Tier:            d.settings.Tier,
		BeforeSend:      d.addNewsToPackets,
		AfterReceive:    d.onPacket,
		OnSent:          func(n int) { d.metrics.packetsOut.Inc(); d.metrics.bytesOut.Add(n) },
		OnReceived:      func(n int) { d.metrics.packetsIn.Inc(); d.metrics.bytesIn.Add(n) },
		OnForeignPacket: d.onForeignPacket,
	})
}

func (d *Daemon) selfRecord() *messenger.Member {
	return &messenger.Member{
		Address:     d.settings.PeerAddress,
		Incarnation: d.incarnation,
		// Using the start time lets the record of a new process replace that of
		// an old one sooner. Refutation does not depend on it.
		Revision:      uint64(d.started.UnixMilli()),
		FailureDomain: d.settings.FailureDomain,
		Region:        d.settings.Region,
	}
}

func listen(s loader.Settings, network dialer.Network, tlsConfig *tls.Config) (listeners, error) {
	var l listeners
	var err error
	for _, socket := range []struct {
		address  string
		listener *net.Listener
	}{{s.CallerAddress, &l.callers}, {s.OperatorAddress, &l.operators}, {s.PeerAddress, &l.peers}} {
		if *socket.listener, err = net.Listen("tcp", socket.address); err != nil {
			l.close()
			return l, failer.Wrap("listen on "+socket.address, KindListen, err)
		}
	}
	// Peers use the same port number for TCP and UDP.
	if l.packets, err = network.ListenPacket("udp", l.peers.Addr().String()); err != nil {
		l.close()
		return l, failer.Wrap("listen on "+s.PeerAddress, KindListen, err)
	}
	if tlsConfig != nil {
		l.peers = tls.NewListener(l.peers, tlsConfig)
	}
	return l, nil
}

// withBoundAddresses returns the settings with the addresses that the sockets
// are bound to; they differ where the configured port is 0.
func (l listeners) withBoundAddresses(s loader.Settings) loader.Settings {
	s.CallerAddress = l.callers.Addr().String()
	s.PeerAddress = l.peers.Addr().String()
	s.OperatorAddress = l.operators.Addr().String()
	return s
}

// Settings returns the current settings, with the addresses that the sockets
// are bound to.
func (d *Daemon) Settings() loader.Settings { return d.settings }

func (l listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.operators, l.peers} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if l.packets != nil {
		_ = l.packets.Close()
	}
}

// Run serves until Stop has been called and all requests in progress have ended.
func (d *Daemon) Run() error {
	klog.InfoS("daemon started", "name", d.settings.Name, "incarnation", d.incarnation, "callers", d.settings.CallerAddress)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	add := func(execute func(ctx context.Context) error, interrupt func()) {
		group.Add(func() error { return execute(ctx) }, func(error) {
			cancel()
			interrupt()
		})
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &peerServer{daemon: d}); err != nil {
		return failer.Wrap("register peer service", KindListen, err)
	}
	server := drpcserver.New(mux)
	add(func(context.Context) error { return d.scheduler.Run() }, d.scheduler.Close)
	add(func(ctx context.Context) error { return serve(ctx, d.callers, d.callerConns) }, func() { _ = d.callers.Close() })
	add(func(ctx context.Context) error { return serve(ctx, d.operators, d.listeners.operators) }, func() { _ = d.operators.Close() })
	add(func(ctx context.Context) error { return server.Serve(ctx, d.listeners.peers) }, func() { _ = d.listeners.peers.Close() })
	add(func(context.Context) error { return d.members.Run() }, func() { _ = d.listeners.packets.Close() })
	add(d.documents.Run, func() {})
	add(d.awaitStop, func() {})
	d.members.Start(time.Now())
	d.scheduler.Every(routingInterval, func(time.Time) { d.refreshRoutes() })
	d.scheduler.Every(probeInterval, func(now time.Time) { d.probeSearchers(now) })
	err := group.Run()
	d.linker.Close()
	d.sender.Close()
	d.callerConns.Counts().Record(d.settings.Name)
	klog.InfoS("daemon stopped", "name", d.settings.Name)
	return err
}

// serve runs an HTTP server. After a planned shutdown of the server it blocks
// until ctx is done, because the run group ends as soon as one function returns
// and must not end before the stop is complete.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// nextAttempt returns an attempt ID that this incarnation has not used before.
func (d *Daemon) nextAttempt() uint64 { return d.attempts.Add(1) }

func newRand() *mathrand.Rand {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}

func randomBytes(n int) []byte {
	out := make([]byte, n)
	_, _ = rand.Read(out)
	return out
}

func randomHex() string { return hex.EncodeToString(randomBytes(8)) }

// newRequestID returns an ID that is unique in the tier: the random part of the
// incarnation followed by an attempt ID.
func (d *Daemon) newRequestID() string {
	return d.incarnation[len(d.settings.PeerAddress)+1:] + "-" + strconv.FormatUint(d.nextAttempt(), 36)
}

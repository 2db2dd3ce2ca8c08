// Package daemon puts sockets, timers and the platform round the core: one
// process that is entry, gateway and relay at once.
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

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen         Kind = "listenFailed"
	KindTLS            Kind = "tlsUnusable"
	KindOverloaded     Kind = "overloaded"
	KindInvalidRequest Kind = "invalidRequest"
	KindTicketNeeded   Kind = "ticketNeeded"
	KindBodyTooLarge   Kind = "bodyTooLarge"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// secretBytes is the length of the key that signs tickets.
const secretBytes = 32

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
	news      *newsBoard
	members   *gossiper.Gossiper

	// attempts counts attempts up from a random start, so that no two
	// incarnations share ids.
	attempts atomic.Uint64

	mu sync.Mutex
	// hedgers holds one hedger per class and service.
	hedgers map[hedgerKey]*hedger.Hedger
	// adopted holds the ticket tables that stopped daemons handed over.
	adopted map[string]*ticketer.Table
	// fetchingNews is set while news is fetched from a peer.
	fetchingNews atomic.Bool

	stopping atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	// foreignOnce guards the log line on the first packet of another tier.
	foreignOnce sync.Once
	// leaving is closed when peers must send nothing more through this gateway.
	leaving   chan struct{}
	callers   *http.Server
	operators *http.Server
	listeners listeners
	// forwardTo is the successor that confirmed taking the tickets over.
	forwardTo atomic.Pointer[string]
	// handedOver is closed once forwardTo is set.
	handedOver chan struct{}
	// onceActive counts non-idempotent requests under way.
	onceActive atomic.Int64
}

type hedgerKey struct {
	class   string
	service string
}

// listeners are the sockets of a daemon.
type listeners struct {
	callers   net.Listener
	operators net.Listener
	peers     net.Listener
	packets   net.PacketConn
}

// New opens the daemon's sockets; Run serves them.
func New(settings loader.Settings, network dialer.Network) (*Daemon, error) {
	tlsConfig, err := peerTLS(settings.TLS)
	if err != nil {
		return nil, err
	}
	l, err := listen(settings, network, tlsConfig)
	if err != nil {
		return nil, err
	}
	settings = l.resolved(settings)
	d := &Daemon{
		settings:    settings,
		incarnation: settings.PeerAddress + "/" + randomHex(),
		secret:      randomBytes(secretBytes),
		started:     time.Now(),
		scheduler:   scheduler.New(),
		gate:        admitter.NewGate(newRand()),
		linker:      linker.New(network, tlsConfig),
		metrics:     newMetrics(),
		news:        newNewsBoard(time.Duration(settings.Tickets.Lifetime)),
		hedgers:     map[hedgerKey]*hedger.Hedger{},
		adopted:     map[string]*ticketer.Table{},
		leaving:     make(chan struct{}),
		handedOver:  make(chan struct{}),
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
		OnDraining: d.noteDraining,
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
	d.callers = &http.Server{Handler: d.callersHandler(), ReadHeaderTimeout: 5 * time.Second}
	d.operators = &http.Server{Handler: d.operatorsHandler(), ReadHeaderTimeout: 5 * time.Second}
	d.seed(settings.Seeds)
	return d, nil
}

func (d *Daemon) newRelayer(network dialer.Network) *relayer.Relayer {
	return relayer.New(relayer.Config{
		Platform:          watcher.New(network, d.settings.Platform),
		Peer:              d.linker.Peer,
		IsRelay:           d.isRelay,
		OnChanged:         d.documentChanged,
		Announce:          func() { d.members.Push() },
		OnPlatformCall:    d.metrics.platformCalls.Inc,
		OnPlatformFailure: d.metrics.platformFails.Inc,
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
		BeforeSend:      d.decorate,
		AfterReceive:    d.heardPacket,
		OnSent:          func(n int) { d.metrics.packetsOut.Inc(); d.metrics.bytesOut.Add(n) },
		OnReceived:      func(n int) { d.metrics.packetsIn.Inc(); d.metrics.bytesIn.Add(n) },
		OnForeignPacket: d.heardForeign,
	})
}

func (d *Daemon) selfRecord() *messenger.Member {
	return &messenger.Member{
		Address:     d.settings.PeerAddress,
		Incarnation: d.incarnation,
		// The start time is only a hint that makes a new process override an
		// old one sooner; refutation does not depend on it.
		Revision:      uint64(d.started.UnixMilli()),
		FailureDomain: d.settings.FailureDomain,
		Region:        d.settings.Region,
	}
}

func listen(s loader.Settings, network dialer.Network, tlsConfig *tls.Config) (listeners, error) {
	var l listeners
	var err error
	for _, one := range []struct {
		address string
		into    *net.Listener
	}{{s.CallerAddress, &l.callers}, {s.OperatorAddress, &l.operators}, {s.PeerAddress, &l.peers}} {
		if *one.into, err = net.Listen("tcp", one.address); err != nil {
			l.close()
			return l, failer.Wrap("listen on "+one.address, KindListen, err)
		}
	}
	// Peers use one port for TCP and UDP.
	if l.packets, err = network.ListenPacket("udp", l.peers.Addr().String()); err != nil {
		l.close()
		return l, failer.Wrap("listen on "+s.PeerAddress, KindListen, err)
	}
	if tlsConfig != nil {
		l.peers = tls.NewListener(l.peers, tlsConfig)
	}
	return l, nil
}

// resolved returns the settings with the ports that were really opened.
func (l listeners) resolved(s loader.Settings) loader.Settings {
	s.CallerAddress = l.callers.Addr().String()
	s.PeerAddress = l.peers.Addr().String()
	s.OperatorAddress = l.operators.Addr().String()
	return s
}

// Settings returns the settings in force, with the ports that were really opened.
func (d *Daemon) Settings() loader.Settings { return d.settings }

func (l listeners) close() {
	for _, one := range []net.Listener{l.callers, l.operators, l.peers} {
		if one != nil {
			_ = one.Close()
		}
	}
	if l.packets != nil {
		_ = l.packets.Close()
	}
}

// Run serves until Stop has been called and everything in flight has ended.
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
	add(func(ctx context.Context) error { return serve(ctx, d.callers, d.listeners.callers) }, func() { _ = d.callers.Close() })
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
	klog.InfoS("daemon stopped", "name", d.settings.Name)
	return err
}

// serve runs an HTTP server. A server that was shut down on purpose goes on
// counting as running, so that the run group ends only when the stop is complete.
func serve(ctx context.Context, server *http.Server, l net.Listener) error {
	err := server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// nextAttempt returns an attempt id that this incarnation has not used.
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

// newRequestID returns an id that no other request of the tier has.
func (d *Daemon) newRequestID() string {
	return d.incarnation[len(d.settings.PeerAddress)+1:] + "-" + strconv.FormatUint(d.nextAttempt(), 36)
}

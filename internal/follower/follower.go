// Package follower keeps a copy of the routes and servers in the platform's
// store. One daemon at a time reads the store for the whole tier; daemons gossip
// the generation and digest of their copies and fetch newer ones from each other.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/fuchsiastile/fuchsiastile/internal/assigner"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/gossiper"
	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/linker"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindListen          Kind = "listenFailed"
	KindUnknownDocument Kind = "unknownDocument"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// The documents that daemons exchange.
const (
	documentConfiguration = "configuration"
	documentServers       = "servers"
)

const (
	// forwardersPerDomain is how many daemons of a failure domain receive heads from
	// the store's reader in another domain and forward them within their own.
	forwardersPerDomain = 2
	// One in crossRegionEvery probe rounds covers all regions; the others cover this
	// daemon's region only.
	crossRegionEvery = 3
	// fetchTimeout bounds fetching a document from a peer.
	fetchTimeout = time.Second
	// initialReadDelay is how long a daemon that is not a seed waits after its start
	// before it reads the store. It fetches from the seeds meanwhile, so that only a
	// few daemons call the store when the whole tier starts.
	initialReadDelay = 400 * time.Millisecond
	// firstStartReadDelay replaces initialReadDelay at the first start of the tier,
	// when there is no content to serve and the daemons have not discovered each other
	// yet.
	firstStartReadDelay = 2500 * time.Millisecond
	// seedFetchInterval is the minimum delay between fetches from seeds after the
	// start; a random delay of up to the same length is added. The fetches end after
	// seedFetchPeriod.
	seedFetchInterval = 60 * time.Millisecond
	seedFetchPeriod   = 3 * time.Second
	// seedAnswerTimeout bounds the wait for the seeds' documents before a daemon that has
	// just started reads the store. It is several round trips between regions.
	seedAnswerTimeout = 300 * time.Millisecond
	// reseedInterval is how often a daemon without live peers adds the seeds to its
	// membership list again.
	reseedInterval = time.Second
	// rankCheckInterval bounds the sleep between two evaluations of the read rank.
	rankCheckInterval = 250 * time.Millisecond
)

// State holds the routes, the searchers and the number of daemons by which requests
// are routed. It is immutable.
type State struct {
	Table *planner.Table
	Fleet *planner.Fleet
	// Daemons is the recent maximum of live daemons, this one included; at least one.
	Daemons int
	// Joined is false until joinPeriod after another daemon was first heard from, if there
	// may be one. Until then Daemons says little about how many share what all may use.
	Joined bool
}

// Ready reports whether the state has both routes and servers.
func (s *State) Ready() bool { return s.Table != nil && s.Fleet != nil }

// Config holds the settings, dependencies and callbacks of a Follower.
type Config struct {
	Settings  platform.Settings
	Network   dialer.Network
	Scheduler *scheduler.Scheduler
	// OnStoreCall is called for each call to the store.
	OnStoreCall func()
	// OnChange is called with each new state.
	OnChange func(*State)
	// OnDisplaced is called with the key of a searcher whose address now belongs to
	// another process, as reported by a peer.
	OnDisplaced func(now time.Time, key string)
	// OnReport is called with what a peer observed of searchers, on a collector, and
	// OnSummary with what a collector pooled.
	OnReport  func(sender string, report []reporter.Observation)
	OnSummary func(now time.Time, summary reporter.Summary)
	// RateLimits returns the searchers' rate limits that other daemons are told, and
	// OnRateLimits is called with those that another daemon told.
	RateLimits   func(now time.Time) []limiter.Observation
	OnRateLimits func(now time.Time, news []limiter.Observation)
	// OnPacket is called for each datagram between daemons with its size.
	OnPacket func(direction string, bytes int)
	Rand     *rand.Rand
}

// Follower keeps the routing state of one daemon up to date. It is safe for
// concurrent use.
type Follower struct {
	config     Config
	address    string
	store      *platform.Store
	gossip     *gossiper.Gossiper
	peers      *linker.Linker
	server     *drpcserver.Server
	listener   net.Listener
	packetConn net.PacketConn

	configurations *document[planner.Configuration]
	servers        *document[planner.Server]

	state atomic.Pointer[State]
	// ready is closed when the first state with routes and servers is published.
	ready     chan struct{}
	readyOnce sync.Once
	// mu serializes the building of new states.
	mu      sync.Mutex
	expired refresher.ExpiredEntries[planner.Server]
	// departures holds servers by their keys.
	departures refresher.Departures
	// retainUntil is when the fleet is due to be rebuilt without expired servers.
	retainUntil time.Time
	// peakDaemons is the maximum of live daemons within peakWindow, and peakAt the last
	// time at which it was reached.
	peakDaemons int
	peakAt      time.Time
	// heardAt is when another daemon was first heard from; zero before.
	heardAt time.Time
	// seeds holds the IP addresses of the seeds in the newest settings; never nil.
	seeds atomic.Pointer[[]string]
	// leaving is set once the daemon has begun to stop.
	leaving atomic.Bool
}

// New opens the peer ports; Run reads the store and serves peers.
func New(config Config) (*Follower, error) {
	s := config.Settings
	f := &Follower{
		config: config,
		store:  platform.NewStore(config.Network, s.StoreAddress, config.OnStoreCall),
		peers:  linker.New(config.Network, nil),
		ready:  make(chan struct{}),
	}
	f.seeds.Store(&s.Seeds)
	f.address = f.peerAddress(s.IP)
	f.state.Store(&State{Daemons: 1, Joined: s.Bootstrap || len(f.otherSeeds()) == 0})
	var err error
	if f.listener, err = net.Listen("tcp", f.address); err != nil {
		return nil, failer.Wrap("listen for peers", KindListen, err)
	}
	if f.packetConn, err = config.Network.ListenPacket("udp", f.address); err != nil {
		_ = f.listener.Close()
		return nil, failer.Wrap("listen for peers", KindListen, err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &peerService{follower: f}); err != nil {
		return nil, failer.Wrap("register peer service", KindListen, err)
	}
	f.server = drpcserver.New(mux)
	f.gossip = gossiper.New(gossiper.Config{
		Machine:         prober.New(f.proberConfig()),
		Socket:          f.packetConn,
		Scheduler:       config.Scheduler,
		BeforeSend:      f.attachState,
		AfterReceive:    f.handlePacket,
		OnSent:          func(n int) { config.OnPacket("out", n) },
		OnReceived:      func(n int) { config.OnPacket("in", n) },
		OnForeignPacket: func(string) { config.OnPacket("foreign", 0) },
	})
	refreshConfig := refresher.Config{Bound: s.Bounds.ConfigurationApplyTimeout, InitialDelay: initialReadDelay, Rand: config.Rand}
	switch {
	case slices.Contains(s.Seeds, s.IP) || len(s.Seeds) == 0:
		refreshConfig.InitialDelay = 0
	case s.Bootstrap:
		refreshConfig.InitialDelay = firstStartReadDelay
	}
	f.configurations = newDocument(documentConfiguration, refreshConfig, platform.Configurations(f.store))
	f.configurations.onChange = f.configurationChanged
	f.configurations.versionOf = configurationVersion
	refreshConfig.Bound = s.Bounds.DrainNotice
	f.servers = newDocument(documentServers, refreshConfig, platform.Servers(f.store))
	f.servers.onChange = f.serversChanged
	f.servers.onConfirmed = f.storeConfirmed
	f.servers.onRestored = f.storeRestored
	return f, nil
}

func (f *Follower) proberConfig() prober.Config {
	c := prober.DefaultConfig(f.selfRecord(), f.config.Rand)
	c.CrossRegionEvery = crossRegionEvery
	return c
}

func (f *Follower) selfRecord() *messenger.Member {
	now := time.Now()
	return &messenger.Member{
		Address:       f.address,
		Incarnation:   f.address + "/" + strconv.FormatInt(now.UnixNano(), 36),
		Revision:      uint64(now.UnixMilli()),
		FailureDomain: f.config.Settings.FailureDomain,
		Region:        f.config.Settings.Region,
	}
}

// State returns the current state.
func (f *Follower) State() *State { return f.state.Load() }

// Ready returns a channel that is closed when the first state with routes and
// servers is published.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run reads the store while this daemon's read rank makes it the reader, and serves
// peers until the context is canceled.
func (f *Follower) Run(ctx context.Context) error {
	f.seedMembership()
	f.gossip.Start(time.Now())
	f.config.Scheduler.Every(reseedInterval, func(time.Time) { f.checkMembership() })
	var wait sync.WaitGroup
	for _, loop := range []func(){
		func() {
			askSeeds(ctx, f, f.configurations)
			readLoop(ctx, f, f.configurations)
		},
		func() {
			askSeeds(ctx, f, f.servers)
			readLoop(ctx, f, f.servers)
		},
		func() { f.fetchFromSeeds(ctx) },
		func() { f.discoverInStore(ctx) },
		func() { _ = f.gossip.Run() },
		func() { _ = f.server.Serve(ctx, f.listener) },
	} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			loop()
		}()
	}
	<-ctx.Done()
	_ = f.packetConn.Close()
	_ = f.listener.Close()
	f.peers.Close()
	f.store.Close()
	wait.Wait()
	return nil
}

// Close closes the ports of a follower whose Run was never called.
func (f *Follower) Close() {
	_ = f.packetConn.Close()
	_ = f.listener.Close()
}

// Leave announces to the other daemons that this one is stopping.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.gossip.Leave("")
}

func (f *Follower) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.config.Settings.PeerPorts[0]))
}

// SetSeeds replaces the IP addresses of the seeds, after the settings have changed.
func (f *Follower) SetSeeds(ips []string) {
	f.seeds.Store(&ips)
	f.seedMembership()
}

// LiveDaemons returns the peer addresses of the daemons that this one knows to be alive,
// itself included, sorted.
func (f *Follower) LiveDaemons() []string { return addresses(f.gossip.Live(), nil) }

func (f *Follower) seedMembership() {
	var seeds []*messenger.Member
	for _, ip := range *f.seeds.Load() {
		seeds = append(seeds, &messenger.Member{Address: f.peerAddress(ip)})
	}
	f.gossip.Seed(seeds)
}

// checkMembership adds the seeds again if no peer is live, and updates the number of
// daemons in the state.
func (f *Follower) checkMembership() {
	live := f.gossip.Live()
	if len(live) == 1 {
		f.seedMembership()
	}
	f.updateDaemonCount(time.Now(), len(live))
}

// readLoop reads a document from the store whenever its refresher has scheduled a
// read, and announces each successful read to the peers.
func readLoop[T any](ctx context.Context, f *Follower, d *document[T]) {
	reading := false
	for ctx.Err() == nil {
		nextReadAt := d.nextReadAt(f.readRank())
		if wait := time.Until(nextReadAt); wait > 0 {
			if wait > rankCheckInterval && reading {
				reading = false
				klog.InfoS("leaving the store to another daemon", "document", d.name)
			}
			scheduler.Sleep(ctx, min(wait, rankCheckInterval))
			continue
		}
		if !reading {
			reading = true
			klog.InfoS("reading the store for the tier", "document", d.name, "rank", f.readRank())
		}
		if d.read(ctx) {
			f.announceHead(d.head(time.Now()))
		}
	}
}

// readRank returns this daemon's position in the order in which daemons take over
// reading the store; a daemon that is stopping is last.
func (f *Follower) readRank() int {
	live := f.gossip.Live()
	if f.leaving.Load() {
		return len(live)
	}
	order := assigner.TopRanked("store", addresses(live, nil), len(live))
	return max(0, slices.Index(order, f.address))
}

// addresses returns the addresses of the members that match, or of all if match is
// nil.
func addresses(members []*messenger.Member, match func(*messenger.Member) bool) []string {
	var out []string
	for _, m := range members {
		if match == nil || match(m) {
			out = append(out, m.GetAddress())
		}
	}
	return out
}

// peerService is the RPC service that a daemon provides to its peers.
type peerService struct {
	messenger.DRPCPeerUnimplementedServer
	follower *Follower
}

// Fetch returns a document with compressed content.
func (p *peerService) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchReply, error) {
	switch r.GetDocument() {
	case documentConfiguration:
		return p.follower.addSharedState(p.follower.configurations.reply())
	case documentServers:
		return p.follower.addSharedState(p.follower.addHidden(p.follower.servers.reply()))
	default:
		return nil, failer.Wrap("fetch "+r.GetDocument(), KindUnknownDocument, errors.New("unknown document name"))
	}
}

// Package follower keeps what the platform's store says of routes and servers:
// one daemon at a time reads the store for the whole tier, and daemons tell
// each other how new their knowledge is and fetch what they lack.
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
	"github.com/fuchsiastile/fuchsiastile/internal/linker"
	"github.com/fuchsiastile/fuchsiastile/internal/messenger"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/prober"
	"github.com/fuchsiastile/fuchsiastile/internal/refresher"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// Kind is the kind of an Error.
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
	// forwardersPerDomain is how many daemons of a failure domain pass on to it
	// what daemons elsewhere confirm.
	forwardersPerDomain = 2
	// farEvery is how many rounds of probes within the region pass for one over all.
	farEvery = 3
	// fetchTimeout bounds fetching a document from a peer.
	fetchTimeout = time.Second
	// settleTime is how long a daemon that is no seed leaves the first read of the
	// store to the seeds and asks them, so that a start of the whole tier costs a
	// few daemons' calls.
	settleTime = 400 * time.Millisecond
	// firstSettleTime is the same at the first start of the tier, when there is
	// nothing to serve yet and nobody knows the others.
	firstSettleTime = 2500 * time.Millisecond
	// askInterval spaces asking seeds, by up to twice as much, for up to askTime.
	askInterval = 60 * time.Millisecond
	askTime     = 3 * time.Second
	// reseedInterval is how often a daemon that knows no other tries the seeds again.
	reseedInterval = time.Second
	// maxNap bounds how long a reader sleeps before it looks at its rank again.
	maxNap = 250 * time.Millisecond
)

// State is what requests are decided on. It is immutable.
type State struct {
	Table *planner.Table
	Fleet *planner.Fleet
	// Daemons is how many daemons are alive, this one included; at least one.
	Daemons int
}

// Ready reports whether requests can be decided at all.
func (s *State) Ready() bool { return s.Table != nil && s.Fleet != nil }

// Config is what a follower needs from its surroundings.
type Config struct {
	Settings  platform.Settings
	Network   dialer.Network
	Scheduler *scheduler.Scheduler
	// OnStoreCall counts calls of the store.
	OnStoreCall func()
	// OnChange is told of each new state.
	OnChange func(*State)
	// OnDisplaced is told of a searcher whose address another process has, as a peer
	// has found out.
	OnDisplaced func(now time.Time, key string)
	// OnPacket counts datagrams between daemons by their bytes.
	OnPacket func(direction string, bytes int)
	Rand     *rand.Rand
}

// Follower is safe for concurrent use.
type Follower struct {
	config  Config
	address string
	store   *platform.Store
	gossip  *gossiper.Gossiper
	peers   *linker.Linker
	server  *drpcserver.Server
	stream  net.Listener
	packets net.PacketConn

	configurations *document[planner.Configuration]
	servers        *document[planner.Server]

	state atomic.Pointer[State]
	// ready is closed when the first state that decides requests is there.
	ready     chan struct{}
	readyOnce sync.Once
	// mu is held while a new state is made.
	mu     sync.Mutex
	lapses refresher.ExpiredEntries[planner.Server]
	// heldUntil is when a new fleet without what lapsed is due.
	heldUntil time.Time
	// peak is the greatest number of live daemons that was seen lately.
	peak   int
	peakAt time.Time
	// leaving is set when the daemon stops.
	leaving atomic.Bool
}

// New opens the ports for peers; Run follows the store.
func New(config Config) (*Follower, error) {
	s := config.Settings
	f := &Follower{
		config: config,
		store:  platform.NewStore(config.Network, s.StoreAddress, config.OnStoreCall),
		peers:  linker.New(config.Network, nil),
		ready:  make(chan struct{}),
	}
	f.address = f.peerAddress(s.IP)
	f.state.Store(&State{Daemons: 1})
	var err error
	if f.stream, err = net.Listen("tcp", f.address); err != nil {
		return nil, failer.Wrap("listen for peers", KindListen, err)
	}
	if f.packets, err = config.Network.ListenPacket("udp", f.address); err != nil {
		_ = f.stream.Close()
		return nil, failer.Wrap("listen for peers", KindListen, err)
	}
	mux := drpcmux.New()
	if err := messenger.DRPCRegisterPeer(mux, &peerServer{follower: f}); err != nil {
		return nil, failer.Wrap("register peer service", KindListen, err)
	}
	f.server = drpcserver.New(mux)
	f.gossip = gossiper.New(gossiper.Config{
		Machine:         prober.New(f.memberConfig()),
		Socket:          f.packets,
		Scheduler:       config.Scheduler,
		BeforeSend:      f.decorate,
		AfterReceive:    f.heard,
		OnSent:          func(n int) { config.OnPacket("out", n) },
		OnReceived:      func(n int) { config.OnPacket("in", n) },
		OnForeignPacket: func(string) { config.OnPacket("foreign", 0) },
	})
	reading := refresher.Config{Bound: s.Bounds.ConfigurationApplyTimeout, InitialDelay: settleTime, Rand: config.Rand}
	switch {
	case slices.Contains(s.Seeds, s.IP) || len(s.Seeds) == 0:
		reading.InitialDelay = 0
	case s.Bootstrap:
		reading.InitialDelay = firstSettleTime
	}
	f.configurations = newDocument(documentConfiguration, reading, platform.Configurations(f.store))
	f.configurations.changed = f.configurationChanged
	f.configurations.returned = func(time.Time, time.Time) {}
	reading.Bound = s.Bounds.DrainNotice
	f.servers = newDocument(documentServers, reading, platform.Servers(f.store))
	f.servers.changed = f.serversChanged
	f.servers.returned = f.storeReturned
	return f, nil
}

func (f *Follower) memberConfig() prober.Config {
	c := prober.DefaultConfig(f.self(), f.config.Rand)
	c.CrossRegionEvery = farEvery
	return c
}

func (f *Follower) self() *messenger.Member {
	now := time.Now()
	return &messenger.Member{
		Address:       f.address,
		Incarnation:   f.address + "/" + strconv.FormatInt(now.UnixNano(), 36),
		Revision:      uint64(now.UnixMilli()),
		FailureDomain: f.config.Settings.FailureDomain,
		Region:        f.config.Settings.Region,
	}
}

// State returns what is known now.
func (f *Follower) State() *State { return f.state.Load() }

// Ready is closed when the first state that decides requests is there.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Run follows the store and serves peers until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	f.seed()
	f.gossip.Start(time.Now())
	f.config.Scheduler.Every(reseedInterval, func(time.Time) { f.tend() })
	var wait sync.WaitGroup
	for _, part := range []func(){
		func() { follow(ctx, f, f.configurations) },
		func() { follow(ctx, f, f.servers) },
		func() { f.askSeeds(ctx) },
		func() { _ = f.gossip.Run() },
		func() { _ = f.server.Serve(ctx, f.stream) },
	} {
		wait.Add(1)
		go func() {
			defer wait.Done()
			part()
		}()
	}
	<-ctx.Done()
	_ = f.packets.Close()
	_ = f.stream.Close()
	f.peers.Close()
	f.store.Close()
	wait.Wait()
	return nil
}

// Close ends a follower that was not run.
func (f *Follower) Close() {
	_ = f.packets.Close()
	_ = f.stream.Close()
}

// Leave tells the other daemons that this one stops.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.gossip.Leave("")
}

func (f *Follower) peerAddress(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(f.config.Settings.PeerPorts[0]))
}

func (f *Follower) seed() {
	var seeds []*messenger.Member
	for _, ip := range f.config.Settings.Seeds {
		seeds = append(seeds, &messenger.Member{Address: f.peerAddress(ip)})
	}
	f.gossip.Seed(seeds)
}

// tend looks for others while there are none, and keeps the state's number of daemons.
func (f *Follower) tend() {
	live := f.gossip.Live()
	if len(live) == 1 {
		f.seed()
	}
	f.remake(time.Now(), len(live))
}

// follow reads a document whenever this daemon is the one to do so.
func follow[T any](ctx context.Context, f *Follower, d *document[T]) {
	reading := false
	for ctx.Err() == nil {
		due := d.due(f.rank())
		if wait := time.Until(due); wait > 0 {
			if wait > maxNap && reading {
				reading = false
				klog.InfoS("leaving the store to another daemon", "document", d.name)
			}
			scheduler.Sleep(ctx, min(wait, maxNap))
			continue
		}
		if !reading {
			reading = true
			klog.InfoS("reading the store for the tier", "document", d.name, "rank", f.rank())
		}
		if d.read(ctx) {
			f.confirm(d.head(time.Now()))
		}
	}
}

// rank is this daemon's place in the order in which daemons read the store.
func (f *Follower) rank() int {
	live := f.gossip.Live()
	if f.leaving.Load() {
		return len(live)
	}
	order := assigner.TopRanked("store", addresses(live, nil), len(live))
	return max(0, slices.Index(order, f.address))
}

// addresses returns the addresses of the members that are wanted; nil wants all.
func addresses(members []*messenger.Member, wanted func(*messenger.Member) bool) []string {
	var out []string
	for _, m := range members {
		if wanted == nil || wanted(m) {
			out = append(out, m.GetAddress())
		}
	}
	return out
}

// peerServer is what daemons offer each other.
type peerServer struct {
	messenger.DRPCPeerUnimplementedServer
	follower *Follower
}

// Fetch sends a document, packed.
func (p *peerServer) Fetch(_ context.Context, r *messenger.FetchRequest) (*messenger.FetchReply, error) {
	switch r.GetDocument() {
	case documentConfiguration:
		return p.follower.configurations.reply()
	case documentServers:
		return p.follower.servers.reply()
	default:
		return nil, failer.Wrap("fetch "+r.GetDocument(), KindUnknownDocument, errors.New("no such document"))
	}
}

package stager

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/supervisor"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// TierConfig is a deployment on the users' platform in one process.
type TierConfig struct {
	// Domains are the failure domains, each in a region of its own, and Daemons is
	// how many daemons each has.
	Domains          []string
	DaemonsPerDomain int
	// Shards is the number of shards of the index, each with a searcher in every
	// failure domain; SingleSearchersPerDomain is how many searchers take single requests there.
	Shards, SingleSearchersPerDomain int
	// ServiceTime is how long a request takes at a searcher.
	ServiceTime time.Duration
	// ColdStart leaves the store empty at the start.
	ColdStart bool
	// BeforeDaemons is called with the store before any daemon runs; nil does nothing.
	BeforeDaemons func(*emulator.Store)
	// SettingsDirectory is where settings files are written.
	SettingsDirectory string
	// ExternalDaemons leaves starting the daemons to the caller.
	ExternalDaemons bool
	// RegisteredAddress returns the address under which a searcher is registered; nil
	// leaves its own.
	RegisteredAddress func(address string) (string, error)
}

// Tier is a running deployment.
type Tier struct {
	Config   TierConfig
	Store    *emulator.Store
	Backends []*emulator.Backend
	Daemons  []*TierDaemon
	// StoredConfiguration is the configuration that was stored last.
	StoredConfiguration planner.Configuration

	storeServer  *http.Server
	storeAddress string
	basePort     int
	client       *http.Client
	network      int
}

// TierDaemon is one daemon of a tier.
type TierDaemon struct {
	*supervisor.Supervisor
	Settings     platform.Settings
	SettingsFile string
	RunErr       chan error
}

// The routes of a tier's first configuration.
const (
	TierHost          = "tier.example"
	ScatterGatherPath = "/all/"
	AtMostOncePath    = "/once/"
	SinglePath        = "/single/"
	singles           = "singles"
	// TopK is how many records an answer of many shards holds.
	TopK         = 20
	tierDeadline = 2500 * time.Millisecond
)

// tierBounds are those of the users' deployments.
var tierBounds = platform.Bounds{
	ConfigurationApplyTimeout: 3 * time.Second,
	DrainNotice:               3 * time.Second,
	StopGracePeriod:           6 * time.Second,
	RetryBudgetRatio:          0.2,
	RetryBudgetSlack:          126,
	RetryBudgetWindow:         10 * time.Second,
	HeartbeatInterval:         1200 * time.Millisecond,
}

// NewTier starts the store, the searchers and the daemons of a deployment and
// waits until every daemon is ready, unless the store starts cold.
func NewTier(ctx context.Context, config TierConfig) (*Tier, error) {
	t := &Tier{
		Config: config, Store: emulator.NewStore(), network: 1 + rand.IntN(250),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.storeAddress = l.Addr().String()
	t.storeServer = &http.Server{Handler: t.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.storeServer.Serve(l) }()
	if err := t.startBackends(); err != nil {
		t.Close()
		return nil, err
	}
	if !config.ColdStart {
		t.Publish()
	}
	if config.BeforeDaemons != nil {
		config.BeforeDaemons(t.Store)
	}
	if t.basePort, err = freePorts(t.ip(1)); err != nil {
		t.Close()
		return nil, err
	}
	if config.ExternalDaemons {
		return t, nil
	}
	for n := range len(config.Domains) * config.DaemonsPerDomain {
		if _, err := t.StartDaemon(n, true); err != nil {
			t.Close()
			return nil, err
		}
	}
	if config.ColdStart {
		return t, nil
	}
	if err := t.AwaitReady(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

// portsPerDaemon is how many ports in a row a daemon uses.
const portsPerDaemon = 6

// freePorts finds the first of a row of ports that are free.
func freePorts(ip string) (int, error) {
	for range 100 {
		base := 20000 + rand.IntN(10000)
		free := true
		for port := base; port < base+portsPerDaemon; port++ {
			l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no %d ports in a row are free", portsPerDaemon)
}

func (t *Tier) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", t.network, n/200+1, n%200+1) }

func (t *Tier) startBackends() error {
	for d, domain := range t.Config.Domains {
		for shard := range t.Config.Shards {
			if _, err := t.AddBackend(ShardServiceName(shard), domain, fmt.Sprintf("i-%d-%d", shard, d)); err != nil {
				return err
			}
		}
		for n := range t.Config.SingleSearchersPerDomain {
			if _, err := t.AddBackend(singles, domain, fmt.Sprintf("i-single-%d-%d", n, d)); err != nil {
				return err
			}
		}
	}
	return nil
}

// ShardServiceName is the service of a shard by its number.
func ShardServiceName(n int) string { return fmt.Sprintf("shard-%02d", n) }

// recordsPerPart is how many records a shard answers with.
const recordsPerPart = 25

// AddBackend starts one more searcher; Register makes it known.
func (t *Tier) AddBackend(service, domain, instance string) (*emulator.Backend, error) {
	return t.addBackend(service, domain, instance, "127.0.0.1:0")
}

func (t *Tier) addBackend(service, domain, instance, address string) (*emulator.Backend, error) {
	server := planner.Server{Instance: instance, Service: service, FailureDomain: domain, Slots: 5, Born: time.Now().UnixMilli()}
	b, err := emulator.StartBackend(server, address, t.Config.ServiceTime, recordsPerPart)
	if err != nil {
		return nil, err
	}
	t.Backends = append(t.Backends, b)
	if t.Config.RegisteredAddress == nil {
		return b, nil
	}
	b.Server.Address, err = t.Config.RegisteredAddress(b.Server.Address)
	return b, err
}

// Register stores a searcher's registration.
func (t *Tier) Register(server planner.Server) {
	spec, err := platform.EncodeServer(server, 1)
	if err != nil {
		panic(err)
	}
	t.Store.Put(platform.ObjectKindServer, server.Instance, spec)
}

// Publish stores the registrations of all searchers and the first configuration.
func (t *Tier) Publish() {
	for _, b := range t.Backends {
		t.Register(b.Server)
	}
	t.Apply(t.InitialConfiguration())
}

// InitialConfiguration has one route for each way of asking.
func (t *Tier) InitialConfiguration() planner.Configuration {
	var shards []string
	services := map[string]planner.Service{singles: {HealthPath: "/health", MaxConnections: 250}}
	for n := range t.Config.Shards {
		shards = append(shards, ShardServiceName(n))
		services[ShardServiceName(n)] = planner.Service{HealthPath: "/health", MaxConnections: 92}
	}
	single := func(name, path string, idempotent bool) planner.Route {
		return planner.Route{
			Name: name, Host: TierHost, PathPrefix: path, Idempotent: idempotent, Timeout: tierDeadline, Objective: time.Second,
			Rank: 2, MaxSearchers: 2, Backends: []planner.Backend{{Service: singles, Weight: 1}},
		}
	}
	return planner.Configuration{
		Version: 7,
		Routes: []planner.Route{
			{
				Name: "gather", Host: TierHost, PathPrefix: ScatterGatherPath, Idempotent: true, Timeout: tierDeadline,
				Objective: 250 * time.Millisecond, Rank: 1, MaxSearchers: 2, Shards: shards, TopK: TopK, MinCoverage: 0.75,
			},
			single("once", AtMostOncePath, false),
			single("single", SinglePath, true),
		},
		Services: services,
		Limits:   planner.Limits{HeaderBytes: 16384, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Apply stores a configuration.
func (t *Tier) Apply(c planner.Configuration) {
	spec, err := platform.EncodeConfiguration(c)
	if err != nil {
		panic(err)
	}
	t.StoredConfiguration = c
	t.Store.Put(platform.ObjectKindConfiguration, platform.ConfigurationObjectName, spec)
}

// StartDaemon starts the n-th daemon in this process, or starts it again.
func (t *Tier) StartDaemon(n int, first bool) (*TierDaemon, error) {
	d, err := t.WriteSettings(n, first)
	if err != nil {
		return nil, err
	}
	local := net.ParseIP(d.Settings.IP)
	d.Supervisor, err = supervisor.New(supervisor.Config{SettingsFile: d.SettingsFile, Network: dialer.Network{
		Dial:         (&net.Dialer{LocalAddr: &net.TCPAddr{IP: local}}).DialContext,
		ListenPacket: net.ListenPacket,
	}})
	if err != nil {
		return nil, err
	}
	go func() { d.RunErr <- d.Run() }()
	if n < len(t.Daemons) {
		t.Daemons[n] = d
	} else {
		t.Daemons = append(t.Daemons, d)
	}
	return d, nil
}

// WriteSettings writes the settings file of the n-th daemon, which the caller starts.
func (t *Tier) WriteSettings(n int, first bool) (*TierDaemon, error) {
	settings := t.settings(n, first)
	data, err := platform.EncodeSettings(settings)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(t.Config.SettingsDirectory, settings.Name+".toml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return nil, err
	}
	return &TierDaemon{Settings: settings, SettingsFile: file, RunErr: make(chan error, 1)}, nil
}

// StoreAddress is where the store listens.
func (t *Tier) StoreAddress() string { return t.storeAddress }

// SetStoreAddress gives daemons that are started later another address of the store.
func (t *Tier) SetStoreAddress(address string) { t.storeAddress = address }

// ProbeReadiness asks a daemon the balancer's question.
func (t *Tier) ProbeReadiness(ctx context.Context, d *TierDaemon) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Settings.ReadinessAddress+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := t.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ExecutedBy returns the searcher that ran a request; nil if none did.
func (t *Tier) ExecutedBy(id string) *emulator.Backend {
	for _, b := range t.Backends {
		if b.Stats().Runs[id] > 0 {
			return b
		}
	}
	return nil
}

func (t *Tier) settings(n int, first bool) platform.Settings {
	domain := t.Config.Domains[n%len(t.Config.Domains)]
	regions := map[string]string{}
	for _, d := range t.Config.Domains {
		regions[d] = "region-" + d
	}
	address := func(port int) string { return net.JoinHostPort(t.ip(n), strconv.Itoa(t.basePort+port)) }
	s := platform.Settings{
		Name: fmt.Sprintf("vm-%d", n), IP: t.ip(n), FailureDomain: domain, Region: regions[domain], Regions: regions,
		CallerAddress: address(0), ReadinessAddress: address(1), PeerPorts: [2]int{t.basePort + 2, t.basePort + portsPerDaemon - 1},
		StoreAddress: t.storeAddress, MemoryBytes: 206 << 20, MaxFileDescriptors: 2870, Bootstrap: first, Bounds: tierBounds,
	}
	for seed := range 3 {
		s.Seeds = append(s.Seeds, t.ip(seed))
	}
	return s
}

// AwaitReady waits until every daemon is ready.
func (t *Tier) AwaitReady(ctx context.Context) error {
	for _, d := range t.Daemons {
		for !d.IsReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s is not ready: %w", d.Settings.Name, ctx.Err())
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Reply is what a caller got.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Latency time.Duration
}

// Send sends one try of a caller to a daemon.
func (t *Tier) Send(ctx context.Context, d *TierDaemon, method, path, id string, wait time.Duration, body io.Reader) (Reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.CallerAddress+path, body)
	if err != nil {
		return Reply{}, err
	}
	r.Host = TierHost
	platform.WriteCallerHeaders(r.Header, id, wait)
	started := time.Now()
	response, err := t.client.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Body: data, Latency: time.Since(started)}, err
}

// Close stops everything at once.
func (t *Tier) Close() {
	for _, d := range t.Daemons {
		d.Kill()
	}
	for _, b := range t.Backends {
		b.Close()
	}
	_ = t.storeServer.Close()
	t.client.CloseIdleConnections()
}

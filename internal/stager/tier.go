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

// TierConfig describes a Tier.
type TierConfig struct {
	// Domains are the failure domains, each in a region of its own. DaemonsPerDomain is
	// the number of daemons in each of them.
	Domains          []string
	DaemonsPerDomain int
	// Shards is the number of shards of the index, each with one searcher in every
	// failure domain. SingleSearchersPerDomain is the number of searchers in every
	// failure domain that serve requests to a single searcher.
	Shards, SingleSearchersPerDomain int
	// ServiceTime is the service time of a request at a searcher.
	ServiceTime time.Duration
	// ColdStart leaves the store empty until Publish is called; NewTier then does not
	// wait for readiness.
	ColdStart bool
	// BeforeDaemons is called with the store before any daemon is started; it may be nil.
	BeforeDaemons func(*emulator.Store)
	// SettingsDirectory is the directory of the daemons' settings files.
	SettingsDirectory string
	// ExternalDaemons makes NewTier start no daemons: the caller runs them, as processes
	// of their own, on the files of WriteSettings.
	ExternalDaemons bool
	// RegisteredAddress maps the listening address of a searcher to the address under
	// which it is registered, such as that of a proxy; nil registers the listening
	// address.
	RegisteredAddress func(address string) (string, error)
	// Network replaces the network of daemons that StartDaemon starts; nil keeps it.
	Network func(dialer.Network) dialer.Network
}

// Tier is a running deployment on the users' platform: the metadata store, the
// searchers registered in it and the daemons, in one process.
type Tier struct {
	Config   TierConfig
	Store    *emulator.Store
	Backends []*emulator.Backend
	Daemons  []*TierDaemon
	// StoredConfiguration is the configuration that was stored last.
	StoredConfiguration planner.Configuration

	storeHTTPServer *http.Server
	storeAddress    string
	basePort        int
	httpClient      *http.Client
	loopbackSubnet  int
}

// TierDaemon is one daemon of a tier with its settings file. RunErr receives the
// result of its Run.
type TierDaemon struct {
	*supervisor.Supervisor
	Settings     platform.Settings
	SettingsFile string
	RunErr       chan error
}

// Host and path prefixes of the routes in InitialConfiguration.
const (
	TierHost          = "tier.example"
	ScatterGatherPath = "/all/"
	AtMostOncePath    = "/once/"
	SinglePath        = "/single/"
	singles           = "singles"
	// TopK is the number of records in a scatter-gather answer.
	TopK             = 20
	tierRouteTimeout = 2500 * time.Millisecond
)

// tierBounds are the bounds that the users' deployments set.
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
// waits until every daemon is ready, except with ColdStart or ExternalDaemons.
func NewTier(ctx context.Context, config TierConfig) (*Tier, error) {
	t := &Tier{
		Config: config, Store: emulator.NewStore(), loopbackSubnet: 1 + rand.IntN(250),
		httpClient: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}},
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.storeAddress = listener.Addr().String()
	t.storeHTTPServer = &http.Server{Handler: t.Store, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.storeHTTPServer.Serve(listener) }()
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
	if t.basePort, err = findFreePorts(t.daemonIP(1)); err != nil {
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

// portsPerDaemon is the number of consecutive ports that a daemon uses.
const portsPerDaemon = 6

// findFreePorts returns the first of portsPerDaemon consecutive free ports of an IP
// address. It tries 100 random positions between 20000 and 30000.
func findFreePorts(ip string) (int, error) {
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
	return 0, fmt.Errorf("no %d consecutive free ports found", portsPerDaemon)
}

func (t *Tier) daemonIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", t.loopbackSubnet, n/200+1, n%200+1)
}

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

// ShardServiceName returns the service name of the n-th shard.
func ShardServiceName(n int) string { return fmt.Sprintf("shard-%02d", n) }

// recordsPerShard is the number of records in the answer of one shard.
const recordsPerShard = 25

// AddBackend starts a searcher without registering it in the store.
func (t *Tier) AddBackend(service, domain, instance string) (*emulator.Backend, error) {
	return t.startBackend(service, domain, instance, "127.0.0.1:0")
}

func (t *Tier) startBackend(service, domain, instance, address string) (*emulator.Backend, error) {
	server := planner.Server{Instance: instance, Service: service, FailureDomain: domain, Slots: 5, Born: time.Now().UnixMilli()}
	b, err := emulator.StartBackend(server, address, t.Config.ServiceTime, recordsPerShard)
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

// StartDaemon starts or restarts the n-th daemon in this process. bootstrap
// means that the whole tier is starting for the first time.
func (t *Tier) StartDaemon(n int, bootstrap bool) (*TierDaemon, error) {
	d, err := t.WriteSettings(n, bootstrap)
	if err != nil {
		return nil, err
	}
	localIP := net.ParseIP(d.Settings.IP)
	network := dialer.Network{
		Dial:         (&net.Dialer{LocalAddr: &net.TCPAddr{IP: localIP}}).DialContext,
		ListenPacket: net.ListenPacket,
	}
	if t.Config.Network != nil {
		network = t.Config.Network(network)
	}
	d.Supervisor, err = supervisor.New(supervisor.Config{SettingsFile: d.SettingsFile, Network: network})
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

// WriteSettings writes the settings file of the n-th daemon without starting it.
func (t *Tier) WriteSettings(n int, bootstrap bool) (*TierDaemon, error) {
	settings := t.settings(n, bootstrap)
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

// ProbeReadiness reports whether a daemon answers the load balancer's readiness check
// with 200.
func (t *Tier) ProbeReadiness(ctx context.Context, d *TierDaemon) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Settings.ReadinessAddress+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	response, err := t.httpClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ExecutedBy returns the searcher that ran a request, or nil if none did.
func (t *Tier) ExecutedBy(id string) *emulator.Backend {
	for _, b := range t.Backends {
		if b.Stats().Runs[id] > 0 {
			return b
		}
	}
	return nil
}

func (t *Tier) settings(n int, bootstrap bool) platform.Settings {
	domain := t.Config.Domains[n%len(t.Config.Domains)]
	regions := map[string]string{}
	for _, d := range t.Config.Domains {
		regions[d] = "region-" + d
	}
	address := func(port int) string { return net.JoinHostPort(t.daemonIP(n), strconv.Itoa(t.basePort+port)) }
	s := platform.Settings{
		Name: fmt.Sprintf("vm-%d", n), IP: t.daemonIP(n), FailureDomain: domain, Region: regions[domain], Regions: regions,
		CallerAddress: address(0), ReadinessAddress: address(1), PeerPorts: [2]int{t.basePort + 2, t.basePort + portsPerDaemon - 1},
		StoreAddress: t.storeAddress, MemoryBytes: 206 << 20, MaxFileDescriptors: 2870, Bootstrap: bootstrap, Bounds: tierBounds,
	}
	for seed := range 3 {
		s.Seeds = append(s.Seeds, t.daemonIP(seed))
	}
	return s
}

// AwaitReady waits until every daemon reports that it is ready.
func (t *Tier) AwaitReady(ctx context.Context) error {
	for _, d := range t.Daemons {
		for !d.IsReady() {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not become ready: %w", d.Settings.Name, ctx.Err())
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Reply is the response that a caller received.
type Reply struct {
	Status int
	Header http.Header
	// Closes reports whether the response closes its connection; net/http removes this from
	// the header.
	Closes  bool
	Body    []byte
	Latency time.Duration
}

// Send sends one request to a daemon with the caller headers id and wait, where wait
// is how long the caller waits for the answer, and reads the whole response.
func (t *Tier) Send(ctx context.Context, d *TierDaemon, method, path, id string, wait time.Duration, body io.Reader) (Reply, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings.CallerAddress+path, body)
	if err != nil {
		return Reply{}, err
	}
	r.Host = TierHost
	platform.WriteCallerHeaders(r.Header, id, wait)
	started := time.Now()
	response, err := t.httpClient.Do(r)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return Reply{Status: response.StatusCode, Header: response.Header, Closes: response.Close, Body: data, Latency: time.Since(started)}, err
}

// Close stops all daemons, searchers and the store at once, without draining.
func (t *Tier) Close() {
	for _, d := range t.Daemons {
		d.Kill()
	}
	for _, b := range t.Backends {
		b.Close()
	}
	_ = t.storeHTTPServer.Close()
	t.httpClient.CloseIdleConnections()
}

// Package stager runs a whole deployment in one process: an emulated platform,
// emulated searchers and real daemons. The demo, the bench, the soak test and the
// failure tests use it.
package stager

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/daemon"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/publisher"
	"github.com/fuchsiastile/fuchsiastile/internal/watcher"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// KindNotReady means that a daemon did not become ready before the context ended.
const KindNotReady Kind = "notReady"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// readyPollInterval is the interval between readiness checks of a daemon.
const readyPollInterval = 20 * time.Millisecond

// Config describes a Cluster.
type Config struct {
	Site         emulator.Site
	Declarations declarer.Declarations
	Policy       loader.Policy
	// ModifySettings modifies the settings of a daemon before it is created; it may be
	// nil.
	ModifySettings func(*loader.Settings)
	// BeforeDaemons is called when the platform and the searchers are running and no
	// daemon has been started; it may be nil.
	BeforeDaemons func(*emulator.RunningSite)
	// OnListen is called with the peer address of each daemon before it runs; it may
	// be nil.
	OnListen func(domain emulator.Domain, peerAddress string)
	// Network returns the network that the n-th daemon of a failure domain uses; nil
	// means the system's network for all daemons.
	Network func(domain emulator.Domain, n int) dialer.Network
}

// Cluster is a running deployment: an emulated platform, emulated searchers and
// daemons that run in this process.
type Cluster struct {
	*emulator.RunningSite
	Config  Config
	Daemons []*Node
}

// Node is a running daemon. RunErr receives the result of its Run.
type Node struct {
	*daemon.Daemon
	RunErr chan error
}

// New starts the platform, the searchers and the daemons of a site, applies its
// declarations and waits until every daemon is ready.
func New(ctx context.Context, config Config) (*Cluster, error) {
	site, err := emulator.StartSite(config.Site)
	if err != nil {
		return nil, err
	}
	c := &Cluster{RunningSite: site, Config: config}
	if config.BeforeDaemons != nil {
		config.BeforeDaemons(site)
	}
	if err := c.applyDocuments(ctx); err != nil {
		c.Close()
		return nil, err
	}
	for _, domain := range config.Site.Domains {
		for n := range domain.Daemons {
			if _, err := c.AddDaemon(domain, n); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	if err := c.AwaitReady(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// Store returns a publisher store that reads and writes the platform's documents.
func (c *Cluster) Store() publisher.Store {
	return publisher.NewStore(watcher.New(dialer.System(), c.PlatformURL))
}

func (c *Cluster) applyDocuments(ctx context.Context) error {
	if err := c.Apply(ctx, declarer.DocumentDeclarations, c.Config.Declarations); err != nil {
		return err
	}
	return c.Apply(ctx, declarer.DocumentIndexes, c.Indexes())
}

// Apply encodes value as JSON and publishes it as the next generation of a document.
func (c *Cluster) Apply(ctx context.Context, document string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	store := c.Store()
	base, err := store.Read(ctx, document)
	if err != nil {
		return err
	}
	_, err = store.Apply(ctx, document, base, content, 0)
	return err
}

// AddDaemon starts a daemon in a failure domain, with n in its name, and adds its
// VM to the platform's list.
func (c *Cluster) AddDaemon(domain emulator.Domain, n int) (*Node, error) {
	settings := loader.Default()
	settings.Name = fmt.Sprintf("%s-entry-%d", domain.Name, n)
	settings.FailureDomain = domain.Name
	settings.Region = domain.Region
	// Clusters of one test run reuse each other's ports. The platform's URL as the tier
	// name makes daemons ignore peers that belong to another cluster.
	settings.Tier = c.PlatformURL
	settings.CallerAddress = "127.0.0.1:0"
	settings.PeerAddress = "127.0.0.1:0"
	settings.OperatorAddress = "127.0.0.1:0"
	settings.Platform = c.PlatformURL
	settings.Policy = c.Config.Policy
	settings.Seeds = c.peerAddresses()
	if c.Config.ModifySettings != nil {
		c.Config.ModifySettings(&settings)
	}
	network := dialer.System()
	if c.Config.Network != nil {
		network = c.Config.Network(domain, n)
	}
	d, err := daemon.New(settings, network)
	if err != nil {
		return nil, err
	}
	if c.Config.OnListen != nil {
		c.Config.OnListen(domain, d.Settings().PeerAddress)
	}
	node := &Node{Daemon: d, RunErr: make(chan error, 1)}
	c.Daemons = append(c.Daemons, node)
	c.Platform.SetVM(declarer.VM{
		Name:          settings.Name,
		Address:       d.Settings().PeerAddress,
		FailureDomain: domain.Name,
		Region:        domain.Region,
		State:         declarer.VMLive,
		Labels:        map[string]string{declarer.RoleLabel: declarer.RoleEntry},
	})
	go func() { node.RunErr <- d.Run() }()
	return node, nil
}

func (c *Cluster) peerAddresses() []string {
	var addresses []string
	for _, d := range c.Daemons {
		addresses = append(addresses, d.Settings().PeerAddress)
	}
	return addresses
}

// AwaitReady waits until every daemon is ready, has the current VM list and has
// every other daemon in its member list.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, d := range c.Daemons {
		for !c.hasConverged(d) {
			select {
			case <-ctx.Done():
				return failer.New("await ready", KindNotReady, "%s: %v", d.Settings().Name, d.Status().NotReady)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func (c *Cluster) hasConverged(d *Node) bool {
	status := d.Status()
	listed := c.Platform.VMListVersion()
	return status.Ready && status.Documents[declarer.DocumentVMs].Generation >= listed && len(status.Members) >= len(c.Daemons)
}

// Client returns a client of the n-th daemon.
func (c *Cluster) Client(n int) *caller.Client {
	return caller.New("http://"+c.Daemons[n].Settings().CallerAddress, &http.Client{})
}

// Close stops all daemons, searchers and the platform at once, without draining.
func (c *Cluster) Close() {
	for _, d := range c.Daemons {
		d.Kill()
	}
	c.RunningSite.Close()
}

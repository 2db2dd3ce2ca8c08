// Package stager runs a whole site in one process: stand-in platform and
// searchers, and real daemons. The demo, the bench and the failure tests use it.
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

// Kind is the kind of an Error.
type Kind string

// KindNotReady means that daemons did not become ready in time.
const KindNotReady Kind = "notReady"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// readyPoll is how often readiness is looked at.
const readyPoll = 20 * time.Millisecond

// Config is what is put on stage.
type Config struct {
	Site         emulator.Site
	Declarations declarer.Declarations
	Policy       loader.Policy
	// ModifySettings changes the settings of one daemon; nil leaves them.
	ModifySettings func(*loader.Settings)
	// BeforeDaemons is called once the stand-ins run, before any daemon does; nil does nothing.
	BeforeDaemons func(*emulator.RunningSite)
	// OnListen is called with the address of each daemon before it runs; nil does nothing.
	OnListen func(domain emulator.Domain, peers string)
	// Network returns the network of the n-th daemon of a failure domain; nil means the system's.
	Network func(domain emulator.Domain, n int) dialer.Network
}

// Cluster is a running site.
type Cluster struct {
	*emulator.RunningSite
	Config  Config
	Daemons []*Node
}

// Node is one daemon and the end of its Run.
type Node struct {
	*daemon.Daemon
	RunErr chan error
}

// New starts a site, applies its declarations and waits until every daemon is ready.
func New(ctx context.Context, config Config) (*Cluster, error) {
	stand, err := emulator.StartSite(config.Site)
	if err != nil {
		return nil, err
	}
	s := &Cluster{RunningSite: stand, Config: config}
	if config.BeforeDaemons != nil {
		config.BeforeDaemons(stand)
	}
	if err := s.applyAll(ctx); err != nil {
		s.Close()
		return nil, err
	}
	for _, domain := range config.Site.Domains {
		for n := range domain.Daemons {
			if _, err := s.AddDaemon(domain, n); err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	if err := s.AwaitReady(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Store returns the publisher's view of the platform.
func (s *Cluster) Store() publisher.Store {
	return publisher.NewStore(watcher.New(dialer.System(), s.PlatformURL))
}

func (s *Cluster) applyAll(ctx context.Context) error {
	if err := s.Apply(ctx, declarer.DocumentDeclarations, s.Config.Declarations); err != nil {
		return err
	}
	return s.Apply(ctx, declarer.DocumentIndexes, s.Indexes())
}

// Apply makes a value the next generation of a document.
func (s *Cluster) Apply(ctx context.Context, document string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	store := s.Store()
	base, err := store.Read(ctx, document)
	if err != nil {
		return err
	}
	_, err = store.Apply(ctx, document, base, content, 0)
	return err
}

// AddDaemon starts one more daemon in a failure domain and lists its VM.
func (s *Cluster) AddDaemon(domain emulator.Domain, n int) (*Node, error) {
	settings := loader.Default()
	settings.Name = fmt.Sprintf("%s-entry-%d", domain.Name, n)
	settings.FailureDomain = domain.Name
	settings.Region = domain.Region
	// Stages of one test run reuse each other's ports.
	settings.Tier = s.PlatformURL
	settings.CallerAddress = "127.0.0.1:0"
	settings.PeerAddress = "127.0.0.1:0"
	settings.OperatorAddress = "127.0.0.1:0"
	settings.Platform = s.PlatformURL
	settings.Policy = s.Config.Policy
	settings.Seeds = s.peers()
	if s.Config.ModifySettings != nil {
		s.Config.ModifySettings(&settings)
	}
	network := dialer.System()
	if s.Config.Network != nil {
		network = s.Config.Network(domain, n)
	}
	d, err := daemon.New(settings, network)
	if err != nil {
		return nil, err
	}
	if s.Config.OnListen != nil {
		s.Config.OnListen(domain, d.Settings().PeerAddress)
	}
	node := &Node{Daemon: d, RunErr: make(chan error, 1)}
	s.Daemons = append(s.Daemons, node)
	s.Platform.SetVM(declarer.VM{
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

func (s *Cluster) peers() []string {
	var out []string
	for _, d := range s.Daemons {
		out = append(out, d.Settings().PeerAddress)
	}
	return out
}

// AwaitReady waits until every daemon is ready and knows every searcher and daemon.
func (s *Cluster) AwaitReady(ctx context.Context) error {
	for _, d := range s.Daemons {
		for !s.settled(d) {
			select {
			case <-ctx.Done():
				return failer.New("await ready", KindNotReady, "%s: %v", d.Settings().Name, d.Status().NotReady)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

func (s *Cluster) settled(d *Node) bool {
	status := d.Status()
	listed := s.Platform.VMListVersion()
	return status.Ready && status.Documents[declarer.DocumentVMs].Generation >= listed && len(status.Members) >= len(s.Daemons)
}

// Client returns a caller of the n-th daemon.
func (s *Cluster) Client(n int) *caller.Client {
	return caller.New("http://"+s.Daemons[n].Settings().CallerAddress, &http.Client{})
}

// Close ends everything at once.
func (s *Cluster) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	s.RunningSite.Close()
}

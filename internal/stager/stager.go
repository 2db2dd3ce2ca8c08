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

// Kind is the kind of an Error.
type Kind string

// KindNotReady means that a daemon did not become ready before the context ended.
const KindNotReady Kind = "notReady"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// readyPollInterval is the interval between readiness checks of a daemon.
const readyPollInterval = 20 * time.Millisecond

// Config describes a Stage.
type Config struct {
	Site         emulator.Site
	Declarations declarer.Declarations
	Policy       loader.Policy
	// Tune modifies the settings of a daemon before it is created; it may be nil.
	Tune func(*loader.Settings)
	// Staged is called when the platform and the searchers are running and no daemon
	// has been started; it may be nil.
	Staged func(*emulator.Stage)
	// Listening is called with the peer address of each daemon before it runs; it may
	// be nil.
	Listening func(domain emulator.Domain, peers string)
	// Network returns the network that the n-th daemon of a failure domain uses; nil
	// means the system's network for all daemons.
	Network func(domain emulator.Domain, n int) dialer.Network
}

// Stage is a running deployment: an emulated platform, emulated searchers and
// daemons that run in this process.
type Stage struct {
	*emulator.Stage
	Config  Config
	Daemons []*Node
}

// Node is a running daemon. Ended receives the result of its Run.
type Node struct {
	*daemon.Daemon
	Ended chan error
}

// New starts the platform, the searchers and the daemons of a site, applies its
// declarations and waits until every daemon is ready.
func New(ctx context.Context, config Config) (*Stage, error) {
	emulated, err := emulator.NewStage(config.Site)
	if err != nil {
		return nil, err
	}
	s := &Stage{Stage: emulated, Config: config}
	if config.Staged != nil {
		config.Staged(emulated)
	}
	if err := s.applyDocuments(ctx); err != nil {
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

// Store returns a publisher store that reads and writes the platform's documents.
func (s *Stage) Store() publisher.Store {
	return publisher.StoreOf(watcher.New(dialer.System(), s.PlatformURL))
}

func (s *Stage) applyDocuments(ctx context.Context) error {
	if err := s.Apply(ctx, declarer.DocumentDeclarations, s.Config.Declarations); err != nil {
		return err
	}
	return s.Apply(ctx, declarer.DocumentIndexes, s.Indexes())
}

// Apply encodes value as JSON and publishes it as the next generation of a document.
func (s *Stage) Apply(ctx context.Context, document string, value any) error {
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

// AddDaemon starts a daemon in a failure domain, with n in its name, and adds its
// VM to the platform's list.
func (s *Stage) AddDaemon(domain emulator.Domain, n int) (*Node, error) {
	settings := loader.Default()
	settings.Name = fmt.Sprintf("%s-entry-%d", domain.Name, n)
	settings.FailureDomain = domain.Name
	settings.Region = domain.Region
	// Stages of one test run reuse each other's ports. The platform's URL as the tier
	// name makes daemons ignore peers that belong to another stage.
	settings.Tier = s.PlatformURL
	settings.Callers = "127.0.0.1:0"
	settings.Peers = "127.0.0.1:0"
	settings.Operators = "127.0.0.1:0"
	settings.Platform = s.PlatformURL
	settings.Policy = s.Config.Policy
	settings.Seeds = s.peerAddresses()
	if s.Config.Tune != nil {
		s.Config.Tune(&settings)
	}
	network := dialer.System()
	if s.Config.Network != nil {
		network = s.Config.Network(domain, n)
	}
	d, err := daemon.New(settings, network)
	if err != nil {
		return nil, err
	}
	if s.Config.Listening != nil {
		s.Config.Listening(domain, d.Settings().Peers)
	}
	node := &Node{Daemon: d, Ended: make(chan error, 1)}
	s.Daemons = append(s.Daemons, node)
	s.Platform.SetVM(declarer.VM{
		Name:          settings.Name,
		Address:       d.Settings().Peers,
		FailureDomain: domain.Name,
		Region:        domain.Region,
		State:         declarer.VMLive,
		Labels:        map[string]string{declarer.RoleLabel: declarer.RoleEntry},
	})
	go func() { node.Ended <- d.Run() }()
	return node, nil
}

func (s *Stage) peerAddresses() []string {
	var addresses []string
	for _, d := range s.Daemons {
		addresses = append(addresses, d.Settings().Peers)
	}
	return addresses
}

// AwaitReady waits until every daemon is ready, has the current VM list and knows
// every other daemon.
func (s *Stage) AwaitReady(ctx context.Context) error {
	for _, d := range s.Daemons {
		for !s.hasConverged(d) {
			select {
			case <-ctx.Done():
				return failer.New("await ready", KindNotReady, "%s: %v", d.Settings().Name, d.Status().NotReady)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

func (s *Stage) hasConverged(d *Node) bool {
	status := d.Status()
	listed := s.Platform.Listed()
	return status.Ready && status.Documents[declarer.DocumentVMs].Generation >= listed && len(status.Members) >= len(s.Daemons)
}

// Client returns a client of the n-th daemon.
func (s *Stage) Client(n int) *caller.Client {
	return caller.New("http://"+s.Daemons[n].Settings().Callers, &http.Client{})
}

// Close stops all daemons, searchers and the platform at once, without draining.
func (s *Stage) Close() {
	for _, d := range s.Daemons {
		d.Kill()
	}
	s.Stage.Close()
}

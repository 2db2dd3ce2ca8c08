// Package soaker runs real daemons as separate processes against stand-ins of
// the users' platform, harms them from outside and checks what callers and
// searchers see. A seed decides everything that it does.
package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/interposer"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
)

// Config is what a soak is started with.
type Config struct {
	// Program is the daemon's program.
	Program string
	// Directory takes settings and logs.
	Directory string
	Seed      uint64
	// Rounds is how often trouble is followed by calm.
	Rounds int
	// DaemonsPerDomain is how many daemons each of three failure domains has.
	DaemonsPerDomain int
	// Log tells what is done to whom; nil tells nobody.
	Log io.Writer
}

const (
	// troubleTime is how long troubles are begun in a round.
	troubleTime = 5 * time.Second
	// settleTime is what the tier may take after the last trouble's end.
	settleTime = 8 * time.Second
	// bound is the time within which a change must be known everywhere.
	bound = 3 * time.Second
	// startTime bounds the first start.
	startTime = 15 * time.Second
	// callersPerDaemon and pace are the load.
	callersPerDaemon = 2
	pace             = 15 * time.Millisecond
)

// Report is what a soak saw.
type Report struct {
	Asked, Answered, Refused, Failed int
	// Violations holds every promise that was not kept.
	Violations []string
}

// process is one daemon.
type process struct {
	*stager.TierDaemon
	number  int
	command *exec.Cmd
	ended   chan struct{}
	// claimed is set while a trouble ends or stops the process.
	claimed atomic.Bool
}

// Soak is a run.
type Soak struct {
	config  Config
	rng     *rand.Rand
	tier    *stager.Tier
	store   *interposer.Proxy
	proxies []*interposer.Proxy
	began   time.Time

	mu        sync.Mutex
	processes []*process
	report    Report
	// once holds the ids of requests that must not run twice, with their status.
	once map[string]int
}

// Run plays a seed and returns what it saw.
func Run(ctx context.Context, config Config) (Report, error) {
	s := &Soak{config: config, rng: rand.New(rand.NewPCG(config.Seed, 1)), once: map[string]int{}, began: time.Now()}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	loading, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range len(s.processes) * callersPerDaemon {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.call(loading, n)
		}()
	}
	for round := range config.Rounds {
		s.tell("round %d: trouble", round)
		s.trouble(ctx)
		s.tell("round %d: calm", round)
		s.calm(ctx)
	}
	stop()
	callers.Wait()
	s.checkOnce()
	return s.report, nil
}

func (s *Soak) start(ctx context.Context) error {
	domains := []string{"a", "b", "c"}
	tier, err := stager.NewTier(ctx, stager.TierConfig{
		Domains: domains, DaemonsPerDomain: s.config.DaemonsPerDomain, Shards: 4, SingleSearchersPerDomain: 3, ServiceTime: 4 * time.Millisecond,
		SettingsDirectory: s.config.Directory, ExternalDaemons: true, RegisteredAddress: s.interpose,
	})
	if err != nil {
		return err
	}
	s.tier = tier
	if s.store, err = interposer.New(tier.StoreAddress()); err != nil {
		return err
	}
	tier.SetStoreAddress(s.store.Address())
	for n := range len(domains) * s.config.DaemonsPerDomain {
		p := &process{number: n}
		s.processes = append(s.processes, p)
		if err := s.launch(p, true); err != nil {
			return err
		}
	}
	ready, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	return s.awaitReady(ready)
}

// interpose puts a proxy before a searcher.
func (s *Soak) interpose(address string) (string, error) {
	p, err := interposer.New(address)
	if err != nil {
		return "", err
	}
	s.proxies = append(s.proxies, p)
	return p.Address(), nil
}

// launch starts a daemon's process.
func (s *Soak) launch(p *process, first bool) error {
	daemon, err := s.tier.WriteSettings(p.number, first)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.config.Directory, daemon.Settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(s.config.Program, "front", "-settings", daemon.SettingsFile, "-metrics", "0")
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	s.mu.Lock()
	p.TierDaemon, p.command, p.ended = daemon, command, ended
	s.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (s *Soak) signal(p *process, sig syscall.Signal) {
	s.mu.Lock()
	command := p.command
	s.mu.Unlock()
	// A process that has ended by itself shows in its missing readiness.
	_ = command.Process.Signal(sig)
}

// relaunch starts a process again once it has ended.
func (s *Soak) relaunch(p *process, pause time.Duration) {
	<-p.ended
	time.Sleep(pause)
	if err := s.launch(p, false); err != nil {
		s.broken("process %d was not started again: %v", p.number, err)
	}
}

func (s *Soak) awaitReady(ctx context.Context) error {
	for _, p := range s.processes {
		for !s.tier.ProbeReadiness(ctx, p.TierDaemon) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("process %d is not ready", p.number)
			case <-time.After(pace):
			}
		}
	}
	return nil
}

func (s *Soak) tell(format string, args ...any) {
	if s.config.Log != nil {
		_, _ = fmt.Fprintf(s.config.Log, "%7.2f ", time.Since(s.began).Seconds())
		_, _ = fmt.Fprintf(s.config.Log, format+"\n", args...)
	}
}

func (s *Soak) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.tell("BROKEN: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, text)
}

// close ends everything that the soak started.
func (s *Soak) close() {
	for _, p := range s.processes {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.ended
	}
	for _, p := range s.proxies {
		p.Close()
	}
	if s.store != nil {
		s.store.Close()
	}
	if s.tier != nil {
		s.tier.Close()
	}
}

// calm ends all harm and requires that the tier serves, takes changes and stops
// without loss.
func (s *Soak) calm(ctx context.Context) {
	s.store.InjectFaults(interposer.Faults{})
	s.tier.Store.SetFaults(emulator.StoreFaults{})
	for _, p := range s.proxies {
		p.InjectFaults(interposer.Faults{})
	}
	for _, b := range s.tier.Backends {
		b.SetFaults(emulator.BackendFaults{})
	}
	ready, cancel := context.WithTimeout(ctx, settleTime)
	err := s.awaitReady(ready)
	cancel()
	if err != nil {
		s.broken("after all trouble had ended: %v", err)
		return
	}
	time.Sleep(settleTime / 2)
	s.mu.Lock()
	before := s.report
	s.mu.Unlock()
	s.checkChange(ctx)
	s.checkDrain()
	s.mu.Lock()
	asked, answered := s.report.Asked-before.Asked, s.report.Answered-before.Answered
	s.mu.Unlock()
	if answered*100 < asked*99 {
		s.broken("in calm %d of %d requests were answered", answered, asked)
	}
}

// checkChange moves a route and requires the change in force everywhere.
func (s *Soak) checkChange(ctx context.Context) {
	next := s.tier.StoredConfiguration
	next.Version += 2
	next.Routes = append([]planner.Route{}, next.Routes...)
	service := stager.ShardServiceName(int(next.Version) / 2 % 4)
	for i, r := range next.Routes {
		if r.Name == "single" {
			next.Routes[i].Backends = []planner.Backend{{Service: service, Weight: 1}}
		}
	}
	s.tier.Apply(next)
	applied := time.Now()
	time.Sleep(bound)
	for _, p := range s.processes {
		id := s.nextID()
		reply, err := s.tier.Send(ctx, p.TierDaemon, "GET", stager.SinglePath+"x", id, 2*time.Second, nil)
		if err != nil || reply.Status != 200 {
			s.broken("process %d does not serve %v after a change: %d %v", p.number, time.Since(applied), reply.Status, err)
			continue
		}
		if b := s.tier.ExecutedBy(id); b == nil || b.Server.Service != service {
			s.broken("process %d has not put version %d in force after %v", p.number, next.Version, time.Since(applied))
		}
	}
}

// checkDrain drains a searcher for a while and looks for requests after the bound.
func (s *Soak) checkDrain() {
	b := s.tier.Backends[s.rng.IntN(len(s.tier.Backends))]
	server := b.Server
	server.Draining = true
	s.tier.Register(server)
	acknowledged := time.Now()
	time.Sleep(bound + time.Second)
	if last := b.Stats().LastArrival; last.After(acknowledged.Add(bound)) {
		s.broken("searcher %s got a request %v after it drained", server.Instance, last.Sub(acknowledged))
	}
	s.tier.Register(b.Server)
}

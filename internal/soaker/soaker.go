// Package soaker runs daemons as separate processes against an emulated platform,
// injects faults from outside and checks the replies that callers get and the
// requests that searchers receive. A seed determines the sequence of faults.
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

// Config configures a soak test.
type Config struct {
	// Program is the path of the daemon's executable.
	Program string
	// Directory is where settings and logs are written.
	Directory string
	Seed      uint64
	// Rounds is the number of rounds; each injects faults and then verifies recovery.
	Rounds int
	// DaemonsPerDomain is the number of daemons in each of three failure domains.
	DaemonsPerDomain int
	// Log is where injected faults and violations are logged; nil discards them.
	Log io.Writer
}

const (
	// faultPhase is the time in each round during which new faults are started.
	faultPhase = 5 * time.Second
	// recoveryTimeout limits how long daemons may take to become ready after the last
	// fault has ended.
	recoveryTimeout = 8 * time.Second
	// propagationBound is the time within which a change must be applied by every daemon.
	propagationBound = 3 * time.Second
	// startTimeout limits how long the initial start may take.
	startTimeout = 15 * time.Second
	// callersPerDaemon and requestInterval determine the load; requestInterval is also
	// the interval between readiness checks.
	callersPerDaemon = 2
	requestInterval  = 15 * time.Millisecond
)

// Report is the result of a soak test.
type Report struct {
	// Requests is the number of requests sent; the others divide it by outcome.
	Requests, Answered, Refused, Failed int
	// Kept is the number of requests on connections that were to be kept until then, and
	// KeptLost that of those without a whole answer.
	Kept, KeptLost int
	// NewLost is the number of requests that were the first of their connections and got no
	// answer, from processes that were neither killed nor suspended. They have not been read.
	NewLost int
	// Violations describes every violated invariant.
	Violations []string
}

// process is a daemon that runs as a separate process.
type process struct {
	*stager.TierDaemon
	index   int
	command *exec.Cmd
	exited  chan struct{}
	faults  *faultRecord
	// claimed is set while a fault kills, terminates or suspends the process.
	claimed atomic.Bool
}

// Soak is a soak test in progress.
type Soak struct {
	config Config
	rng    *rand.Rand
	// changeRng determines changes of the configuration and the stops beside them, so that
	// the other faults of a seed stay the same.
	changeRng *rand.Rand
	// quotaRng determines the processor quotas and what happens meanwhile.
	quotaRng        *rand.Rand
	tier            *stager.Tier
	storeProxy      *interposer.Proxy
	searcherProxies []*interposer.Proxy
	startTime       time.Time
	// restoring is set while the store is restored and written again.
	restoring atomic.Bool

	// configurationMu orders changes of the configuration.
	configurationMu sync.Mutex
	// replacedLimits holds the idle limits of all earlier configurations.
	replacedLimits []replacedLimit

	mu        sync.Mutex
	processes []*process
	report    Report
	// onceStatus maps the ID of each non-idempotent request to its response status.
	onceStatus map[string]int
}

// replacedLimit is an idle limit and the time at which another configuration replaced it.
type replacedLimit struct {
	idleTimeout time.Duration
	at          time.Time
}

// The streams of random numbers of a seed. Those of the connection callers follow
// firstCallerStream.
const (
	faultStream       = 1
	changeStream      = 2
	firstCallerStream = 3
	quotaStream       = 1 << 32
)

// Run runs a soak test with the given seed and returns its report.
func Run(ctx context.Context, config Config) (Report, error) {
	s := &Soak{
		config: config, rng: rand.New(rand.NewPCG(config.Seed, faultStream)), changeRng: rand.New(rand.NewPCG(config.Seed, changeStream)),
		quotaRng:   rand.New(rand.NewPCG(config.Seed, quotaStream)),
		onceStatus: map[string]int{}, startTime: time.Now(),
	}
	defer s.close()
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	loadCtx, stop := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for n := range len(s.processes) * callersPerDaemon {
		callers.Add(1)
		go func() {
			defer callers.Done()
			s.generateLoad(loadCtx, n)
		}()
	}
	for n := range len(s.processes) * connectionCallersPerDaemon {
		callers.Go(func() { s.newConnectionCaller(n).run(loadCtx) })
	}
	for round := range config.Rounds {
		s.logf("round %d: injecting faults", round)
		s.injectFaults(ctx)
		s.logf("round %d: limiting processor time", round)
		s.limitProcessorTime(ctx)
		s.logf("round %d: faults ended, verifying recovery", round)
		s.verifyRecovery(ctx)
	}
	stop()
	callers.Wait()
	s.checkOnce()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, nil
}

func (s *Soak) start(ctx context.Context) error {
	domains := []string{"a", "b", "c"}
	tier, err := stager.NewTier(ctx, stager.TierConfig{
		Domains: domains, DaemonsPerDomain: s.config.DaemonsPerDomain, Shards: 4, SingleSearchersPerDomain: 3, ServiceTime: 4 * time.Millisecond,
		SettingsDirectory: s.config.Directory, ExternalDaemons: true, RegisteredAddress: s.addProxy,
	})
	if err != nil {
		return err
	}
	s.tier = tier
	if s.storeProxy, err = interposer.New(tier.StoreAddress()); err != nil {
		return err
	}
	tier.SetStoreAddress(s.storeProxy.Address())
	for n := range len(domains) * s.config.DaemonsPerDomain {
		p := &process{index: n}
		s.processes = append(s.processes, p)
		if err := s.startProcess(p, true); err != nil {
			return err
		}
	}
	readyCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return s.awaitReady(readyCtx)
}

// addProxy starts a proxy for the address of a searcher and returns the proxy's address.
func (s *Soak) addProxy(address string) (string, error) {
	p, err := interposer.New(address)
	if err != nil {
		return "", err
	}
	s.searcherProxies = append(s.searcherProxies, p)
	return p.Address(), nil
}

// startProcess writes the settings of a daemon and starts its process.
func (s *Soak) startProcess(p *process, bootstrap bool) error {
	daemon, err := s.tier.WriteSettings(p.index, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(s.config.Directory, daemon.Settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(s.config.Program, "front", "-settings", daemon.SettingsFile, "-metrics", "0")
	faults := &faultRecord{}
	output := &outputWatcher{soak: s, index: p.index, log: log, faults: faults}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		_ = log.Close()
		return err
	}
	exited := make(chan struct{})
	s.mu.Lock()
	p.TierDaemon, p.command, p.exited, p.faults = daemon, command, exited, faults
	s.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (s *Soak) signal(p *process, sig syscall.Signal) {
	s.mu.Lock()
	command := p.command
	s.mu.Unlock()
	// If the process has exited by itself, the error is ignored here; awaitReady reports it.
	_ = command.Process.Signal(sig)
}

func (s *Soak) faultsOf(p *process) *faultRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	return p.faults
}

// restartProcess waits for a process to exit and starts it again after a pause.
func (s *Soak) restartProcess(p *process, pause time.Duration) {
	<-p.exited
	time.Sleep(pause)
	if err := s.startProcess(p, false); err != nil {
		s.reportViolation("process %d: restart failed: %v", p.index, err)
	}
}

func (s *Soak) awaitReady(ctx context.Context) error {
	for _, p := range s.processes {
		for !s.tier.ProbeReadiness(ctx, p.TierDaemon) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("process %d did not become ready in time", p.index)
			case <-time.After(requestInterval):
			}
		}
	}
	return nil
}

func (s *Soak) logf(format string, args ...any) {
	if s.config.Log != nil {
		_, _ = fmt.Fprintf(s.config.Log, "%7.2f ", time.Since(s.startTime).Seconds())
		_, _ = fmt.Fprintf(s.config.Log, format+"\n", args...)
	}
}

func (s *Soak) reportViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.logf("violation: %s", text)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, text)
}

// close stops all processes, proxies and the emulated platform.
func (s *Soak) close() {
	for _, p := range s.processes {
		if p.command == nil {
			continue
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		<-p.exited
	}
	for _, p := range s.searcherProxies {
		p.Close()
	}
	if s.storeProxy != nil {
		s.storeProxy.Close()
	}
	if s.tier != nil {
		s.tier.Close()
	}
}

// verifyRecovery clears all faults and requires that every daemon becomes ready, that
// configuration changes and drains take effect within propagationBound and that at least
// 99% of the requests are answered.
func (s *Soak) verifyRecovery(ctx context.Context) {
	s.storeProxy.InjectFaults(interposer.Faults{})
	s.tier.Store.SetFaults(emulator.StoreFaults{})
	for _, p := range s.searcherProxies {
		p.InjectFaults(interposer.Faults{})
	}
	for _, b := range s.tier.Backends {
		b.SetFaults(emulator.BackendFaults{})
	}
	readyCtx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	err := s.awaitReady(readyCtx)
	cancel()
	if err != nil {
		s.reportViolation("after all faults ended: %v", err)
		return
	}
	time.Sleep(recoveryTimeout / 2)
	s.mu.Lock()
	before := s.report
	s.mu.Unlock()
	s.checkChange(ctx)
	s.checkDrain()
	s.checkRateLimit()
	s.mu.Lock()
	requests, answered := s.report.Requests-before.Requests, s.report.Answered-before.Answered
	s.mu.Unlock()
	if answered*100 < requests*99 {
		s.reportViolation("without faults, only %d of %d requests were answered", answered, requests)
	}
}

// applyNext applies the next version of the configuration, which has another idle limit and
// points a route at a service unless that is empty.
func (s *Soak) applyNext(service string, idleTimeout time.Duration) planner.Configuration {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	next := s.tier.StoredConfiguration
	s.replacedLimits = append(s.replacedLimits, replacedLimit{next.Limits.IdleTimeout, time.Now()})
	next.Version += 2
	next.Limits.IdleTimeout = idleTimeout
	s.logf("configuration: version %d with an idle limit of %v", next.Version, idleTimeout)
	next.Routes = append([]planner.Route{}, next.Routes...)
	for i, r := range next.Routes {
		if r.Name == "single" && service != "" {
			next.Routes[i].Backends = []planner.Backend{{Service: service, Weight: 1}}
		}
	}
	s.tier.Apply(next)
	return next
}

// applyAgain stores the current configuration again.
func (s *Soak) applyAgain() {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	s.tier.Apply(s.tier.StoredConfiguration)
}

// smallestIdleLimit returns the smallest idle limit that a process may have in force.
func (s *Soak) smallestIdleLimit() time.Duration {
	s.configurationMu.Lock()
	defer s.configurationMu.Unlock()
	smallest := s.tier.StoredConfiguration.Limits.IdleTimeout
	for _, replaced := range s.replacedLimits {
		if time.Since(replaced.at) < configurationAge {
			smallest = min(smallest, replaced.idleTimeout)
		}
	}
	return smallest
}

// checkChange points a route at another service and requires that every daemon applies
// the change within propagationBound.
func (s *Soak) checkChange(ctx context.Context) {
	service := stager.ShardServiceName(s.rng.IntN(s.tier.Config.Shards))
	next := s.applyNext(service, randomIdleTimeout(s.changeRng))
	applied := time.Now()
	time.Sleep(propagationBound)
	for _, p := range s.processes {
		id := s.nextRequestID()
		reply, err := s.tier.Send(ctx, p.TierDaemon, "GET", stager.SinglePath+"x", id, 2*time.Second, nil)
		if err != nil || reply.Status != 200 {
			s.reportViolation("process %d: request failed %v after a configuration change: status %d, error %v", p.index, time.Since(applied), reply.Status, err)
			continue
		}
		if b := s.tier.ExecutedBy(id); b == nil || b.Server.Service != service {
			s.reportViolation("process %d: configuration version %d is not in force after %v", p.index, next.Version, time.Since(applied))
		}
	}
}

// checkDrain drains a searcher and requires that it gets no requests later than
// propagationBound after the drain.
func (s *Soak) checkDrain() {
	b := s.tier.Backends[s.rng.IntN(len(s.tier.Backends))]
	server := b.Server
	server.Draining = true
	s.tier.Register(server)
	acknowledged := time.Now()
	time.Sleep(propagationBound + time.Second)
	if last := b.Stats().LastArrival; last.After(acknowledged.Add(propagationBound)) {
		s.reportViolation("searcher %s received a request %v after its drain was acknowledged", server.Instance, last.Sub(acknowledged))
	}
	s.tier.Register(b.Server)
}

// The users' rule on rate limits: from limitSettle after a searcher first named a limit it
// gets in any limitWindow at most limitTolerance times what that allows, and limitSlack
// requests more, from the daemons that knew of it limitDelay before.
const (
	limitSettle    = 5 * time.Second
	limitWindow    = 4 * time.Second
	limitDelay     = 500 * time.Millisecond
	limitTolerance = 1.5
	limitSlack     = 5
)

// checkRateLimit makes a searcher name a rate limit and requires that all processes
// together keep to it.
func (s *Soak) checkRateLimit() {
	b, perSecond := s.tier.Backends[s.rng.IntN(len(s.tier.Backends))], s.randomRateLimit()
	b.SetRateLimit(perSecond)
	time.Sleep(limitSettle + limitWindow)
	allowed := limitTolerance*perSecond*limitWindow.Seconds() + limitSlack
	if peak := b.PeakLimited(limitSettle, limitWindow, limitDelay); float64(peak) > allowed {
		s.reportViolation("searcher %s with a limit of %g a second received %d requests in %v; allowed %g", b.Server.Instance, perSecond, peak, limitWindow, allowed)
	}
	b.SetRateLimit(0)
}

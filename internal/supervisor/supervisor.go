// Package supervisor starts the components of a daemon on the platform and stops
// them together: the follower of the metadata store, the HTTP servers for
// callers, readiness probes and metrics, and the watcher of the settings file.
package supervisor

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	vm "github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"
	"k8s.io/klog/v2"

	"github.com/fuchsiastile/fuchsiastile/internal/acceptor"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/limiter"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/reporter"
	"github.com/fuchsiastile/fuchsiastile/internal/responder"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// Kind classifies an Error.
type Kind string

// KindListen means that a listening socket could not be opened.
const KindListen Kind = "listenFailed"

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// settingsInterval is how often the settings file's modification time is
	// checked, so that changes are detected without a signal too.
	settingsInterval = 2 * time.Second
	// softMemoryLimitRatio is the fraction of the process's memory limit that is set
	// as the Go runtime's soft limit, near which it collects garbage more often.
	softMemoryLimitRatio = 0.6
	// gcPercent is below Go's default of 100 to keep the heap small, because peak
	// memory use is counted as a cost.
	gcPercent = 60
)

// Config configures a Supervisor.
type Config struct {
	// SettingsFile is the path of the settings file that the platform writes.
	SettingsFile string
	// MetricsPort is the port on the VM's address that serves metrics; 0 disables it.
	MetricsPort int
	// DisabledPolicies lists the policies to disable, for benchmark comparisons.
	DisabledPolicies []responder.Policy
	Network          dialer.Network
}

// Supervisor runs one daemon.
type Supervisor struct {
	config    Config
	settings  atomic.Pointer[platform.Settings]
	metrics   *vm.Set
	scheduler *scheduler.Scheduler
	follower  *follower.Follower
	responder *responder.Responder
	// Stop sets stop, which is nil until then, and closes stopRequested.
	stop          atomic.Pointer[responder.Stop]
	stopRequested chan struct{}
	stopOnce      sync.Once
	// expired is closed when the requests in progress must end because of the stop.
	expired chan struct{}
	// Kill closes killed, so that Run returns without a graceful stop.
	killed   chan struct{}
	killOnce sync.Once
	// reloadRequested holds at most one pending request to read the settings again.
	reloadRequested chan struct{}

	callerServer, readinessServer, metricsServer boundServer
}

// boundServer is an HTTP server with its open listener; it is the zero value if the
// address to listen on is empty.
type boundServer struct {
	*http.Server
	conns *acceptor.Acceptor
}

// New reads the settings, creates the components and opens the listening sockets.
// Run starts serving on them.
func New(config Config) (*Supervisor, error) {
	settings, err := platform.ReadSettings(config.SettingsFile)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(settings.MemoryBytes)))
	s := &Supervisor{config: config, metrics: vm.NewSet(), scheduler: scheduler.New(), stopRequested: make(chan struct{}), expired: make(chan struct{}), killed: make(chan struct{}), reloadRequested: make(chan struct{}, 1)}
	s.settings.Store(&settings)
	storeCalls := s.metrics.NewCounter("platformCallsTotal")
	s.follower, err = follower.New(follower.Config{
		Settings:     settings,
		Network:      config.Network,
		Scheduler:    s.scheduler,
		OnStoreCall:  storeCalls.Inc,
		OnChange:     func(state *follower.State) { s.responder.ConfigureShares(s.settings.Load().Bounds, state) },
		OnDisplaced:  func(now time.Time, key string) { s.responder.MarkDisplaced(now, key, false) },
		OnReport:     func(sender string, report []reporter.Observation) { s.responder.CollectReport(sender, report) },
		OnSummary:    func(now time.Time, summary reporter.Summary) { s.responder.ApplySummary(now, summary) },
		RateLimits:   func(now time.Time) []limiter.Observation { return s.responder.RateLimits(now) },
		OnRateLimits: func(now time.Time, news []limiter.Observation) { s.responder.MergeRateLimits(now, news) },
		OnPacket: func(direction string, bytes int) {
			s.metrics.GetOrCreateCounter(fmt.Sprintf(`memberPacketsTotal{direction=%q}`, direction)).Inc()
			s.metrics.GetOrCreateCounter(fmt.Sprintf(`memberBytesTotal{direction=%q}`, direction)).Add(bytes)
		},
		Rand: newRand(),
	})
	if err != nil {
		return nil, err
	}
	s.responder = responder.New(responder.Config{
		Settings:  settings,
		Network:   config.Network,
		Scheduler: s.scheduler,
		State:     s.follower.State,
		Ready:     s.follower.Ready(),
		Stop:      s.stop.Load,
		Announce:  func(ctx context.Context, h http.Header) { acceptor.Announce(ctx, h, s.announcement()) },
		Expired:   s.expired,

		OnDisplaced:      s.follower.AnnounceDisplaced,
		SendReport:       s.follower.SendReport,
		SendSummary:      s.follower.SendSummary,
		DisabledPolicies: config.DisabledPolicies,
		Metrics:          responder.NewMetrics(s.metrics),
		Rand:             newRand(),
	})
	s.scheduler.Every(connectionSweepInterval, s.sweepConnections)
	if err := s.listen(settings); err != nil {
		return nil, err
	}
	s.callerServer.conns.Register(s.metrics)
	return s, nil
}

// listen opens the listening sockets for callers, readiness probes and metrics.
func (s *Supervisor) listen(settings platform.Settings) error {
	metricsAddress := ""
	if s.config.MetricsPort > 0 {
		metricsAddress = net.JoinHostPort(settings.IP, fmt.Sprint(s.config.MetricsPort))
	}
	recordCut := func(cut acceptor.Cut) { cut.Record(s.metrics, s.stop.Load() != nil) }
	// Probes that the end of the process cuts are of no consequence.
	ignoreCut := func(acceptor.Cut) {}
	for _, endpoint := range []struct {
		server  *boundServer
		address string
		handler http.Handler
		onCut   func(acceptor.Cut)
	}{
		{&s.callerServer, settings.CallerAddress, s.responder, recordCut},
		{&s.readinessServer, settings.ReadinessAddress, http.HandlerFunc(s.handleReadiness), ignoreCut},
		{&s.metricsServer, metricsAddress, http.HandlerFunc(s.handleMetrics), ignoreCut},
	} {
		if endpoint.address == "" {
			continue
		}
		l, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			s.closeListeners()
			return failer.Wrap("listen on "+endpoint.address, KindListen, err)
		}
		conns := acceptor.New(l, endpoint.onCut)
		httpServer := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: maxServerTimeout, IdleTimeout: maxServerTimeout}
		conns.Attach(httpServer)
		*endpoint.server = boundServer{Server: httpServer, conns: conns}
	}
	return nil
}

// sweepConnections ends callers' connections that exceed the limits of the current
// configuration.
func (s *Supervisor) sweepConnections(now time.Time) {
	limits, expired := s.connectionLimits(), 0
	for _, server := range s.servers() {
		expired += server.conns.Sweep(now, limits)
	}
	if expired > 0 {
		s.metrics.GetOrCreateCounter("expiredConnectionsTotal").Add(expired)
		klog.InfoS("connections exceeded a limit", "connections", expired, "idleTimeoutMillis", limits.Idle.Milliseconds(), "headerTimeoutMillis", limits.Head.Milliseconds())
	}
}

// connectionLimits returns the limits of the current configuration.
func (s *Supervisor) connectionLimits() acceptor.Limits {
	state := s.follower.State()
	if !state.Ready() {
		return newConnectionLimits(planner.Limits{})
	}
	return newConnectionLimits(state.Table.Configuration().Limits)
}

// servers returns the servers that have an address to listen on.
func (s *Supervisor) servers() []boundServer {
	var bound []boundServer
	for _, server := range []boundServer{s.callerServer, s.readinessServer, s.metricsServer} {
		if server.conns != nil {
			bound = append(bound, server)
		}
	}
	return bound
}

// closeListeners closes the listeners and the follower after listen has failed, so
// that Run is not called.
func (s *Supervisor) closeListeners() {
	for _, server := range s.servers() {
		_ = server.conns.Close()
	}
	s.follower.Close()
}

func newRand() *mathrand.Rand {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}

// IsReady reports whether the load balancer may route callers to this daemon.
func (s *Supervisor) IsReady() bool { return s.stop.Load() == nil && s.follower.State().Ready() }

func (s *Supervisor) handleReadiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.ReadyPath && s.IsReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Supervisor) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
}

// Stop begins a graceful stop; Run returns when it is complete.
func (s *Supervisor) Stop() {
	s.stopOnce.Do(func() {
		stop := newStop(time.Now(), s.settings.Load().Bounds.StopGracePeriod)
		s.stop.Store(&stop)
		close(s.stopRequested)
	})
}

// announcement returns for how long callers may reuse their connections.
func (s *Supervisor) announcement() acceptor.Announcement {
	notice := noticePeriod(s.settings.Load().Bounds.StopGracePeriod)
	return acceptor.Announcement{Idle: s.connectionLimits().Idle, Notice: notice, Closing: s.stop.Load() != nil}
}

// Kill makes Run return without a graceful stop, as after a crash.
func (s *Supervisor) Kill() {
	s.killOnce.Do(func() { close(s.killed) })
}

// Reload requests that the settings file be read again, changed or not. It does
// not block.
func (s *Supervisor) Reload() {
	select {
	case s.reloadRequested <- struct{}{}:
	default:
	}
}

// Run serves until Kill is called, a component fails, or Stop is called and the
// requests in flight have ended or the stop grace period is over.
func (s *Supervisor) Run() error {
	settings := *s.settings.Load()
	klog.InfoS("daemon started", "name", settings.Name, "ip", settings.IP, "failureDomain", settings.FailureDomain,
		"callers", settings.CallerAddress, "seeds", len(settings.Seeds), "store", settings.StoreAddress)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group run.Group
	group.Add(s.scheduler.Run, func(error) { s.scheduler.Close() })
	group.Add(func() error { return s.follower.Run(ctx) }, func(error) { cancel() })
	group.Add(func() error { return s.awaitStop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return s.watchSettings(ctx) }, func(error) { cancel() })
	for _, server := range s.servers() {
		group.Add(func() error { return server.serve(ctx) }, func(error) { _ = server.Close() })
	}
	err := group.Run()
	s.responder.Close()
	s.callerServer.conns.Counts().Record(settings.Name)
	klog.InfoS("daemon stopped", "name", settings.Name)
	return err
}

// serve runs the server. After a Drain it returns only once ctx is done: the
// run group ends with its first member, which must be the completed stop.
func (b boundServer) serve(ctx context.Context) error {
	err := b.Serve(b.conns)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// awaitStop waits for Stop or Kill. After Stop it stops the daemon gracefully: the
// daemon, which already reports not ready, keeps serving until the load balancer has
// removed it, then accepts no more connections and drains the open ones. At the end of the
// grace period the requests in flight end with whatever answer they have.
func (s *Supervisor) awaitStop(ctx context.Context) error {
	select {
	case <-s.stopRequested:
	case <-s.killed:
		return nil
	case <-ctx.Done():
		return nil
	}
	stop, stopStart := s.stop.Load(), time.Now()
	klog.InfoS("daemon is stopping", "answerWithinMillis", time.Until(stop.AnswerBy).Milliseconds())
	s.scheduler.At(stop.AnswerBy, func(time.Time) { close(s.expired) })
	s.follower.Leave()
	scheduler.Sleep(ctx, time.Until(stop.AcceptUntil))
	shutdownCtx, cancel := context.WithDeadline(ctx, stop.ExitBy)
	defer cancel()
	if err := s.callerServer.conns.Drain(shutdownCtx, s.connectionLimits().Head, stop.AnswerBy); err != nil {
		klog.InfoS("requests still in flight when the stop grace period ended", "cause", err.Error(), "afterMillis", time.Since(stopStart).Milliseconds())
		return nil
	}
	klog.InfoS("daemon is idle", "afterMillis", time.Since(stopStart).Milliseconds())
	return nil
}

// watchSettings applies the settings file when Reload is called or the file's
// modification time changes.
func (s *Supervisor) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	lastModified := modTime(s.config.SettingsFile)
	for {
		reloadForced := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.reloadRequested:
			reloadForced = true
		case <-ticker.C:
		}
		if modifiedAt := modTime(s.config.SettingsFile); reloadForced || !modifiedAt.Equal(lastModified) {
			lastModified = modifiedAt
			s.applySettingsFile()
		}
	}
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// applySettingsFile reads the settings file and applies it. An unusable file
// changes nothing. Listen addresses take effect only when the process restarts.
func (s *Supervisor) applySettingsFile() {
	next, err := platform.ReadSettings(s.config.SettingsFile)
	if err != nil {
		klog.InfoS("settings not taken, the old ones hold", "cause", err.Error())
		return
	}
	debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(next.MemoryBytes)))
	s.settings.Store(&next)
	s.follower.SetSeeds(next.Seeds)
	s.responder.ConfigureShares(next.Bounds, s.follower.State())
	klog.InfoS("settings reloaded", "seeds", len(next.Seeds), "store", next.StoreAddress)
}

// LiveDaemons returns the peer addresses of the daemons that this one knows to be alive,
// itself included, sorted.
func (s *Supervisor) LiveDaemons() []string { return s.follower.LiveDaemons() }

// CurrentSettings returns the settings that were applied last.
func (s *Supervisor) CurrentSettings() platform.Settings { return *s.settings.Load() }

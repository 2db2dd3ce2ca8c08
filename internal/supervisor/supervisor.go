// Package supervisor runs the parts of a daemon on the platform and stops them
// together: the follower of the store, the servers for callers, for the
// balancer's question and for metrics, and the watch over the settings file.
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

	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/follower"
	"github.com/fuchsiastile/fuchsiastile/internal/planner"
	"github.com/fuchsiastile/fuchsiastile/internal/responder"
	"github.com/fuchsiastile/fuchsiastile/internal/scheduler"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// Kind is the kind of an Error.
type Kind string

// KindListen means that a port could not be opened.
const KindListen Kind = "listenFailed"

// Error is the error type of this package.
type Error = failer.Error[Kind]

const (
	// leaveTime is how long a stopping daemon goes on taking connections: the
	// balancer asks once a second and leaves after two misses.
	leaveTime = 2700 * time.Millisecond
	// stopMargin is kept from the time that the platform gives a stopping process.
	stopMargin = 400 * time.Millisecond
	// settingsInterval is how often the settings file is looked at for a change
	// without a signal.
	settingsInterval = 2 * time.Second
	// memoryShare is the part of the process's limit at which collection becomes eager.
	memoryShare = 0.6
	// gcPercent keeps the heap small, since peak memory has a price.
	gcPercent = 60
)

// Config is what a supervisor is started with.
type Config struct {
	// SettingsFile is the platform's file.
	SettingsFile string
	// MetricsPort is the port of the metrics on the VM's address; 0 serves none.
	MetricsPort int
	// DisabledPolicies lists policies that are switched off, for comparisons.
	DisabledPolicies []responder.Policy
	Network          dialer.Network
}

// Supervisor is one daemon.
type Supervisor struct {
	config    Config
	settings  atomic.Pointer[platform.Settings]
	metrics   *vm.Set
	scheduler *scheduler.Scheduler
	follower  *follower.Follower
	responder *responder.Responder
	// stopping is set when the daemon is asked to stop; stop is closed then.
	stopping atomic.Bool
	stop     chan struct{}
	stopOnce sync.Once
	// kill is closed when the daemon is to end without a stop.
	kill     chan struct{}
	killOnce sync.Once
	// hup asks for the settings to be read again.
	hup   chan struct{}
	idler *idler
	// servers are the HTTP servers with their open sockets.
	callers, probes, counters listening
}

// listening is an HTTP server and its open socket; it is empty where none is wanted.
type listening struct {
	*http.Server
	listener net.Listener
}

// New reads the settings, makes the parts and opens the sockets; Run serves them.
func New(config Config) (*Supervisor, error) {
	settings, err := platform.ReadSettings(config.SettingsFile)
	if err != nil {
		return nil, err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryBytes)))
	s := &Supervisor{config: config, metrics: vm.NewSet(), scheduler: scheduler.New(), idler: newIdler(), stop: make(chan struct{}), kill: make(chan struct{}), hup: make(chan struct{}, 1)}
	s.settings.Store(&settings)
	storeCalls := s.metrics.NewCounter("platformCallsTotal")
	s.follower, err = follower.New(follower.Config{
		Settings:    settings,
		Network:     config.Network,
		Scheduler:   s.scheduler,
		OnStoreCall: storeCalls.Inc,
		OnChange:    func(state *follower.State) { s.responder.ConfigureBudget(s.settings.Load().Bounds, state) },
		OnDisplaced: func(now time.Time, key string) { s.responder.MarkDisplaced(now, key, false) },
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
		Stopping:  s.stopping.Load,

		OnDisplaced:      s.follower.AnnounceDisplaced,
		DisabledPolicies: config.DisabledPolicies,
		Metrics:          responder.NewMetrics(s.metrics),
		Rand:             newRand(),
	})
	s.scheduler.Every(idleInterval, s.closeIdle)
	if err := s.listen(settings); err != nil {
		return nil, err
	}
	return s, nil
}

// listen opens the sockets for callers, for the balancer's question and for metrics.
func (s *Supervisor) listen(settings platform.Settings) error {
	counters := ""
	if s.config.MetricsPort > 0 {
		counters = net.JoinHostPort(settings.IP, fmt.Sprint(s.config.MetricsPort))
	}
	for _, one := range []struct {
		into    *listening
		address string
		handler http.Handler
	}{
		{&s.callers, settings.CallerAddress, s.responder},
		{&s.probes, settings.ReadinessAddress, http.HandlerFunc(s.handleProbe)},
		{&s.counters, counters, http.HandlerFunc(s.handleMetrics)},
	} {
		if one.address == "" {
			continue
		}
		l, err := net.Listen("tcp", one.address)
		if err != nil {
			s.closeSockets()
			return failer.Wrap("listen on "+one.address, KindListen, err)
		}
		server := &http.Server{Handler: one.handler, ReadHeaderTimeout: backstopTime, IdleTimeout: backstopTime, ConnState: s.idler.note}
		*one.into = listening{Server: server, listener: l}
	}
	return nil
}

// closeIdle ends connections that callers leave unused for too long.
func (s *Supervisor) closeIdle(now time.Time) {
	var limits planner.Limits
	if state := s.follower.State(); state.Ready() {
		limits = state.Table.Configuration().Limits
	}
	if n := s.idler.sweep(now, limits.HeaderTimeout, limits.IdleTimeout); n > 0 {
		klog.V(1).InfoS("unused connections closed", "connections", n)
	}
}

// closeSockets ends a daemon that was not run.
func (s *Supervisor) closeSockets() {
	for _, one := range []listening{s.callers, s.probes, s.counters} {
		if one.listener != nil {
			_ = one.listener.Close()
		}
	}
	s.follower.Close()
}

func newRand() *mathrand.Rand {
	var seed [32]byte
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}

// IsReady reports whether the balancer may send callers here.
func (s *Supervisor) IsReady() bool { return !s.stopping.Load() && s.follower.State().Ready() }

func (s *Supervisor) handleProbe(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == platform.ReadyPath && s.IsReady() {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Supervisor) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
}

// Stop starts a planned stop; Run returns when it is complete.
func (s *Supervisor) Stop() {
	s.stopping.Store(true)
	s.stopOnce.Do(func() { close(s.stop) })
}

// Kill ends the daemon at once, as a crash does.
func (s *Supervisor) Kill() {
	s.killOnce.Do(func() { close(s.kill) })
}

// Reload reads the settings file again.
func (s *Supervisor) Reload() {
	select {
	case s.hup <- struct{}{}:
	default:
	}
}

// Run serves until Stop has been called and everything in flight has ended.
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
	for _, one := range []listening{s.callers, s.probes, s.counters} {
		if one.listener != nil {
			group.Add(func() error { return one.serve(ctx) }, func(error) { _ = one.Close() })
		}
	}
	err := group.Run()
	s.responder.Close()
	klog.InfoS("daemon stopped", "name", settings.Name)
	return err
}

// serve runs the server. One that was shut down on purpose goes on counting as
// running, so that the run group ends only when the stop is complete.
func (l listening) serve(ctx context.Context) error {
	err := l.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return err
}

// awaitStop carries out a planned stop: not ready, serve until the balancer has
// left, answer what is in flight, end.
func (s *Supervisor) awaitStop(ctx context.Context) error {
	select {
	case <-s.stop:
	case <-s.kill:
		return nil
	case <-ctx.Done():
		return nil
	}
	asked := time.Now()
	grace := s.settings.Load().Bounds.StopGracePeriod
	klog.InfoS("daemon is stopping", "graceMillis", grace.Milliseconds())
	s.follower.Leave()
	scheduler.Sleep(ctx, min(leaveTime, grace/2))
	finish, cancel := context.WithDeadline(ctx, asked.Add(grace-stopMargin))
	defer cancel()
	if err := s.callers.Shutdown(finish); err != nil {
		klog.InfoS("requests were still in flight at the end of the stop", "cause", err.Error())
	}
	klog.InfoS("daemon is idle", "afterMillis", time.Since(asked).Milliseconds())
	return nil
}

// watchSettings takes changes of the settings file, told by a signal or not.
func (s *Supervisor) watchSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(s.config.SettingsFile)
	for {
		told := false
		select {
		case <-ctx.Done():
			return nil
		case <-s.hup:
			told = true
		case <-ticker.C:
		}
		if at := modified(s.config.SettingsFile); told || !at.Equal(last) {
			last = at
			s.reload()
		}
	}
}

func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes new settings; what names the process's own sockets holds until
// its next start.
func (s *Supervisor) reload() {
	next, err := platform.ReadSettings(s.config.SettingsFile)
	if err != nil {
		klog.InfoS("settings not taken, the old ones hold", "cause", err.Error())
		return
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(next.MemoryBytes)))
	s.settings.Store(&next)
	s.responder.ConfigureBudget(next.Bounds, s.follower.State())
	klog.InfoS("settings reloaded", "seeds", len(next.Seeds), "store", next.StoreAddress)
}

// CurrentSettings returns the settings that were taken last.
func (s *Supervisor) CurrentSettings() platform.Settings { return *s.settings.Load() }

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The bounds of the small sites.
const (
	drainNotice = 3000 * time.Millisecond
	graceS      = 6
	stableMs    = 5000
)

const program = "target/fuchsiastile"

// tier is a small deployment: a store, searchers and daemons, which run as processes of
// their own on loopback addresses.
type tier struct {
	rec       *record
	dir       string
	store     *store
	searchers []*searcher
	basePort  int
	subnet    int
	// reserved is the listener that reserves the subnet.
	reserved net.Listener
	// seeds are the IP addresses in the settings.
	seeds []string

	mu      sync.Mutex
	daemons []*daemon
}

type daemon struct {
	ip string
	// settings is the path of its settings file.
	settings string
	command  *exec.Cmd
	exited   chan struct{}
	tier     *tier
}

func newTier(rec *record) (*tier, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build the deploy file first: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	t := &tier{rec: rec, dir: dir}
	if t.store, err = startStore(); err != nil {
		return nil, err
	}
	for range 100 {
		t.subnet, t.basePort = 10+rand.IntN(240), 20000+rand.IntN(10000)
		if t.reserve() {
			t.seeds = []string{t.ip(1), t.ip(2), t.ip(3)}
			return t, nil
		}
	}
	return nil, fmt.Errorf("no free ports on %s", t.ip(1))
}

const (
	// metricsPort is the port of the daemons' metrics, which no setting changes.
	metricsPort = 9464
	// reservedPort is held on a subnet's first address while a case uses the subnet.
	reservedPort = 9463
)

// reserve keeps other cases from using the subnet and reports whether its ports are free.
func (t *tier) reserve() bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", t.ip(1), reservedPort))
	if err != nil {
		return false
	}
	if !portsFree(t.ip(1), metricsPort, metricsPort+1) || !portsFree(t.ip(1), t.basePort, t.basePort+20) {
		_ = l.Close()
		return false
	}
	t.reserved = l
	return true
}

// portsFree reports whether the ports from first up to end are free.
func portsFree(ip string, first, end int) bool {
	for port := first; port < end; port++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func (t *tier) ip(n int) string { return fmt.Sprintf("127.%d.%d.%d", t.subnet, 1+n/200, 1+n%200) }

func (t *tier) frontOf(ip string) string   { return fmt.Sprintf("%s:%d", ip, t.basePort+16) }
func (t *tier) readyOf(ip string) string   { return fmt.Sprintf("%s:%d", ip, t.basePort+17) }
func (t *tier) controlOf(ip string) string { return fmt.Sprintf("%s:%d", ip, t.basePort+18) }

var zones = []string{"sfax-a", "tunis-a", "marseille-a"}

// addSearcher starts a searcher and registers it.
func (t *tier) addSearcher(service, zone string, slots int, work func(string) time.Duration) (*searcher, error) {
	s, err := startSearcher(t.rec, service, fmt.Sprintf("i-%04x", 0x1000+len(t.searchers)), zone, slots, work)
	if err != nil {
		return nil, err
	}
	t.searchers = append(t.searchers, s)
	t.store.put("servers", s.instance, s.spec("ready", 1))
	return s, nil
}

type route map[string]any

// configure writes a version of the configuration.
func (t *tier) configure(version int, routes []route, services ...string) {
	var list []map[string]any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "healthPath": "/health", "maxConns": 248, "protocol": "h1", "tls": false})
	}
	spec, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	t.store.put("config", "main", spec)
	t.rec.printf("store acknowledged version %d of the configuration", version)
}

const settingsTemplate = `node = "front-%[2]s-%[1]s"
role = "entry"
nodeClass = "front"
serves = ["front","control"]
ip = "%[1]s"
zone = "%[2]s"
region = "%[3]s"
peerPortRange = [%[4]d,%[5]d]
seeds = [%[6]s]
bootstrap = false
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
sfax-a = "tn-sfax"
tunis-a = "tn-tunis"
marseille-a = "fr-marseille"
[bindAddrs]
front = "%[7]s"
ready = "%[8]s"
control = "%[9]s"
[limits]
cpuShare = 0.272
cores = 1
memoryMb = 206
maxFds = 2870
linkMbps = 700.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 5000
ackMs = 6000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
partitionMaxMs = 15000
retryBudgetRatio = 0.2
budgetWindowS = 10
retryBudgetSlack = 126
recoverS = 12
[platform]
addr = "%[10]s"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

// startDaemon starts the program by the run line of deploy/system.toml.
func (t *tier) startDaemon(n int) (*daemon, error) {
	ip, zone := t.ip(n), zones[(n-1)%len(zones)]
	region := map[string]string{"sfax-a": "tn-sfax", "tunis-a": "tn-tunis", "marseille-a": "fr-marseille"}[zone]
	var seeds []string
	for _, seed := range t.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", t.controlOf(seed)))
	}
	text := fmt.Sprintf(settingsTemplate, ip, zone, region, t.basePort, t.basePort+15, strings.Join(seeds, ","), t.frontOf(ip), t.readyOf(ip), t.controlOf(ip), t.store.address)
	file := filepath.Join(t.dir, ip+".toml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(t.dir, ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	d := &daemon{ip: ip, settings: file, command: exec.Command(program, "front"), exited: make(chan struct{}), tier: t}
	d.command.Env = []string{"FUCHSIASTILE_CONFIG=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = log, log
	if err := d.command.Start(); err != nil {
		return nil, err
	}
	_ = log.Close()
	go func() {
		_ = d.command.Wait()
		close(d.exited)
	}()
	t.mu.Lock()
	t.daemons = append(t.daemons, d)
	t.mu.Unlock()
	t.rec.printf("daemon %s started", ip)
	return d, nil
}

// changeSettings writes the daemon's settings file anew, with a text replaced by another.
func (d *daemon) changeSettings(replacer *strings.Replacer) error {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(d.settings, []byte(replacer.Replace(string(text))), 0o644)
}

func (d *daemon) front() string { return d.tier.frontOf(d.ip) }

func (d *daemon) signal(s syscall.Signal) {
	d.tier.rec.printf("daemon %s gets %s", d.ip, s)
	_ = d.command.Process.Signal(s)
}

var probeClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// isReady asks a daemon as the platform's balancer does.
func (d *daemon) isReady() bool {
	response, err := probeClient.Get("http://" + d.tier.readyOf(d.ip) + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func (t *tier) awaitReady(ctx context.Context) error {
	for _, d := range t.daemons {
		if err := d.awaitReady(ctx); err != nil {
			return err
		}
	}
	t.rec.printf("all daemons are ready")
	return nil
}

func (d *daemon) awaitReady(ctx context.Context) error {
	for !d.isReady() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("daemon %s is not ready", d.ip)
		case <-d.exited:
			return fmt.Errorf("daemon %s ended", d.ip)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return nil
}

// close ends all processes that were started.
func (t *tier) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range t.daemons {
		select {
		case <-d.exited:
		default:
			_ = d.command.Process.Signal(syscall.SIGCONT)
			_ = d.command.Process.Kill()
			<-d.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.dir)
	} else {
		fmt.Println("logs:", t.dir)
	}
}

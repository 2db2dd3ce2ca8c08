package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of a small deployment.
const (
	budgetRatio  = 0.2
	budgetWindow = 10 * time.Second
	budgetSlack  = 126
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// daemon is one process of the system.
type daemon struct {
	name, ip, zone          string
	settings                string
	caller, ready           string
	process                 *exec.Cmd
	output                  *os.File
	done                    chan struct{}
	peerFirst, frontPort    int
	seeds                   []string
	storeAddress, directory string
}

// subnet returns an address of the loopback network; base distinguishes runs at the same time.
func subnet(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 20+pid%200, 1+pid/200%250, host)
}

func newDaemon(directory string, n int, storeAddress string, seeds []string) *daemon {
	d := &daemon{name: fmt.Sprintf("front-%d", n), ip: subnet(10 + n), zone: zones[n%len(zones)], peerFirst: 7740, frontPort: 8226, seeds: seeds, storeAddress: storeAddress, directory: directory}
	d.caller, d.ready = fmt.Sprintf("%s:%d", d.ip, d.frontPort), fmt.Sprintf("%s:%d", d.ip, d.frontPort+1)
	d.settings = filepath.Join(directory, d.name+".toml")
	return d
}

// writeSettings writes the settings file that the platform hands to the process.
func (d *daemon) writeSettings(bootstrap bool) error {
	var seeds []string
	for _, s := range d.seeds {
		seeds = append(seeds, fmt.Sprintf("%q", s+":8224"))
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
nodeClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "region-one"
peerPortRange = [%d,%d]
seeds = [%s]
bootstrap = %v
heartbeatMs = %d
[zones]
zone-a = "region-one"
zone-b = "region-one"
zone-c = "region-one"
[bindAddrs]
front = %q
ready = %q
control = "%s:8224"
[limits]
cpuShare = 0.272
cores = 1
memoryMb = 206
maxFds = 2870
[bounds]
stableWindowMs = 5000
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
partitionMaxMs = 15000
retryBudgetRatio = %g
budgetWindowS = %g
retryBudgetSlack = %d
recoverS = 12
[platform]
addr = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
`, d.name, d.ip, d.zone, d.peerFirst, d.peerFirst+15, strings.Join(seeds, ","), bootstrap, heartbeat.Milliseconds(),
		d.caller, d.ready, d.ip, budgetRatio, budgetWindow.Seconds(), budgetSlack, d.storeAddress)
	return os.WriteFile(d.settings, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(program string) error {
	output, err := os.OpenFile(filepath.Join(d.directory, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.output = output
	d.process = exec.Command(program, "front")
	d.process.Env = []string{"FUCHSIASTILE_CONFIG=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.directory}
	d.process.Stdout, d.process.Stderr = output, output
	if err := d.process.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func(p *exec.Cmd, done chan struct{}) {
		_ = p.Wait()
		close(done)
	}(d.process, d.done)
	return nil
}

func (d *daemon) signal(s syscall.Signal) { _ = d.process.Process.Signal(s) }

// kill ends the process and waits for it.
func (d *daemon) kill() {
	if d.process == nil || d.process.Process == nil {
		return
	}
	_ = d.process.Process.Kill()
	select {
	case <-d.done:
	case <-time.After(3 * time.Second):
	}
	_ = d.output.Close()
}

// hasEnded reports whether the process has ended.
func (d *daemon) hasEnded() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// isReady asks the platform's readiness question once.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 300 * time.Millisecond}).DialContext}}
	response, err := client.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func awaitReady(daemons []*daemon, limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, d := range daemons {
		for !d.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %s", d.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

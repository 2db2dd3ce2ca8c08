package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The ports of a daemon. All daemons use the same ones, each on an address of its own.
const (
	portFront    = "8226"
	portReady    = "8227"
	portControl  = "8224"
	portMetrics  = "9464"
	firstPeer    = 7740
	lastPeer     = 7755
	readyTimeout = 20 * time.Second
	graceTime    = 6 * time.Second
)

// daemon is a process of the project, started with the command of the deploy file.
type daemon struct {
	name, ip, zone string
	// restarted is set once the process has been started again: the tier does not start for
	// the first time then.
	restarted bool
	command   *exec.Cmd
	exited    chan struct{}
}

// settingsTemplate is a settings file like that of a small deployment; the bounds are those
// of the site file sap-pads.
const settingsTemplate = `node = %q
role = "entry"
nodeClass = "front"
serves = ["front","control"]
ip = %q
zone = %q
region = "r"
peerPortRange = [%d,%d]
seeds = [%s]
bootstrap = %t
inTolerance = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
invariants = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
a = "r"
b = "r"
c = "r"
[bindAddrs]
front = "%s:%s"
ready = "%s:%s"
control = "%s:%s"
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
addr = %q
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
`

func (d *daemon) settings(seeds []string, storeAddress string) string {
	quoted := make([]string, len(seeds))
	for i, seed := range seeds {
		quoted[i] = fmt.Sprintf("%q", net.JoinHostPort(seed, portControl))
	}
	return fmt.Sprintf(settingsTemplate, d.name, d.ip, d.zone, firstPeer, lastPeer, strings.Join(quoted, ","), !d.restarted, d.ip, portFront, d.ip, portReady, d.ip, portControl, storeAddress)
}

// start starts the process; its output goes to a file in the folder.
func (d *daemon) start(root, folder string, seeds []string, storeAddress string) error {
	file := filepath.Join(folder, d.name+".toml")
	if err := os.WriteFile(file, []byte(d.settings(seeds, storeAddress)), 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	d.command = exec.Command("target/fuchsiastile", "front")
	d.command.Dir = root
	d.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIASTILE_CONFIG=" + file}
	d.command.Stdout, d.command.Stderr = output, output
	if err := d.command.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func() {
		_ = d.command.Wait()
		close(d.exited)
	}()
	return nil
}

// memory returns the resident memory of the process in bytes, zero if it has ended.
func (d *daemon) memory() int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// stop ends the process as the platform does.
func (d *daemon) stop() {
	if d.exited == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.exited:
	case <-time.After(graceTime):
		_ = d.command.Process.Kill()
		<-d.exited
	}
}

// awaitReady waits until the daemon answers the platform's question with 200.
func (d *daemon) awaitReady() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(readyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + net.JoinHostPort(d.ip, portReady) + "/-/ready")
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready after %s", d.name, readyTimeout)
}

// freeAddresses returns loopback addresses on which the ports of a daemon are free.
func freeAddresses(count int) ([]string, error) {
	var out []string
	pid := os.Getpid()
	for n := 1; n < 250 && len(out) < count; n++ {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, 1+pid%250, n)
		if isFree(ip) {
			out = append(out, ip)
		}
	}
	if len(out) < count {
		return nil, fmt.Errorf("no %d free loopback addresses", count)
	}
	return out, nil
}

func isFree(ip string) bool {
	for _, port := range []string{portFront, portReady, portControl, portMetrics, fmt.Sprint(firstPeer)} {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

package stager_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// daemonProgram builds the daemon once for all tests of this package.
var daemonProgram = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "fuchsiastile-program-")
	if err != nil {
		return "", err
	}
	program := filepath.Join(directory, "fuchsiastile")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/fuchsiastile").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the daemon: %w: %s", err, out)
	}
	return program, nil
})

// daemonProcess is the daemon of a tier as a process of its own.
type daemonProcess struct {
	*stager.TierDaemon
	command *exec.Cmd
	log     *bytes.Buffer
	// exited is closed when the process has ended, at endedAt.
	exited  chan struct{}
	endedAt time.Time
}

// startDaemonProcess starts the first daemon of a tier with external ones as a process and
// waits until it is ready.
func startDaemonProcess(t *testing.T, tier *stager.Tier) *daemonProcess {
	t.Helper()
	is := is.New(t)
	settings, err := tier.WriteSettings(0, true)
	is.NoErr(err)
	p := startProcess(t, settings)
	eventually(t, "the process is ready", func() bool { return tier.ProbeReadiness(t.Context(), settings) })
	return p
}

// startProcess starts a daemon as a process. It runs on one thread at a time, as on one core.
func startProcess(t *testing.T, daemon *stager.TierDaemon) *daemonProcess {
	t.Helper()
	is := is.New(t)
	program, err := daemonProgram()
	is.NoErr(err)
	p := &daemonProcess{
		TierDaemon: daemon, command: exec.Command(program, "front", "-settings", daemon.SettingsFile, "-metrics", "0"),
		log: &bytes.Buffer{}, exited: make(chan struct{}),
	}
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stdout, p.command.Stderr = p.log, p.log
	is.NoErr(p.command.Start())
	go func() {
		_ = p.command.Wait()
		p.endedAt = time.Now()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.exited
		if t.Failed() {
			t.Logf("log of the daemon:\n%s", lastLines(p.log.Bytes(), 40))
		}
	})
	return p
}

func lastLines(text []byte, n int) []byte {
	lines := bytes.SplitAfter(text, []byte("\n"))
	return bytes.Join(lines[max(0, len(lines)-n):], nil)
}

// useQuota lets the process run in each tenth of a second until it has used the given
// processor time, as on a core with a quota, until the process ends.
func (p *daemonProcess) useQuota(quota time.Duration) {
	const period = 100 * time.Millisecond
	for start := time.Now(); ; start = start.Add(period) {
		if p.command.Process.Signal(syscall.SIGCONT) != nil {
			return
		}
		for used := p.processorTime(); p.processorTime()-used < quota && time.Since(start) < period; {
			time.Sleep(quota / 50)
		}
		if p.command.Process.Signal(syscall.SIGSTOP) != nil {
			return
		}
		select {
		case <-p.exited:
			return
		case <-time.After(time.Until(start.Add(period))):
		}
	}
}

// processorTime returns the processor time that the process has used, 0 after its end.
func (p *daemonProcess) processorTime() time.Duration {
	// The clock of another process has the ID that clock_getcpuclockid computes.
	const schedulerClock = 2
	var used syscall.Timespec
	clock := uintptr(^p.command.Process.Pid)<<3 | schedulerClock
	if _, _, errno := syscall.Syscall(syscall.SYS_CLOCK_GETTIME, clock, uintptr(unsafe.Pointer(&used)), 0); errno != 0 {
		return 0
	}
	return time.Duration(used.Nano())
}

// killAt waits for the end of the process, which it kills at a point in time.
func (p *daemonProcess) killAt(deadline time.Time) {
	select {
	case <-p.exited:
	case <-time.After(time.Until(deadline)):
		_ = p.command.Process.Kill()
		<-p.exited
	}
}

// ownRequest is a request on a connection of its own, and its response.
type ownRequest struct {
	path, id string
	sentAt   time.Time
	endedAt  time.Time
	status   int
	length   int
	err      error
}

// sendOnOwnConnection sends a request and reads the whole response.
func sendOnOwnConnection(address, path string) (r ownRequest) {
	r.path, r.id = path, nextID()
	defer func() { r.endedAt = time.Now() }()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = conn.Close() }()
	request, err := http.NewRequest(http.MethodPost, "http://"+stager.TierHost+path+"x", nil)
	if err != nil {
		r.err = err
		return r
	}
	platform.WriteCallerHeaders(request.Header, r.id, 30*time.Second)
	if r.err = request.Write(conn); r.err != nil {
		return r
	}
	r.sentAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		r.err = err
		return r
	}
	body, err := io.ReadAll(response.Body)
	r.status, r.length, r.err = response.StatusCode, len(body), err
	return r
}

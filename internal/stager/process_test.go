package stager_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/operator"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// processCluster is a small deployment in which the platform, every searcher and
// every daemon is a process of its own.
type processCluster struct {
	t                 testing.TB
	binDir            string
	logDir            string
	subnet            string
	platformAddress   string
	processes         map[string]*exec.Cmd
	callerAddresses   []string
	operatorAddresses []string
	searcherAddresses map[string]string
}

// processDomains are the failure domains of a processCluster with their regions.
var processDomains = [][2]string{{"caerdydd-a", "de-cymru"}, {"bangor-a", "gogledd"}, {"aberyst-a", "canolbarth"}}

// startPlatformProcess builds the programs and starts a cluster that has only a
// platform.
func startPlatformProcess(t testing.TB) *processCluster {
	t.Helper()
	p := &processCluster{
		t:                 t,
		binDir:            t.TempDir(),
		logDir:            logDir(t),
		subnet:            fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, os.Getpid()/250%250),
		processes:         map[string]*exec.Cmd{},
		searcherAddresses: map[string]string{},
	}
	build := exec.Command("go", "build", "-o", p.binDir+"/", "../../cmd/fuchsiastile", "../../cmd/standin")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("building the programs: %v: %s", err, out)
	}
	t.Cleanup(p.close)
	p.platformAddress = p.subnet + "1:9000"
	p.startProcess("platform", "standin", "platform", "-listen", p.platformAddress)
	return p
}

// startProcessCluster starts a cluster of three searchers and one daemon in each failure
// domain and waits until the daemons are ready.
func startProcessCluster(t *testing.T) *processCluster {
	t.Helper()
	is := is.New(t)
	p := startPlatformProcess(t)
	for n := range 3 {
		p.addSearcher("bookings", emulator.ShardName(0), n)
		p.addSearcher("parts-finder", emulator.ShardName(0), n)
		p.addSearcher("parts-finder", emulator.ShardName(1), n)
	}
	for n := range 3 {
		p.addDaemon(n)
	}
	is.NoErr(p.applyDocuments())
	for _, address := range p.operatorAddresses {
		eventually(t, "readiness of the daemon with operator address "+address, func() bool {
			statuses, err := operator.Status(t.Context(), []string{address})
			return err == nil && statuses[0].Ready && len(statuses[0].Members) >= 3
		})
	}
	return p
}

func (p *processCluster) startProcess(name, program string, args ...string) {
	process := exec.Command(filepath.Join(p.binDir, program), args...)
	output, err := os.Create(filepath.Join(p.logDir, name+".log"))
	if err != nil {
		p.t.Fatal(err)
	}
	defer func() { _ = output.Close() }()
	process.Stdout, process.Stderr = output, output
	if err := process.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.processes[name] = process
}

// logDir returns a directory for the output of a test's processes, which is kept
// if the test fails.
func logDir(t testing.TB) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "fuchsiastile-processes-")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("output of the processes: %s", dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	return dir
}

// httpClient returns a client that keeps up to 256 idle connections to a host.
func httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// signal sends a signal to a process of the cluster.
func (p *processCluster) signal(name string, s syscall.Signal) {
	if err := p.processes[name].Process.Signal(s); err != nil {
		p.t.Errorf("sending a signal to %s: %v", name, err)
	}
}

func (p *processCluster) close() {
	for _, process := range p.processes {
		_ = process.Process.Signal(syscall.SIGCONT)
		_ = process.Process.Kill()
		_, _ = process.Process.Wait()
	}
}

func (p *processCluster) addSearcher(service, shard string, n int) {
	address := fmt.Sprintf("%s%d:9100", p.subnet, 10+len(p.searcherAddresses))
	name := fmt.Sprint(service, "-", shard, "-", n)
	p.searcherAddresses[name] = address
	p.startProcess(name, "standin", "searcher", "-listen", address, "-shards", shard, "-slots", "2", "-service", "20")
	p.listVM(declarer.VM{
		Name: name, Address: address, FailureDomain: processDomains[n][0], Region: processDomains[n][1],
		State: declarer.VMLive, Labels: map[string]string{"app": service, "shard": shard},
	})
}

func (p *processCluster) addDaemon(n int) {
	ip := fmt.Sprint(p.subnet, 100+n)
	settings := fmt.Sprintf(`{
		"name": "entry-%d", "failureDomain": %q, "region": %q, // one of three
		"callers": "%[4]s:7000", "peers": "%[4]s:7001", "operators": "%[4]s:7002", "platform": "http://%[5]s"
	}`, n, processDomains[n][0], processDomains[n][1], ip, p.platformAddress)
	file := filepath.Join(p.binDir, fmt.Sprint("entry-", n, ".jsonc"))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		p.t.Fatal(err)
	}
	p.startProcess(fmt.Sprint("entry-", n), "fuchsiastile", "serve", "-settings", file)
	p.callerAddresses = append(p.callerAddresses, ip+":7000")
	p.operatorAddresses = append(p.operatorAddresses, ip+":7002")
	p.listVM(declarer.VM{
		Name: fmt.Sprint("entry-", n), Address: ip + ":7001", FailureDomain: processDomains[n][0], Region: processDomains[n][1],
		State: declarer.VMLive, Labels: map[string]string{declarer.RoleLabel: declarer.RoleEntry},
	})
}

// listVM adds a VM to the platform's list; it retries until the platform listens.
func (p *processCluster) listVM(vm declarer.VM) {
	eventually(p.t, "the platform accepts VM "+vm.Name, func() bool { return p.putJSON(p.platformAddress, "/vms/"+vm.Name, vm) == nil })
}

func (p *processCluster) putJSON(address, path string, v any) error {
	request, err := http.NewRequest(http.MethodPut, "http://"+address+path, strings.NewReader(mustJSON(v)))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// applyDocuments publishes declarations and indexes with the apply command. It halves
// the example's deadline of 2 s.
func (p *processCluster) applyDocuments() error {
	declarations := bytes.ReplaceAll(examples.Olwyn, []byte(`"2s"`), []byte(`"1s"`))
	indexes := declarer.Indexes{Services: map[string]declarer.Snapshot{}}
	for service, shards := range map[string]int{"bookings": 1, "parts-finder": 2} {
		snapshot := declarer.Snapshot{Name: emulator.InitialSnapshot}
		for n := range shards {
			snapshot.Shards = append(snapshot.Shards, declarer.ShardPlacement{Name: emulator.ShardName(n), Selector: "shard=" + emulator.ShardName(n)})
		}
		indexes.Services[service] = snapshot
	}
	for document, content := range map[string][]byte{
		declarer.DocumentDeclarations: declarations,
		declarer.DocumentIndexes:      []byte(mustJSON(indexes)),
	} {
		if err := p.applyDocument(document, content); err != nil {
			return err
		}
	}
	return nil
}

func (p *processCluster) applyDocument(document string, content []byte) error {
	file := filepath.Join(p.binDir, document)
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	out, err := exec.Command(filepath.Join(p.binDir, "fuchsiastile"), "apply", "-platform", "http://"+p.platformAddress, "-document", document, file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// runsByTicket returns how often the searchers of a service ran each ticket.
func (p *processCluster) runsByTicket(service string) map[string]int {
	runs := map[string]int{}
	for name, address := range p.searcherAddresses {
		if !strings.HasPrefix(name, service) {
			continue
		}
		response, err := http.Get("http://" + address + "/facts")
		if err != nil {
			p.t.Fatal(err)
		}
		var stats emulator.SearcherStats
		err = json.NewDecoder(response.Body).Decode(&stats)
		_ = response.Body.Close()
		if err != nil {
			p.t.Fatal(err)
		}
		for key, n := range stats.Runs {
			ticket, _, _ := strings.Cut(key, "/")
			runs[ticket] += n
		}
	}
	return runs
}

// book makes a booking through one daemon, retries it through the others and records
// the outcomes.
func (p *processCluster) book(reported *reportedOutcomes, worker, n int) {
	clients := make([]*caller.Client, len(p.callerAddresses))
	for i := range p.callerAddresses {
		clients[i] = caller.New("http://"+p.callerAddresses[(worker+i)%len(p.callerAddresses)], &http.Client{Timeout: 3 * time.Second})
	}
	ticket, err := clients[0].Ticket(context.Background())
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	request := caller.Request{Service: "bookings", Class: "booking", Key: fmt.Sprint(worker, n), Ticket: ticket, Body: []byte(`{}`)}
	for _, client := range clients {
		answer, _ := client.Submit(context.Background(), request)
		reported.add(ticket, answer.Outcome)
	}
}

// TestOutcomesWithKilledAndSuspendedProcesses guards against outcomes and coverage
// that do not match what the searchers ran. It kills and suspends processes, alone and
// in pairs, during searches and bookings.
func TestOutcomesWithKilledAndSuspendedProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := startProcessCluster(t)
	reported := &reportedOutcomes{byTicket: map[string][]caller.Outcome{}}
	stopBooking := runWorkers(9, func(worker, n int) { p.book(reported, worker, n) })
	stopSearching := runWorkers(3, func(worker, _ int) {
		client := caller.New("http://"+p.callerAddresses[worker], &http.Client{Timeout: 3 * time.Second})
		answer, err := client.Search(context.Background(), searchRequest("parts-finder"))
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			return
		}
		checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 2})
	})
	suspend := func(duration time.Duration, names ...string) {
		for _, name := range names {
			p.signal(name, syscall.SIGSTOP)
		}
		time.Sleep(duration)
		for _, name := range names {
			p.signal(name, syscall.SIGCONT)
		}
		time.Sleep(300 * time.Millisecond)
	}
	suspend(time.Second, "entry-0")
	suspend(time.Second, "bookings-s000-0")
	suspend(6*time.Second, "entry-1", "platform") // long enough to be declared dead
	suspend(time.Second, "entry-0", "bookings-s000-1")
	is.NoErr(p.putJSON(p.searcherAddresses["bookings-s000-2"], "/faults", emulator.SearcherFaults{LoseReplies: true}))
	suspend(time.Second, "entry-2")
	p.signal("parts-finder-s000-0", syscall.SIGKILL)
	p.signal("entry-2", syscall.SIGKILL)
	suspend(time.Second, "entry-1")
	stopBooking()
	stopSearching()
	// Resumed processes may still send requests that they had queued.
	time.Sleep(time.Second)
	counts := reported.check(t, p.runsByTicket("bookings"))
	is.True(counts[caller.OutcomeAnswered] > 0)
	is.True(counts[caller.OutcomeUnknown] > 0)
	answer, err := caller.New("http://"+p.callerAddresses[0], &http.Client{}).Search(t.Context(), searchRequest("parts-finder"))
	is.NoErr(err)
	t.Logf("last search: request %s, missing %v", answer.RequestID, answer.Coverage.Missing)
	is.Equal(answer.Coverage.Fraction, 1.0)
}

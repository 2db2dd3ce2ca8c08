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

// fleet is a small site of real processes.
type fleet struct {
	t         testing.TB
	programs  string
	net       string
	platform  string
	processes map[string]*exec.Cmd
	daemons   []string
	operators []string
	searchers map[string]string
}

// domains are the failure domains of the fleet, with their regions.
var fleetDomains = [][2]string{{"caerdydd-a", "de-cymru"}, {"bangor-a", "gogledd"}, {"aberyst-a", "canolbarth"}}

// newPlatform builds the programs and starts a fleet's platform.
func newPlatform(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{
		t:         t,
		programs:  t.TempDir(),
		net:       fmt.Sprintf("127.%d.%d.", 1+os.Getpid()%250, os.Getpid()/250%250),
		processes: map[string]*exec.Cmd{},
		searchers: map[string]string{},
	}
	build := exec.Command("go", "build", "-o", f.programs+"/", "../../cmd/fuchsiastile", "../../cmd/standin")
	out, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	t.Cleanup(f.close)
	f.platform = f.net + "1:9000"
	f.start("platform", "standin", "platform", "-listen", f.platform)
	return f
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	f := newPlatform(t)
	for n := range 3 {
		f.searcher("bookings", emulator.ShardName(0), n)
		f.searcher("parts-finder", emulator.ShardName(0), n)
		f.searcher("parts-finder", emulator.ShardName(1), n)
	}
	for n := range 3 {
		f.daemon(n)
	}
	is.NoErr(f.apply())
	for _, address := range f.operators {
		eventually(t, "ready "+address, func() bool {
			statuses, err := operator.Status(t.Context(), []string{address})
			return err == nil && statuses[0].Ready && len(statuses[0].Members) >= 3
		})
	}
	return f
}

func (f *fleet) start(name, program string, args ...string) {
	c := exec.Command(filepath.Join(f.programs, program), args...)
	if err := c.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes[name] = c
}

// httpClient returns a client that keeps many connections.
func httpClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
}

// signal sends a signal to a process that this test started.
func (f *fleet) signal(name string, s syscall.Signal) {
	if err := f.processes[name].Process.Signal(s); err != nil {
		f.t.Errorf("%s: %v", name, err)
	}
}

func (f *fleet) close() {
	for _, c := range f.processes {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_, _ = c.Process.Wait()
	}
}

func (f *fleet) searcher(service, shard string, n int) {
	address := fmt.Sprintf("%s%d:9100", f.net, 10+len(f.searchers))
	name := fmt.Sprint(service, "-", shard, "-", n)
	f.searchers[name] = address
	f.start(name, "standin", "searcher", "-listen", address, "-shards", shard, "-slots", "2", "-service", "20")
	f.list(declarer.VM{
		Name: name, Address: address, FailureDomain: fleetDomains[n][0], Region: fleetDomains[n][1],
		State: declarer.VMLive, Labels: map[string]string{"app": service, "shard": shard},
	})
}

func (f *fleet) daemon(n int) {
	ip := fmt.Sprint(f.net, 100+n)
	settings := fmt.Sprintf(`{
		"name": "entry-%d", "failureDomain": %q, "region": %q, // one of three
		"callers": "%[4]s:7000", "peers": "%[4]s:7001", "operators": "%[4]s:7002", "platform": "http://%[5]s"
	}`, n, fleetDomains[n][0], fleetDomains[n][1], ip, f.platform)
	file := filepath.Join(f.programs, fmt.Sprint("entry-", n, ".jsonc"))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.start(fmt.Sprint("entry-", n), "fuchsiastile", "serve", "-settings", file)
	f.daemons = append(f.daemons, ip+":7000")
	f.operators = append(f.operators, ip+":7002")
	f.list(declarer.VM{
		Name: fmt.Sprint("entry-", n), Address: ip + ":7001", FailureDomain: fleetDomains[n][0], Region: fleetDomains[n][1],
		State: declarer.VMLive, Labels: map[string]string{declarer.RoleLabel: declarer.RoleEntry},
	})
}

// list puts a VM on the platform's list.
func (f *fleet) list(vm declarer.VM) {
	eventually(f.t, "the platform takes "+vm.Name, func() bool { return f.put(f.platform, "/vms/"+vm.Name, vm) == nil })
}

func (f *fleet) put(address, path string, v any) error {
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

// apply brings declarations and indexes into force by the command line.
func (f *fleet) apply() error {
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
		if err := f.applyDocument(document, content); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) applyDocument(document string, content []byte) error {
	file := filepath.Join(f.programs, document)
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	out, err := exec.Command(filepath.Join(f.programs, "fuchsiastile"), "apply", "-platform", "http://"+f.platform, "-document", document, file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return nil
}

// ran asks the searchers of a service how often each ticket ran.
func (f *fleet) ran(service string) map[string]int {
	out := map[string]int{}
	for name, address := range f.searchers {
		if !strings.HasPrefix(name, service) {
			continue
		}
		response, err := http.Get("http://" + address + "/facts")
		if err != nil {
			f.t.Fatal(err)
		}
		var facts emulator.SearcherStats
		err = json.NewDecoder(response.Body).Decode(&facts)
		_ = response.Body.Close()
		if err != nil {
			f.t.Fatal(err)
		}
		for key, n := range facts.Runs {
			ticket, _, _ := strings.Cut(key, "/")
			out[ticket] += n
		}
	}
	return out
}

// book makes bookings through one daemon and asks each again through the others.
func (f *fleet) book(said *outcomes, worker, n int) {
	clients := make([]*caller.Client, len(f.daemons))
	for i := range f.daemons {
		clients[i] = caller.New("http://"+f.daemons[(worker+i)%len(f.daemons)], &http.Client{Timeout: 3 * time.Second})
	}
	ticket, err := clients[0].Ticket(context.Background())
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	request := caller.Request{Service: "bookings", Class: "booking", Key: fmt.Sprint(worker, n), Ticket: ticket, Body: []byte(`{}`)}
	for _, client := range clients {
		answer, _ := client.Submit(context.Background(), request)
		said.add(ticket, answer.Outcome)
	}
}

// TestKillsAndFreezesOfProcesses kills and freezes real processes, alone and in
// pairs, while searches and bookings go on, and compares what callers were told
// with what the servers really did.
func TestKillsAndFreezesOfProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	said := &outcomes{by: map[string][]caller.Outcome{}}
	stopBooking := background(9, func(worker, n int) { f.book(said, worker, n) })
	stopSearching := background(3, func(worker, _ int) {
		client := caller.New("http://"+f.daemons[worker], &http.Client{Timeout: 3 * time.Second})
		answer, err := client.Search(context.Background(), search("parts-finder"))
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			return
		}
		checkAnswer(t, answer, map[string]int{emulator.InitialSnapshot: 2})
	})
	freeze := func(span time.Duration, names ...string) {
		for _, name := range names {
			f.signal(name, syscall.SIGSTOP)
		}
		time.Sleep(span)
		for _, name := range names {
			f.signal(name, syscall.SIGCONT)
		}
		time.Sleep(300 * time.Millisecond)
	}
	freeze(time.Second, "entry-0")
	freeze(time.Second, "bookings-s000-0")
	freeze(6*time.Second, "entry-1", "platform") // long enough to be held dead
	freeze(time.Second, "entry-0", "bookings-s000-1")
	is.NoErr(f.put(f.searchers["bookings-s000-2"], "/faults", emulator.SearcherFaults{LoseReplies: true}))
	freeze(time.Second, "entry-2")
	f.signal("parts-finder-s000-0", syscall.SIGKILL)
	f.signal("entry-2", syscall.SIGKILL)
	freeze(time.Second, "entry-1")
	stopBooking()
	stopSearching()
	// What was frozen may still send what it had queued.
	time.Sleep(time.Second)
	counts := said.check(t, f.ran("bookings"))
	is.True(counts[caller.OutcomeAnswered] > 0)
	is.True(counts[caller.OutcomeUnknown] > 0)
	answer, err := caller.New("http://"+f.daemons[0], &http.Client{}).Search(t.Context(), search("parts-finder"))
	is.NoErr(err)
	is.Equal(answer.Coverage.Fraction, 1.0)
}

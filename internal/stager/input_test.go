package stager_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/daemon"
	"github.com/fuchsiastile/fuchsiastile/internal/dialer"
	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/loader"
	"github.com/fuchsiastile/fuchsiastile/internal/operator"
	"github.com/fuchsiastile/fuchsiastile/pkg/caller"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// TestInvalidRequestsAreRejected sends invalid requests to a daemon. It must reject
// each with a problem document that names the fault and states that the request was
// not run, and must keep serving.
func TestInvalidRequestsAreRejected(t *testing.T) {
	t.Parallel()
	cluster := startCluster(t, 1, nil)
	base := "http://" + cluster.Daemons[0].Settings().CallerAddress
	for name, c := range map[string]struct {
		path, class, deadline, ticket, body string
		status                              int
		wantDetail                          string
	}{
		"unknown class":      {"/v1/search/parts-finder", "vna", "", "", `{}`, 400, `no class \"vna\" is declared`},
		"unknown service":    {"/v1/search/parts", "van", "", "", `{}`, 404, `no service \"parts\" is declared`},
		"malformed body":     {"/v1/search/parts-finder", "van", "", "", `{`, 400, "no JSON value"},
		"oversized body":     {"/v1/search/parts-finder", "van", "", "", `"` + strings.Repeat("x", 70_000) + `"`, 413, "65536 bytes"},
		"past deadline":      {"/v1/search/parts-finder", "van", "-5ms", "", `{}`, 400, "has passed already"},
		"malformed deadline": {"/v1/search/parts-finder", "van", "soon", "", `{}`, 400, "no time span"},
		"no ticket":          {"/v1/once/bookings/7", "booking", "", "", `{}`, 428, "needs a ticket"},
		"forged ticket":      {"/v1/once/bookings/7", "booking", "", "t1.AAAA", `{}`, 400, "too short"},
		"search for a once":  {"/v1/search/bookings", "booking", "", "", `{}`, 400, "not idempotent"},
		"once for a search":  {"/v1/once/parts-finder/7", "van", "", "", `{}`, 400, "is idempotent"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, err := http.NewRequest(http.MethodPost, base+c.path, strings.NewReader(c.body))
			is.NoErr(err)
			for header, value := range map[string]string{caller.HeaderClass: c.class, caller.HeaderDeadline: c.deadline, caller.HeaderTicket: c.ticket} {
				if value != "" {
					r.Header.Set(header, value)
				}
			}
			response, err := http.DefaultClient.Do(r)
			is.NoErr(err)
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
			if !strings.Contains(string(body), c.wantDetail) || !strings.Contains(string(body), `"outcome":"notRun"`) {
				t.Errorf("response %s does not contain %q with outcome notRun", body, c.wantDetail)
			}
		})
	}
	is := is.New(t)
	_, err := cluster.Client(0).Search(t.Context(), searchRequest("parts-finder"))
	is.NoErr(err)
}

// TestPortInUseAndPlatformUnreachable checks the error of a daemon whose port is in
// use, and that a daemon without platform or peers reports why it is not ready.
func TestPortInUseAndPlatformUnreachable(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	settings := loader.Default()
	settings.Name, settings.FailureDomain, settings.Region = "x", "d", "r"
	settings.CallerAddress, settings.PeerAddress, settings.OperatorAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Platform = "http://127.0.0.1:1" // nothing listens on port 1
	d, err := daemon.New(settings, dialer.System())
	is.NoErr(err)
	runErr := make(chan error, 1)
	go func() { runErr <- d.Run() }()

	settings.CallerAddress = d.Settings().CallerAddress
	_, err = daemon.New(settings, dialer.System())
	is.True(failer.Is(err, daemon.KindListen))

	statuses, err := operator.Status(t.Context(), []string{d.Settings().OperatorAddress})
	is.NoErr(err)
	is.True(!statuses[0].Ready)
	is.True(strings.Contains(strings.Join(statuses[0].NotReady, "\n"), "no declarations yet"))
	d.Kill()
	is.NoErr(ignoreClosedErrors(<-runErr))
}

// ignoreClosedErrors returns nil for the errors that closed sockets cause on Kill.
func ignoreClosedErrors(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func TestOperatorUnmatchedLabelAndDiff(t *testing.T) {
	is := is.New(t)
	d := declarer.Declarations{
		Services:     []declarer.Service{{Name: "a", Selector: "app=a", Labels: map[string]string{"kind": "x"}}, {Name: "b", Selector: "app=b"}},
		TrafficRules: []declarer.TrafficRule{{Name: "r", Selector: "kind=y"}},
	}
	d, err := operator.SetLabels(d, "", "vm-1", map[string]string{"app": "a"})
	is.NoErr(err)
	is.Equal(operator.UnmatchedSelectors(d, []declarer.VM{{Name: "vm-1"}}), []string{
		`service "b": selector "app=b" matches no backend server`,
		`traffic rule "r": selector "kind=y" matches no service`,
	})
	_, err = operator.SetLabels(d, "c", "", map[string]string{"app": "a"})
	is.True(err != nil)
	is.Equal(operator.Diff([]byte(`{"a":1,"b":2}`), []byte(`{"a":1,"b":3,"c":4}`)), []string{`-  "b": 2`, `+  "b": 3,`, `+  "c": 4`})
	is.Equal(operator.Diff([]byte(`{"a":1}`), []byte(`{"a":1}`)), nil)
}

// Package loader reads and validates the settings of a daemon, which are JSON with
// comments.
package loader

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
	"github.com/fuchsiastile/fuchsiastile/internal/picker"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Route is the path that requests take from an entry daemon to a searcher.
type Route string

// The routes. RouteGateway and RouteDirect serve as baselines for comparison.
const (
	// RouteAuto connects directly if the daemon is in the searcher's gateway set,
	// and through a gateway otherwise.
	RouteAuto Route = "auto"
	// RouteGateway always uses a gateway that is another daemon.
	RouteGateway Route = "gateway"
	// RouteDirect connects every daemon to every searcher, including those in other
	// failure domains.
	RouteDirect Route = "direct"
	// RouteOwner sends all requests for a searcher through the one daemon that owns
	// its queue.
	RouteOwner Route = "owner"
)

// Policy selects between the policies of the daemon and the baselines that they
// are compared with.
type Policy struct {
	Route   Route         `json:"route"`
	Replica picker.Policy `json:"replica"`
	// Hedge enables hedged requests to slow shards.
	Hedge bool `json:"hedge"`
	// RetryBudget limits hedges and retries to the declared fraction of requests.
	RetryBudget bool `json:"retryBudget"`
	// AdaptiveConcurrency adapts the concurrency limit of a searcher to the
	// requests that it sheds.
	AdaptiveConcurrency bool `json:"adaptiveConcurrency"`
	// AdmissionGate rejects whole requests under overload, lowest priority first.
	AdmissionGate bool `json:"admissionGate"`
	// QueueLimit is the maximum number of requests that a gateway queues for one
	// searcher.
	QueueLimit int `json:"queueLimit"`
}

// Shutdown configures the steps of a graceful shutdown.
type Shutdown struct {
	// ReadinessDelay is how long the daemon continues to serve after it reports
	// that it is not ready, so that load balancers can remove it first.
	ReadinessDelay declarer.Duration `json:"leaveBalancer"`
	// DrainTimeout limits the wait for requests in flight.
	DrainTimeout declarer.Duration `json:"finish"`
}

// Tickets limits the table of idempotency tickets.
type Tickets struct {
	Lifetime declarer.Duration `json:"lifetime"`
	Capacity int               `json:"capacity"`
}

// TLS names the files of the certificate with which a daemon authenticates to
// other daemons.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority is the file of the CA certificate, whose key signs the
	// certificates of all daemons.
	Authority string `json:"authority"`
}

// Settings is the content of a settings file.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Tier is the name shared by all daemons of one tier. A daemon ignores
	// membership messages of other tiers, which it can receive if their machines
	// take over the addresses of its seeds.
	Tier string `json:"tier"`
	// CallerAddress, PeerAddress and OperatorAddress are the IP addresses and ports
	// on which the daemon listens. PeerAddress is used over TCP and UDP.
	CallerAddress   string `json:"callers"`
	PeerAddress     string `json:"peers"`
	OperatorAddress string `json:"operators"`
	// Platform is the base URL of the Object API and the VM list.
	Platform string `json:"platform"`
	// Seeds are peer addresses of other daemons, used to start while the platform
	// is unavailable.
	Seeds    []string `json:"seeds,omitempty"`
	TLS      *TLS     `json:"tls,omitempty"`
	Policy   Policy   `json:"policy"`
	Shutdown Shutdown `json:"shutdown"`
	Tickets  Tickets  `json:"tickets"`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Tier: "fuchsiastile",
		Policy: Policy{
			Route:               RouteAuto,
			Replica:             picker.PolicyLoadAware,
			Hedge:               true,
			RetryBudget:         true,
			AdaptiveConcurrency: true,
			AdmissionGate:       true,
			QueueLimit:          64,
		},
		Shutdown: Shutdown{
			ReadinessDelay: declarer.Duration(3 * time.Second),
			DrainTimeout:   declarer.Duration(10 * time.Second),
		},
		Tickets: Tickets{
			Lifetime: declarer.Duration(10 * time.Minute),
			Capacity: 100_000,
		},
	}
}

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, failer.Wrap("read settings", KindUnreadable, err)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. Errors name the source as file.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := declarer.Decode(file, data, &s); err != nil {
		return Settings{}, failer.Wrap("read settings", KindInvalid, err)
	}
	if err := s.Validate(); err != nil {
		return Settings{}, failer.Wrap("check "+file, KindInvalid, err)
	}
	return s, nil
}

// Validate validates the settings and returns all errors, joined.
func (s Settings) Validate() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	require(s.Name != "", "name is missing; it must be the name of the VM on the platform's list")
	require(s.FailureDomain != "", "failureDomain is missing")
	require(s.Region != "", "region is missing")
	require(s.Tier != "", "tier is missing; it must be the same for all daemons of one tier")
	for field, address := range map[string]string{"callers": s.CallerAddress, "peers": s.PeerAddress, "operators": s.OperatorAddress} {
		require(isAddress(address), "%s: %q is not an IP address with a port, such as 192.0.2.1:7000", field, address)
	}
	for i, seed := range s.Seeds {
		require(isAddress(seed), "seeds[%d]: %q is not an IP address with a port", i, seed)
	}
	u, err := url.Parse(s.Platform)
	require(err == nil && u.Scheme != "" && u.Host != "", "platform: %q is not a URL with scheme and host, such as http://192.0.2.1:9000", s.Platform)
	errs = append(errs, s.Policy.validate()...)
	require(s.Shutdown.ReadinessDelay >= 0 && s.Shutdown.DrainTimeout > 0, "shutdown: leaveBalancer must not be negative and finish must be above 0")
	require(s.Tickets.Lifetime > 0 && s.Tickets.Capacity > 0, "tickets: lifetime and capacity must be above 0")
	require(s.TLS == nil || s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != "", "tls: certificate, key and authority are all required")
	return errors.Join(errs...)
}

// validate returns all errors of the policy.
func (p Policy) validate() []error {
	var errs []error
	switch p.Route {
	case RouteAuto, RouteGateway, RouteDirect, RouteOwner:
	default:
		errs = append(errs, fmt.Errorf("policy.route: %q must be auto, gateway, direct or owner", p.Route))
	}
	if p.Replica != picker.PolicyLoadAware && p.Replica != picker.PolicyRandom {
		errs = append(errs, fmt.Errorf("policy.replica: %q must be loadAware or random", p.Replica))
	}
	if p.QueueLimit < 1 {
		errs = append(errs, errors.New("policy.queueLimit must be above 0"))
	}
	return errs
}

// isAddress reports whether text is an IP address with a port.
func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

// Package loader reads the settings of a daemon: JSON with comments, strictly checked.
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

// Kind is the kind of an Error.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreadable Kind = "unreadable"
	KindInvalid    Kind = "invalid"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Route names a way from an entry to a searcher.
type Route string

// The routes; gateway and direct are kept as baselines.
const (
	// RouteAuto dials directly where the daemon is in the gateway set, else through a gateway.
	RouteAuto Route = "auto"
	// RouteGateway always sends through a gateway that is another daemon.
	RouteGateway Route = "gateway"
	// RouteDirect lets every daemon dial every searcher, in other failure domains, too.
	RouteDirect Route = "direct"
	// RouteOwner sends everything for a searcher through the one daemon that owns its queue.
	RouteOwner Route = "owner"
)

// Policy is the choice between the policies and their baselines.
type Policy struct {
	Route   Route         `json:"route"`
	Replica picker.Policy `json:"replica"`
	// Hedge turns second attempts at slow shards on.
	Hedge bool `json:"hedge"`
	// RetryBudget keeps hedges and retries within the declared share.
	RetryBudget bool `json:"retryBudget"`
	// AdaptiveConcurrency bounds requests at a searcher by what it sheds.
	AdaptiveConcurrency bool `json:"adaptiveConcurrency"`
	// AdmissionGate refuses whole requests, lowest priority first, under overload.
	AdmissionGate bool `json:"admissionGate"`
	// QueueLimit is how many requests wait at a gateway for one searcher.
	QueueLimit int `json:"queueLimit"`
}

// Shutdown bounds the steps of a planned stop.
type Shutdown struct {
	// ReadinessDelay is how long the daemon goes on serving after it says that it is not ready.
	ReadinessDelay declarer.Duration `json:"leaveBalancer"`
	// DrainTimeout bounds the wait for requests in flight.
	DrainTimeout declarer.Duration `json:"finish"`
}

// Tickets bounds the table of non-idempotent requests.
type Tickets struct {
	Lifetime declarer.Duration `json:"lifetime"`
	Capacity int               `json:"capacity"`
}

// TLS names the files of the certificate that daemons show each other.
type TLS struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// Authority signs the certificates of all daemons.
	Authority string `json:"authority"`
}

// Settings is everything that a daemon learns from its file.
type Settings struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Tier is shared by all daemons that form one tier; a daemon ignores the
	// membership of others, whose machines may have had its seeds' addresses.
	Tier string `json:"tier"`
	// CallerAddress, Peers and Operators are IP addresses with ports to listen on.
	// Peers is used over TCP and UDP.
	CallerAddress   string `json:"callers"`
	PeerAddress     string `json:"peers"`
	OperatorAddress string `json:"operators"`
	// Platform is the base URL of the Object API and the VM list.
	Platform string `json:"platform"`
	// Seeds are peer addresses of other daemons, for a start while the platform is away.
	Seeds    []string `json:"seeds,omitempty"`
	TLS      *TLS     `json:"tls,omitempty"`
	Policy   Policy   `json:"policy"`
	Shutdown Shutdown `json:"shutdown"`
	Tickets  Tickets  `json:"tickets"`
}

// Default returns the settings that a file starts from.
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

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, failer.Wrap("read settings", KindUnreadable, err)
	}
	return Parse(file, data)
}

// Parse reads and checks settings; file names the source in errors.
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

// Validate returns every fault of the settings, joined.
func (s Settings) Validate() error {
	var faults []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Errorf(format, args...))
		}
	}
	require(s.Name != "", "name is missing; give the VM's name on the platform's list")
	require(s.FailureDomain != "", "failureDomain is missing")
	require(s.Region != "", "region is missing")
	require(s.Tier != "", "tier is missing; give all daemons of one tier the same name")
	for field, address := range map[string]string{"callers": s.CallerAddress, "peers": s.PeerAddress, "operators": s.OperatorAddress} {
		require(isAddress(address), "%s: %q is no IP address with a port, such as 192.0.2.1:7000", field, address)
	}
	for i, seed := range s.Seeds {
		require(isAddress(seed), "seeds[%d]: %q is no IP address with a port", i, seed)
	}
	u, err := url.Parse(s.Platform)
	require(err == nil && u.Scheme != "" && u.Host != "", "platform: %q is no URL, such as http://192.0.2.1:9000", s.Platform)
	faults = append(faults, s.Policy.check()...)
	require(s.Shutdown.ReadinessDelay >= 0 && s.Shutdown.DrainTimeout > 0, "shutdown: leaveBalancer must not be negative and finish must be above 0")
	require(s.Tickets.Lifetime > 0 && s.Tickets.Capacity > 0, "tickets: lifetime and capacity must be above 0")
	require(s.TLS == nil || s.TLS.Certificate != "" && s.TLS.Key != "" && s.TLS.Authority != "", "tls: certificate, key and authority are all needed")
	return errors.Join(faults...)
}

func (p Policy) check() []error {
	var faults []error
	switch p.Route {
	case RouteAuto, RouteGateway, RouteDirect, RouteOwner:
	default:
		faults = append(faults, fmt.Errorf("policy.route: %q is none of auto, gateway, direct, owner", p.Route))
	}
	if p.Replica != picker.PolicyLoadAware && p.Replica != picker.PolicyRandom {
		faults = append(faults, fmt.Errorf("policy.replica: %q is none of loadAware, random", p.Replica))
	}
	if p.QueueLimit < 1 {
		faults = append(faults, errors.New("policy.queueLimit must be above 0"))
	}
	return faults
}

func isAddress(text string) bool {
	host, _, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil
}

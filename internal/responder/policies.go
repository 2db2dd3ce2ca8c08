package responder

import (
	"slices"
	"strings"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind classifies an Error.
type Kind string

// KindUnknownPolicy means that a policy name is unknown.
const KindUnknownPolicy Kind = "unknownPolicy"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Policy is a latency or load policy that can be disabled, so that its effect can
// be measured.
type Policy string

// The policies.
const (
	// PolicyHedge sends a second request to another replica of a slow shard.
	PolicyHedge Policy = "hedge"
	// PolicyEarlyHedge shortens the hedge delay if the hedge's reply would otherwise
	// miss the latency objective.
	PolicyEarlyHedge Policy = "earlyHedge"
	// PolicyPartialResponse responds with partial results shortly before the latency
	// objective if the needed number of shards has replied.
	PolicyPartialResponse Policy = "thin"
	// PolicySkipUnresponsive does not wait for shards whose replicas are all
	// unresponsive, ejected or draining.
	PolicySkipUnresponsive Policy = "hopeless"
	// PolicyLoadAware picks the replica with the lowest expected latency instead of
	// a random one.
	PolicyLoadAware Policy = "loadAware"
	// PolicySubsetting restricts each daemon to a subset of the replicas if the
	// searchers' connection limits are too low for all daemons.
	PolicySubsetting Policy = "reach"
	// PolicyPreconnect opens connections before they are needed if the connection
	// limits allow it.
	PolicyPreconnect Policy = "warm"
	// PolicySharedObservations combines the daemons' observations of searchers if
	// each daemon uses only some of the replicas.
	PolicySharedObservations Policy = "sharedObservations"
)

// Policies returns all policies.
func Policies() []Policy {
	return []Policy{PolicyHedge, PolicyEarlyHedge, PolicyPartialResponse, PolicySkipUnresponsive, PolicyLoadAware, PolicySubsetting, PolicyPreconnect, PolicySharedObservations}
}

// ParsePolicies parses a list of policy names separated by commas or spaces.
func ParsePolicies(list string) ([]Policy, error) {
	var out []Policy
	for _, name := range strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' }) {
		if !slices.Contains(Policies(), Policy(name)) {
			return nil, failer.New("parse policies", KindUnknownPolicy, "unknown policy %q; valid policies: %v", name, Policies())
		}
		out = append(out, Policy(name))
	}
	return out, nil
}

func (r *Responder) isEnabled(p Policy) bool { return !slices.Contains(r.config.DisabledPolicies, p) }

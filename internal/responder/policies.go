package responder

import (
	"slices"
	"strings"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind is the kind of an Error.
type Kind string

// KindUnknownPolicy means that a policy is named that there is none of.
const KindUnknownPolicy Kind = "unknownPolicy"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Policy is a way of serving under load that can be switched off, so that what
// it gains can be measured.
type Policy string

// The policies.
const (
	// PolicyHedge asks a second replica of a slow shard.
	PolicyHedge Policy = "hedge"
	// PolicyEarlyHedge hedges earlier where the second answer would come too late
	// for the objective.
	PolicyEarlyHedge Policy = "earlyHedge"
	// PolicyPartialResponse answers with the needed shards when the objective is near.
	PolicyPartialResponse Policy = "thin"
	// PolicySkipUnresponsive does not wait for shards whose replicas are all dark.
	PolicySkipUnresponsive Policy = "hopeless"
	// PolicyLoadAware picks the replica with the least expected time, not any.
	PolicyLoadAware Policy = "loadAware"
	// PolicySubsetting keeps daemons to a part of the replicas where connections are few.
	PolicySubsetting Policy = "reach"
	// PolicyPreconnect opens connections ahead of use where there are enough.
	PolicyPreconnect Policy = "warm"
)

// Policies lists all of them.
func Policies() []Policy {
	return []Policy{PolicyHedge, PolicyEarlyHedge, PolicyPartialResponse, PolicySkipUnresponsive, PolicyLoadAware, PolicySubsetting, PolicyPreconnect}
}

// ParsePolicies reads a list with commas.
func ParsePolicies(list string) ([]Policy, error) {
	var out []Policy
	for _, name := range strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' }) {
		if !slices.Contains(Policies(), Policy(name)) {
			return nil, failer.New("read policies", KindUnknownPolicy, "%q is none of %v", name, Policies())
		}
		out = append(out, Policy(name))
	}
	return out, nil
}

// has reports whether a policy is in force.
func (r *Responder) has(p Policy) bool { return !slices.Contains(r.config.DisabledPolicies, p) }

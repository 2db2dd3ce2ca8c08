package responder

import (
	"slices"
	"strings"

	"github.com/fuchsiastile/fuchsiastile/internal/failer"
)

// Kind is the kind of an Error.
type Kind string

// KindPolicy means that a policy is named that there is none of.
const KindPolicy Kind = "unknownPolicy"

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
	// PolicyThin answers with the needed shards when the objective is near.
	PolicyThin Policy = "thin"
	// PolicyHopeless does not wait for shards whose replicas are all dark.
	PolicyHopeless Policy = "hopeless"
	// PolicyLoadAware picks the replica with the least expected time, not any.
	PolicyLoadAware Policy = "loadAware"
	// PolicyReach keeps daemons to a part of the replicas where connections are few.
	PolicyReach Policy = "reach"
	// PolicyWarm opens connections ahead of use where there are enough.
	PolicyWarm Policy = "warm"
)

// Policies lists all of them.
func Policies() []Policy {
	return []Policy{PolicyHedge, PolicyEarlyHedge, PolicyThin, PolicyHopeless, PolicyLoadAware, PolicyReach, PolicyWarm}
}

// ParsePolicies reads a list with commas.
func ParsePolicies(list string) ([]Policy, error) {
	var out []Policy
	for _, name := range strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' }) {
		if !slices.Contains(Policies(), Policy(name)) {
			return nil, failer.New("read policies", KindPolicy, "%q is none of %v", name, Policies())
		}
		out = append(out, Policy(name))
	}
	return out, nil
}

// has reports whether a policy is in force.
func (r *Responder) has(p Policy) bool { return !slices.Contains(r.config.Without, p) }

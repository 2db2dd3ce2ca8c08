package responder_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/responder"
)

// TestParsePolicies: the list that switches policies off names known ones only.
func TestParsePolicies(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	none, err := responder.ParsePolicies("")
	is.NoErr(err)
	is.Equal(len(none), 0)
	two, err := responder.ParsePolicies("hedge, thin")
	is.NoErr(err)
	is.Equal(two, []responder.Policy{responder.PolicyHedge, responder.PolicyPartialResponse})
	_, err = responder.ParsePolicies("hedge,haste")
	is.True(err != nil && strings.Contains(err.Error(), `"haste" is none of [hedge earlyHedge`))
}

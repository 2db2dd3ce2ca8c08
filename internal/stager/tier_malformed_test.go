package stager_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/internal/emulator"
	"github.com/fuchsiastile/fuchsiastile/internal/stager"
	"github.com/fuchsiastile/fuchsiastile/platform"
)

// malformedReplies are the faults of searchers whose replies are no valid HTTP, and whose
// connections stay open.
var malformedReplies = map[string]emulator.BackendFaults{
	"status 000": {StatusCode: "000"},
	"status 099": {StatusCode: "099"},
	"status 999": {StatusCode: "999"},

	"blank in a name":      {HeaderLine: "X Filler: 1"},
	"blank after a name":   {HeaderLine: "X-Filler : 1"},
	"blank before a name":  {HeaderLine: " X-Filler: 1"},
	"tab in a name":        {HeaderLine: "X\tFiller: 1"},
	"control byte in name": {HeaderLine: "X\x01Filler: 1"},
	"no name":              {HeaderLine: ": 1"},
	"body framed wrongly":  {HeaderLine: "Content-Length : 400", Unframed: true, Extra: true},
}

// TestTierForwardsNoMalformedReplies checks that a malformed reply fails its attempt at
// once: it is neither forwarded nor waited for, and a sound replica takes its place where
// the request may run twice.
func TestTierForwardsNoMalformedReplies(t *testing.T) {
	t.Parallel()
	for name, faults := range malformedReplies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tier := newTier(t, nil)
			for shard := range tier.Config.Shards {
				backendsOf(tier, stager.ShardServiceName(shard))[0].SetFaults(faults)
			}
			for daemon := range tier.Daemons {
				id, reply := sendRequest(t, tier, daemon, stager.ScatterGatherPath+"x")
				checkScatterGather(t, tier, id, reply, 0)
			}
			for _, b := range backendsOf(tier, singles) {
				b.SetFaults(faults)
			}
			for _, path := range []string{stager.AtMostOncePath, stager.SinglePath} {
				id, reply := sendRequest(t, tier, 0, path+"x")
				is.Equal(reply.Status, http.StatusBadGateway)
				is.Equal(platform.ServerStamp(reply.Header), "")
				is.True(runCount(tier, id) > 0)
				is.True(reply.Latency < time.Second) // the caller's deadline is 2 s
			}
		})
	}
}

package configurator_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
)

// init fixes the random seed to make runs reproducible.
func init() { _ = flag.Set("rapid.seed", "1") }

func newDocument(generation uint64, writer int) configurator.Document {
	content := []byte(fmt.Sprint(generation, "/", writer))
	return configurator.Document{Name: "d", Generation: generation, Digest: configurator.Digest(content), Content: content}
}

// TestRegistriesConverge offers documents to three registries in random order, as the
// model spec/config.pml does. No registry may go back to a lower generation, and
// registries that have been offered the same documents must agree.
func TestRegistriesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*configurator.Registry{configurator.New(nil), configurator.New(nil), configurator.New(nil)}
		var offered []configurator.Document
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				d := newDocument(uint64(rapid.IntRange(1, 6).Draw(t, "generation")), rapid.IntRange(0, 1).Draw(t, "writer"))
				r := rapid.SampledFrom(registries).Draw(t, "registry")
				before := r.InForce("d")
				r.Offer(d)
				after := r.InForce("d")
				if after.Generation < before.Generation {
					t.Fatalf("generation went back from %d to %d", before.Generation, after.Generation)
				}
				offered = append(offered, d)
			},
			"corrupt": func(t *rapid.T) {
				d := newDocument(9, 0)
				d.Content = append(d.Content, '!')
				if rapid.SampledFrom(registries).Draw(t, "registry").Offer(d) != configurator.Corrupt {
					t.Fatalf("document with a wrong digest was not rejected as corrupt")
				}
			},
		})
		for _, r := range registries {
			for _, d := range offered {
				r.Offer(d)
			}
			if r.InForce("d").Digest != registries[0].InForce("d").Digest {
				t.Fatalf("registries hold different documents after the same offers")
			}
		}
	})
}

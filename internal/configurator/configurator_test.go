package configurator_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fuchsiastile/fuchsiastile/internal/configurator"
)

// init fixes the seed, so that every run takes the same steps.
func init() { _ = flag.Set("rapid.seed", "1") }

func document(generation uint64, writer int) configurator.Document {
	content := []byte(fmt.Sprint(generation, "/", writer))
	return configurator.Document{Name: "d", Generation: generation, Digest: configurator.Digest(content), Content: content}
}

// TestRegistersAgree offers documents to three registers in any order, from
// anywhere, as spec/config.pml does: none ever falls back, and all that have
// been offered everything agree.
func TestRegistersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registers := []*configurator.Registry{configurator.New(nil), configurator.New(nil), configurator.New(nil)}
		var offered []configurator.Document
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				d := document(uint64(rapid.IntRange(1, 6).Draw(t, "generation")), rapid.IntRange(0, 1).Draw(t, "writer"))
				r := rapid.SampledFrom(registers).Draw(t, "register")
				before := r.InForce("d")
				r.Offer(d)
				after := r.InForce("d")
				if after.Generation < before.Generation {
					t.Fatalf("fell from %d to %d", before.Generation, after.Generation)
				}
				offered = append(offered, d)
			},
			"corrupt": func(t *rapid.T) {
				d := document(9, 0)
				d.Content = append(d.Content, '!')
				if rapid.SampledFrom(registers).Draw(t, "register").Offer(d) != configurator.Corrupt {
					t.Fatalf("corrupt content was taken")
				}
			},
		})
		for _, r := range registers {
			for _, d := range offered {
				r.Offer(d)
			}
			if r.InForce("d").Digest != registers[0].InForce("d").Digest {
				t.Fatalf("registers disagree")
			}
		}
	})
}

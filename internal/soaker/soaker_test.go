package soaker_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/fuchsiastile/fuchsiastile/internal/soaker"
)

// seeds run in CI. Add every seed that has ever failed, with a comment on the cause.
var seeds = []uint64{
	1, 2, // a stop discarded requests that it had read
	3, // the same, and the sweep of idle connections closed one while a head was arriving
}

func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "fuchsiastile")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/fuchsiastile").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			directory, err := os.MkdirTemp("", "soak-")
			if err != nil {
				t.Fatal(err)
			}
			report, err := soaker.Run(t.Context(), soaker.Config{
				Program: program, Directory: directory, Seed: seed, Rounds: 1, DaemonsPerDomain: 2, Log: os.Stdout,
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d requests on kept connections, %d lost; %d lost on new ones", report.Kept, report.KeptLost, report.NewLost)
			for _, text := range report.Violations {
				t.Error(text)
			}
			if t.Failed() {
				t.Log("logs are kept in ", directory)
				return
			}
			_ = os.RemoveAll(directory)
		})
	}
}

package emulator

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// TestLoweredLagKeepsNewestList checks that a VM list which waits for a long lag does
// not replace a newer one that was published after a shorter lag.
func TestLoweredLagKeepsNewestList(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const lag = 50 * time.Millisecond
	p := NewPlatform()
	p.SetFaults(PlatformFaults{ListLagMillis: int(lag.Milliseconds())})
	p.SetVM(declarer.VM{Name: "first"})
	p.SetFaults(PlatformFaults{})
	p.SetVM(declarer.VM{Name: "second"})
	time.Sleep(4 * lag)
	p.mu.Lock()
	defer p.mu.Unlock()
	is.Equal(len(p.published.VMs), 2)
}

package relayer

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fuchsiastile/fuchsiastile/examples"
	"github.com/fuchsiastile/fuchsiastile/internal/packer"
	"github.com/fuchsiastile/fuchsiastile/pkg/declarer"
)

// vmList returns an encoded VM list with the given numbers of searchers and daemons.
func vmList(searchers, daemons int) []byte {
	var list declarer.VMList
	for n := range searchers + daemons {
		vm := declarer.VM{
			Name: fmt.Sprintf("vm-%05d", n), Address: fmt.Sprintf("10.%d.%d.%d:9100", n%7, n/250, n%250),
			FailureDomain: fmt.Sprint("domain-", n%7), Region: fmt.Sprint("region-", n%2), State: declarer.VMLive,
			Labels: map[string]string{"app": fmt.Sprint("service-", n/570), "shard": fmt.Sprintf("s%03d", n%190)},
		}
		if n >= searchers {
			vm.Labels = map[string]string{declarer.RoleLabel: declarer.RoleEntry}
		}
		list.VMs = append(list.VMs, vm)
	}
	data, _ := json.Marshal(list)
	return data
}

func TestCompressDecompressRoundTrip(t *testing.T) {
	is := is.New(t)
	list := vmList(30, 3)
	compressed, err := packer.Compress(list)
	is.NoErr(err)
	got, err := packer.Decompress(compressed)
	is.NoErr(err)
	is.Equal(got, list)
	_, err = packer.Decompress([]byte("rubbish"))
	is.True(err != nil)
}

// BenchmarkVMList measures the time to decompress and decode a VM list of the design
// size (3400 searchers and 520 daemons). It reports the list's compressed size, as
// peers send it, and that of the declarations.
func BenchmarkVMList(b *testing.B) {
	compressed, _ := packer.Compress(vmList(3400, 520))
	for b.Loop() {
		content, _ := packer.Decompress(compressed)
		var list declarer.VMList
		_ = json.Unmarshal(content, &list)
	}
	b.ReportMetric(float64(len(compressed)), "B-packed")
	declarations, _ := packer.Compress(examples.Olwyn)
	b.ReportMetric(float64(len(declarations)), "B-declarations")
}

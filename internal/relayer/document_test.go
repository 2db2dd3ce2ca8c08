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

// vmList is the list of the size to design for.
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

func TestPackedDocumentSurvives(t *testing.T) {
	is := is.New(t)
	list := vmList(30, 3)
	packed, err := packer.Compress(list)
	is.NoErr(err)
	got, err := packer.Decompress(packed)
	is.NoErr(err)
	is.Equal(got, list)
	_, err = packer.Decompress([]byte("rubbish"))
	is.True(err != nil)
}

// BenchmarkVMList reports the size of the VM list as peers send it, and the
// time that a daemon takes to read it.
func BenchmarkVMList(b *testing.B) {
	packed, _ := packer.Compress(vmList(3400, 520))
	for b.Loop() {
		content, _ := packer.Decompress(packed)
		var list declarer.VMList
		_ = json.Unmarshal(content, &list)
	}
	b.ReportMetric(float64(len(packed)), "B-packed")
	declarations, _ := packer.Compress(examples.Olwyn)
	b.ReportMetric(float64(len(declarations)), "B-declarations")
}

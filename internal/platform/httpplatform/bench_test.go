package httpplatform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"geraniumcroft/internal/harness/standin/platformsim"
	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/platform/httpplatform"
)

// BenchmarkVMList measures the cost of reading the platform's list of VMs once, with the
// current 49 VMs and with the design size of 920, entry VMs and targets' VMs together. The
// result includes the server side.
func BenchmarkVMList(b *testing.B) {
	for _, c := range []struct{ entries, targets int }{{6, 43}, {320, 600}} {
		b.Run(fmt.Sprint(c.entries+c.targets), func(b *testing.B) {
			store := platformsim.NewStore()
			var vms []platform.VM
			for i := range c.entries + c.targets {
				vm := platform.VM{
					Name: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.0.%d.%d", i/200, i%200+1),
					DataCentre: "lima-surco", Role: "target", Since: time.Now(),
				}
				if i < c.entries {
					vm.Role, vm.PeerAddress = "entry", vm.Address+":7012"
				}
				vms = append(vms, vm)
			}
			store.SetVMs(vms...)
			server := httptest.NewServer(platformsim.NewServer(store))
			b.Cleanup(server.Close)
			client := httpplatform.New(httpplatform.Settings{BaseURL: server.URL})
			b.Cleanup(client.Close)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := client.VMs(context.Background()); err != nil {
					b.Fatal(err)
				}
			}
			body, _ := json.Marshal(httpplatform.VMsResponse{VMs: vms})
			b.ReportMetric(float64(len(body)), "bytes")
		})
	}
}

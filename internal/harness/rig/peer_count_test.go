package rig

import (
	"encoding/json"
	"net/http"
	"testing"
)

// Two VMs share the slots of a service, and the balancer of each must count both VMs.
// If each VM assumes that it is the only one, together they send more calls than the
// service has slots, and urgent calls wait in the service's own queue. This happened
// when the balancer was not informed of the other VM: with concurrent bulk calls,
// urgent calls took twice as long.
func TestEachVMKnowsHowManyShareTheTargets(t *testing.T) {
	f, ctx := newFleet(t, 2)
	for _, n := range f.Nodes {
		peers := 0
		for peers != 2 {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.AdminAddress()+"/admin/v1/dump", nil)
			must(t, err)
			request.Header.Set("Authorization", "Bearer "+AdminToken)
			response, err := http.DefaultClient.Do(request)
			must(t, err)
			var dump struct {
				Router struct {
					Targets struct {
						Peers int `json:"peers"`
					} `json:"targets"`
				} `json:"router"`
			}
			must(t, json.NewDecoder(response.Body).Decode(&dump))
			must(t, response.Body.Close())
			peers = dump.Router.Targets.Peers
		}
	}
}

package rig

import (
	"encoding/json"
	"net/http"
	"testing"
)

// Two VMs share a service's slots. Each has to know that there are two: VMs that
// each count as the only one fill the service beyond its slots, and urgent calls
// then wait in the service's own queue. It was so at first: urgent calls beside
// bulk took twice their time, as nothing told the balancer of the other VM.
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

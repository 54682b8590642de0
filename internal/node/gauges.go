package node

import (
	"time"

	"geraniumcroft/internal/sleep"
)

const gaugeInterval = 5 * time.Second

// setGauges keeps the metrics of states, which no event counts, up to date.
func (n *Node) setGauges() {
	for n.ctx.Err() == nil {
		n.setGaugesOnce()
		sleep.For(n.ctx, gaugeInterval)
	}
}

func (n *Node) setGaugesOnce() {
	held := 0
	for _, duty := range duties {
		if _, ok := n.leases.Held(duty); ok {
			held++
		}
	}
	gauges := map[string]float64{
		"ready":             asGauge(n.gate.Ready()),
		"requests_in_hand":  float64(n.router.InHand()),
		"config_version":    float64(n.store.InForceVersion()),
		"peers_serving":     float64(n.peers.PeerCount()),
		"platform_healthy":  asGauge(n.platform.Healthy()),
		"leases_held":       float64(held),
		"log_lines_dropped": float64(n.logDropped()),
	}
	for name, value := range gauges {
		n.metrics.Gauge(name).Update(value)
	}
}

func asGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

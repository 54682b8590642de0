package node

import (
	"time"

	"geraniumcroft/internal/sleep"
)

const gaugeInterval = 5 * time.Second

// updateGauges keeps the gauges of current state up to date, which no event changes.
func (n *Node) updateGauges() {
	for n.ctx.Err() == nil {
		n.updateGaugesOnce()
		sleep.For(n.ctx, gaugeInterval)
	}
}

func (n *Node) updateGaugesOnce() {
	held := 0
	for _, duty := range duties {
		if _, ok := n.leases.Held(duty); ok {
			held++
		}
	}
	gauges := map[string]float64{
		"ready":             boolGauge(n.gate.Ready()),
		"requests_in_hand":  float64(n.router.InHand()),
		"config_version":    float64(n.store.InForceVersion()),
		"peers_serving":     float64(n.peers.PeerCount()),
		"platform_healthy":  boolGauge(n.platform.Healthy()),
		"leases_held":       float64(held),
		"log_lines_dropped": float64(n.logDropped()),
	}
	for name, value := range gauges {
		n.metrics.Gauge(name).Update(value)
	}
}

func boolGauge(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

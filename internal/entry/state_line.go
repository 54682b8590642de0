package entry

import (
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

// stateInterval is the pause between two lines of a VM's state. A VM has no disk and its
// metrics may be read seldom, so what it counted is lost with it, but for what its last line
// says. A fleet of 320 writes 32 lines a second.
const stateInterval = 10 * time.Second

// tellState logs what this VM counts and believes, again and again.
func (p *Process) tellState() {
	for sleep.For(p.ctx, stateInterval) {
		p.logState()
	}
}

func (p *Process) logState() {
	p.Logger.Info("state", zap.Bool("ready", p.gate.Ready()), zap.Int("inHand", p.handler.InHand()),
		zap.Uint64("configVersion", p.view.configVersion()), zap.Duration("configAge", p.view.ConfigAge()), zap.Duration("replicasAge", p.view.replicas.Age()),
		zap.Duration("loadsAge", p.board.Age(p.started)), zap.Int("vms", len(p.census.VMs())), zap.Bool("followsFeed", p.followsFeed()),
		zap.Bool("holdsPlacement", p.Holds()), zap.Int("quarantined", p.quarantine.Counts(time.Now()).Quarantined), zap.Any("pushback", p.pushback.Dump(time.Now())), zap.Any("storeCalls", p.store.Counts()), zap.Uint64("heapBytes", heapBytes()),
		zap.Uint64("logLinesDropped", p.LogDropped()))
}

// heapBytes is the memory in objects, which is read without stopping the program.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

package entry

import (
	"runtime/metrics"
	"time"

	"go.uber.org/zap"

	"geraniumcroft/internal/sleep"
)

// stateLogInterval is the pause between two log lines of a VM's state. A VM has no disk and its
// metrics may be read seldom, so after its end only its last line shows its counters. A fleet of
// 320 VMs writes 32 lines a second.
const stateLogInterval = 10 * time.Second

// runStateLog logs this VM's counters and state every stateLogInterval until the process ends.
func (p *Process) runStateLog() {
	for sleep.For(p.ctx, stateLogInterval) {
		p.logState()
	}
}

func (p *Process) logState() {
	requests, parts := p.quarantine.Counts(time.Now())
	p.Logger.With(p.allocationFields()...).Info("state", zap.Bool("ready", p.gate.Ready()), zap.Int("inHand", p.handler.InHand()),
		zap.Uint64("configVersion", p.view.configVersion()), zap.Duration("configAge", p.view.ConfigAge()), zap.Duration("replicasAge", p.view.replicaTable.Age()),
		zap.Duration("loadsAge", p.loadCache.Age(p.started)), zap.Bool("cutOff", p.reach.CutOff()), zap.Int("passedOn", p.hopServer.Active()), zap.Int("vms", len(p.census.VMs())), zap.Bool("followsFeed", p.followsFeed()),
		zap.Bool("holdsPlacement", p.Holds()), zap.Int("quarantined", requests.Quarantined), zap.Int("partsQuarantined", parts.Quarantined), zap.Float64("processorPressure", p.processorLoad.Pressure()), zap.Uint64("connectionsDeclined", p.accepting.Declined()), zap.Any("pushback", p.pushback.Dump(time.Now())),
		zap.Any("retryBudgets", p.retryBudgets.Usage()), zap.Any("storeCalls", p.store.Counts()), zap.Uint64("heapBytes", heapBytes()), zap.Any("bodyMemory", p.handler.BodyMemory()),
		zap.Uint64("logLinesDropped", p.LogDropped()))
}

// heapBytes returns the memory in heap objects, 0 if it is not known. Reading it does not stop the
// program.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}

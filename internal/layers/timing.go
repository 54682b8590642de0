package layers

import (
	"time"

	"geraniumcroft/internal/capacity"
)

// pathTiming is the estimated time to the first event of a request on a path, from its send, and
// the mean time between two of its events.
type pathTiming struct {
	firstEvent time.Duration
	eventGap   time.Duration
}

// meanGapPart is the part of the accepted pause that the mean time between two events may take. Pauses
// vary: a replica reads the prompts of new requests between the steps of others.
const meanGapPart = 0.8

// CheckTiming returns an error of type *capacity.InvalidError if the description of the engine does not
// allow estimates of time. Paths are then chosen without them.
func (s *Spec) CheckTiming() error { return s.engine().Validate() }

// engine returns the description of the model's engine for estimates of time.
func (s *Spec) engine() capacity.Engine {
	return capacity.Engine{
		StepBase: s.StepBase, StepPerSequence: s.StepPerSequence, StepPerContext: s.StepPerContext,
		PrefillTokensPerSecond: s.PrefillTokensPerSecond, Chunk: s.PrefillChunk, Stride: s.Stride, Layers: s.Layers,
	}
}

// timing estimates the times of a request on a path from the work that the replicas report. A replica
// without a fresh report counts as idle.
func (s *search) timing(path Path) pathTiming {
	spec := s.table.spec
	engine := spec.engine()
	var sum pathTiming
	for _, stage := range path {
		r := s.table.replicas[stage.Replica.Key()]
		card := capacity.Card{
			StepTimeFactor: r.kind.StepTimeFactor, PrefillTimeFactor: r.kind.PrefillTimeFactor, Slowdown: r.slowdown(s.now), Layers: stage.Layers.Len(),
		}
		work := capacity.Work{
			Streams: r.streamsNow(s.now), MeanContext: spec.meanTokens(), WaitingPromptTokens: r.queuedNow(s.now) * float64(spec.MeanPrompt),
		}
		sum.firstEvent += engine.FirstEvent(card, work, float64(s.query.Prompt)) + hopCost
		perToken := time.Duration((1+stageOverhead)*float64(engine.StepTime(card, work))) + hopCost
		sum.eventGap += time.Duration(spec.Stride) * perToken
	}
	return sum
}

// inTime reports whether a request on the path is expected to meet its objective and keep the accepted
// pause.
func (s *search) inTime(path Path) bool {
	if s.table.spec.CheckTiming() != nil {
		return true
	}
	t := s.timing(path)
	q := s.query
	return (q.FirstEventWithin <= 0 || t.firstEvent <= q.FirstEventWithin) &&
		(q.Gap <= 0 || t.eventGap <= time.Duration(meanGapPart*float64(q.Gap)))
}

// streamsNow returns how many streams the replica works on: those reported and what this VM has added.
func (s *replicaState) streamsNow(now time.Time) float64 {
	if !s.hasFreshLoad(now) {
		return float64(s.streams)
	}
	return max(0, float64(s.load.Streams+s.streams-s.useAtReport.streams))
}

// queuedNow returns how many requests wait at the replica, as reported.
func (s *replicaState) queuedNow(now time.Time) float64 {
	if !s.hasFreshLoad(now) {
		return 0
	}
	return float64(s.load.Queued)
}

package layers

import (
	"time"

	"geraniumcroft/internal/config"
)

// Spec describes a model and the engines that serve it.
type Spec struct {
	// Layers is how many layers the model has.
	Layers int
	// LayerMB is the memory of one layer's weights.
	LayerMB float64
	// KVBytes is the memory of one token of context over all layers.
	KVBytes float64
	// ActivationBytes is what one token sends from a stage to the next.
	ActivationBytes float64
	// Slots is how many requests a replica takes in as the first of their paths.
	Slots int
	// StepBase, PerSequence and PerContext are the times of a token step over all layers
	// on a card of pace 1: its base, for each request that is writing, and for each
	// thousand tokens of context of such a request.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerContext  time.Duration
	// PrefillTokensPerSecond is how many prompt tokens a card of pace 1 reads in a second.
	PrefillTokensPerSecond float64
	// LinkMbps is the rate of the link between two data centres; 0 is unbounded.
	LinkMbps float64
	// LinkDelay is the one-way delay between two data centres.
	LinkDelay time.Duration
	// LoadTime is how long loading all layers takes.
	LoadTime time.Duration
	// MeanPrompt and UsualAnswer are the mean tokens of a request.
	MeanPrompt int
	MeanAnswer int
	// Accelerators are the accelerators by name.
	Accelerators map[string]Accelerator
}

// kind returns the card of a replica. An unknown kind has no memory, so it gets
// no layers and no request.
func (s *Spec) kind(name string) Accelerator { return s.Accelerators[name] }

// ValidRange reports whether a range lies within the model's layers; none at all does.
func (s *Spec) ValidRange(held config.LayerRange) bool {
	return held.Len() <= 0 || held.From >= 0 && held.To <= s.Layers
}

// maxLayers is how many layers fit on a card with nothing else on it.
func (s *Spec) maxLayers(k Accelerator) int {
	if s.LayerMB <= 0 {
		return 0
	}
	return min(s.Layers, int(k.MemoryMB/s.LayerMB))
}

// room is how many tokens of context fit beside n layers of a card.
func (s *Spec) room(k Accelerator, n int) float64 {
	if n <= 0 || s.KVBytes <= 0 {
		return 0
	}
	free := (k.MemoryMB - float64(n)*s.LayerMB) * 1e6
	return max(0, free/(s.KVBytes*float64(n)/float64(s.Layers)))
}

// meanTokens is the context of a usual request at its end.
func (s *Spec) meanTokens() float64 { return float64(max(1, s.MeanPrompt+s.MeanAnswer)) }

// stepTime is the time of a token step over all layers on a card, in seconds, beside so
// many requests of that many tokens.
func (s *Spec) stepTime(k Accelerator, batch, tokens float64) float64 {
	context := tokens / 1000
	return (s.StepBase.Seconds() + batch*(s.StepPerSequence.Seconds()+context*s.StepPerContext.Seconds())) * k.StepTimeFactor
}

// prefillTime is the time in which a card reads so many tokens through n layers, in seconds.
func (s *Spec) prefillTime(k Accelerator, tokens float64, n int) float64 {
	return tokens / max(1, s.PrefillTokensPerSecond) * k.PrefillTimeFactor * float64(n) / float64(max(1, s.Layers))
}

package layers

import (
	"time"

	"geraniumcroft/internal/config"
)

// Spec describes a model and the engines that serve it.
type Spec struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer's weights, in MB.
	LayerMB float64
	// KVBytes is the KV cache of one token over all layers, in bytes.
	KVBytes float64
	// ActivationBytes is what one token sends from a stage to the next, in bytes.
	ActivationBytes float64
	// Slots is how many requests a replica admits as the first replica of their paths.
	Slots int
	// StepBase, StepPerSequence and StepPerContext are the parts of the time of a decoding
	// step over all layers on a card with a StepTimeFactor of 1: the base, the part for
	// each request that is being decoded, and the part for each thousand tokens of context
	// of such a request.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerContext  time.Duration
	// PrefillTokensPerSecond is the prefill rate of a card with a PrefillTimeFactor of 1.
	PrefillTokensPerSecond float64
	// PrefillChunk is the largest number of prompt tokens that a card reads in a decoding step, Stride
	// the number of decoding steps of a pass, and so of tokens of an event.
	PrefillChunk int
	Stride       int
	// LinkMbps is the bandwidth between two data centres; 0 means unlimited.
	LinkMbps float64
	// LinkDelay is the one-way delay between two data centres.
	LinkDelay time.Duration
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// MeanPrompt and MeanAnswer are the mean numbers of tokens of a request.
	MeanPrompt int
	MeanAnswer int
	// PlaceForBottleneck makes the placement raise the capacity of the layers that have the least,
	// which bounds how many requests are served at once.
	PlaceForBottleneck bool
	// Accelerators are the kinds of cards, by the name that Replica.Kind gives.
	Accelerators map[string]Accelerator
}

// kind returns the accelerator of a replica. An unknown kind has no memory, so the replica
// gets neither layers nor requests.
func (s *Spec) kind(name string) Accelerator { return s.Accelerators[name] }

// ValidRange reports whether a range lies within the model's layers. An empty range does.
func (s *Spec) ValidRange(held config.LayerRange) bool {
	return held.Len() <= 0 || held.From >= 0 && held.To <= s.Layers
}

// maxLayers returns how many layers fit on a card that holds nothing else.
func (s *Spec) maxLayers(k Accelerator) int {
	if s.LayerMB <= 0 {
		return 0
	}
	return min(s.Layers, int(k.MemoryMB/s.LayerMB))
}

// tokenCapacity returns how many tokens of context fit on a card in addition to n layers.
func (s *Spec) tokenCapacity(k Accelerator, n int) float64 {
	if n <= 0 || s.KVBytes <= 0 {
		return 0
	}
	free := (k.MemoryMB - float64(n)*s.LayerMB) * 1e6
	return max(0, free/(s.KVBytes*float64(n)/float64(s.Layers)))
}

// meanTokens returns the context of a mean request at its end, in tokens.
func (s *Spec) meanTokens() float64 { return float64(max(1, s.MeanPrompt+s.MeanAnswer)) }

// stepTime returns the time of a decoding step over all layers on a card, in seconds, for
// a batch of requests with the given number of tokens each.
func (s *Spec) stepTime(k Accelerator, batch, tokens float64) float64 {
	context := tokens / 1000
	return (s.StepBase.Seconds() + batch*(s.StepPerSequence.Seconds()+context*s.StepPerContext.Seconds())) * k.StepTimeFactor
}

// prefillTime returns the time in which a card reads a number of prompt tokens through n
// layers, in seconds.
func (s *Spec) prefillTime(k Accelerator, tokens float64, n int) float64 {
	return tokens / max(1, s.PrefillTokensPerSecond) * k.PrefillTimeFactor * float64(n) / float64(max(1, s.Layers))
}

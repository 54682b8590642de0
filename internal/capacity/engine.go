package capacity

import (
	"math"
	"sort"
	"time"
)

// MaxTime is the longest time that an estimate returns.
const MaxTime = 24 * time.Hour

// Engine describes the engine that serves a model.
type Engine struct {
	// StepBase, StepPerSequence and StepPerContext are the parts of the time of a decoding
	// step over all layers on a card with a StepTimeFactor of 1: the base, the part for
	// each stream, and the part for each thousand tokens of context of a stream.
	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerContext  time.Duration
	// PrefillTokensPerSecond is the rate at which a card with a PrefillTimeFactor of 1 reads
	// prompt tokens through all layers.
	PrefillTokensPerSecond float64
	// Chunk is the largest number of prompt tokens that are read in a step.
	Chunk int
	// Stride is the number of steps of a pass, and so of tokens of an event.
	Stride int
	// Layers is the number of layers of the model.
	Layers int
}

// Validate returns an *InvalidError for the first field that is not a positive finite
// number, or nil.
func (e Engine) Validate() error {
	switch {
	case e.StepBase <= 0:
		return &InvalidError{"StepBase", e.StepBase}
	case e.StepPerSequence <= 0:
		return &InvalidError{"StepPerSequence", e.StepPerSequence}
	case e.StepPerContext <= 0:
		return &InvalidError{"StepPerContext", e.StepPerContext}
	case !positive(e.PrefillTokensPerSecond):
		return &InvalidError{"PrefillTokensPerSecond", e.PrefillTokensPerSecond}
	case e.Chunk <= 0:
		return &InvalidError{"Chunk", e.Chunk}
	case e.Stride <= 0:
		return &InvalidError{"Stride", e.Stride}
	case e.Layers <= 0:
		return &InvalidError{"Layers", e.Layers}
	}
	return nil
}

// StepTime returns the time of a decoding step that reads no prompt tokens.
func (e Engine) StepTime(c Card, w Work) time.Duration {
	if !e.describes(c) {
		return MaxTime
	}
	return limited(e.step(c, w))
}

// FirstEvent returns the mean time from the arrival of a prompt, of a number of tokens, to
// its first event at a card. The prompt waits for half of a pass, then the waiting prompt
// tokens and its own are read in order, in steps of Chunk tokens that also decode, and
// Stride further steps decode the tokens of the event. Prompts that arrive later are not
// counted, nor is the new stream among those that are decoded.
func (e Engine) FirstEvent(c Card, w Work, prompt float64) time.Duration {
	if !e.describes(c) {
		return MaxTime
	}
	tokens := count(w.WaitingPromptTokens) + count(prompt)
	stride := float64(e.Stride)
	steps := stride/2 + math.Ceil(tokens/float64(e.Chunk)) + stride
	return limited(steps*e.step(c, w) + e.read(c, tokens))
}

// MaxStreams returns the largest number of streams with a mean context, in tokens, at which
// a decoding step of the card takes no longer than perStep; 0 if one stream takes longer.
// On a path of several stages perStep is the card's part of the time of a step: the
// accepted pause between two events, divided by Stride, less the other stages' steps.
func (e Engine) MaxStreams(c Card, meanContext float64, perStep time.Duration) int {
	if !e.describes(c) {
		return 0
	}
	return largest(perStep, func(n float64) time.Duration {
		return e.StepTime(c, Work{Streams: n, MeanContext: meanContext})
	})
}

// MaxWaitingPrompt returns the largest number of waiting prompt tokens, a whole one, at
// which a mean prompt that arrives gets its first event within a time; 0 if it does not
// even without any. MeanContext stands for the mean prompt, which it exceeds by the part of
// the answers that is decoded, so the result is rather too small than too large. The
// WaitingPromptTokens of w are not used.
func (e Engine) MaxWaitingPrompt(c Card, w Work, within time.Duration) float64 {
	if !e.describes(c) {
		return 0
	}
	return float64(largest(within, func(n float64) time.Duration {
		w.WaitingPromptTokens = n
		return e.FirstEvent(c, w, w.MeanContext)
	}))
}

func (e Engine) describes(c Card) bool { return e.Validate() == nil && c.valid() }

// step returns the time of a decoding step, in nanoseconds.
func (e Engine) step(c Card, w Work) float64 {
	perStream := float64(e.StepPerSequence) + count(w.MeanContext)/1000*float64(e.StepPerContext)
	return (float64(e.StepBase) + count(w.Streams)*perStream) * c.StepTimeFactor * c.scale(e.Layers)
}

// read returns the time in which the card reads a number of prompt tokens, in nanoseconds.
func (e Engine) read(c Card, tokens float64) float64 {
	return tokens / e.PrefillTokensPerSecond * c.PrefillTimeFactor * c.scale(e.Layers) * float64(time.Second)
}

// limited rounds a number of nanoseconds and limits it to MaxTime, also if it has
// overflowed to infinity or, as the product of 0 and infinity, NaN.
func limited(ns float64) time.Duration {
	if ns < float64(MaxTime) {
		return time.Duration(math.Round(ns))
	}
	return MaxTime
}

// largest returns the largest number from 1 to maxCount at which an increasing time is at
// most limit, or 0. It searches instead of inverting the formulas, so that the result
// agrees with the rounded times.
func largest(limit time.Duration, at func(n float64) time.Duration) int {
	// A time that was limited to MaxTime may be longer than any limit.
	limit = min(limit, MaxTime-1)
	return sort.Search(maxCount, func(i int) bool { return at(float64(i+1)) > limit })
}

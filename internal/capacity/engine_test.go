package capacity

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testEngine = Engine{1020 * time.Microsecond, 4590, 6150, 164_000, 512, 5, 80}
	testCard   = Card{StepTimeFactor: 16, PrefillTimeFactor: 8.2, Slowdown: 2, Layers: 10}
)

// Guards against a wrong term. By hand: a step is (1.02 + 100 x 0.01074) ms x 16 x 2/8 =
// 8.376 ms, and 1,500 tokens take 3 steps and, at 80,000 a second, 18.75 ms. After 3 steps of 512
// tokens another one begins.
func TestFormulas(t *testing.T) {
	w := Work{Streams: 100, MeanContext: 1000, WaitingPromptTokens: 500}
	const step, first = 8376 * time.Microsecond, 106_698 * time.Microsecond // 10.5 steps + 18.75 ms
	if s, f := testEngine.StepTime(testCard, w), testEngine.FirstEvent(testCard, w, 1000); s != step || f != first {
		t.Errorf("step %v, first event %v; want %v, %v", s, f, step, first)
	}
	if n, m := testEngine.MaxStreams(testCard, 1000, step), testEngine.MaxStreams(testCard, 1000, step-1); n != 100 || m != 99 {
		t.Errorf("streams %d, %d; want 100, 99", n, m)
	}
	for within, want := range map[time.Duration]float64{first: 500, 110 * time.Millisecond: 536, 50 * time.Millisecond: 0} {
		if got := testEngine.MaxWaitingPrompt(testCard, w, within); got != want {
			t.Errorf("waiting prompt tokens within %v: %v, want %v", within, got, want)
		}
	}
}

// Guards against an invalid field that is accepted or reported as another one, and against
// work for a replica without a usable description.
func TestInvalid(t *testing.T) {
	for i := range reflect.TypeFor[Engine]().NumField() {
		for _, x := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
			e, invalid := testEngine, new(InvalidError)
			f := reflect.ValueOf(&e).Elem().Field(i)
			if f.CanInt() && x != 0 && x != -1 {
				continue // integers have no such value
			}
			f.Set(reflect.ValueOf(x).Convert(f.Type()))
			name, value := reflect.TypeFor[Engine]().Field(i).Name, fmt.Sprint(f.Interface())
			if err := e.Validate(); !errors.As(err, &invalid) || invalid.Field != name || fmt.Sprint(invalid.Value) != value {
				t.Errorf("%s = %v: %v", name, value, err)
			}
			if e.StepTime(testCard, Work{}) != MaxTime || e.MaxStreams(testCard, 0, time.Hour) != 0 {
				t.Errorf("%s = %v: the replica gets work", name, value)
			}
		}
	}
	for _, c := range []Card{{1, 1, 1, 0}, {0, 1, 1, 1}, {1, math.NaN(), 1, 1}} {
		if testEngine.FirstEvent(c, Work{}, 1) != MaxTime || testEngine.MaxWaitingPrompt(c, Work{}, time.Hour) != 0 {
			t.Errorf("%v: the replica gets work", c)
		}
	}
	for _, slowdown := range []float64{0, 1, math.NaN()} {
		got := testEngine.StepTime(Card{16, 8.2, slowdown, 100}, Work{math.NaN(), math.Inf(1), -1})
		if err := testEngine.Validate(); err != nil || got != 16*testEngine.StepBase {
			t.Errorf("slowdown %v, no work: %v, %v", slowdown, got, err)
		}
	}
}

// Guards against estimates that fall as work grows, limits that disagree with the times they
// are derived from, and NaN, overflow or negative results from odd inputs.
func TestEstimatesProperties(t *testing.T) {
	odd := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 5e-324, math.MaxFloat64}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, hi float64) float64 {
			return rapid.OneOf(rapid.Float64Range(0, hi), rapid.SampledFrom(odd)).Draw(t, name)
		}
		e := testEngine
		e.PrefillTokensPerSecond = draw("rate", 2e5)
		c := Card{draw("step", 20), draw("prefill", 20), draw("slow", 20), rapid.IntRange(-1, 100).Draw(t, "layers")}
		w := Work{draw("streams", 500), draw("context", 5000), draw("waiting", 1e5)}
		prompt := draw("prompt", 5000)
		limit := time.Duration(rapid.OneOf(rapid.Int64(), rapid.Just[int64](math.MaxInt64)).Draw(t, "limit"))
		step, first := e.StepTime(c, w), e.FirstEvent(c, w, prompt)
		if step < 0 || step > first || first > MaxTime {
			t.Fatalf("step %v, first event %v", step, first)
		}
		more := Work{count(w.Streams) + 1, count(w.MeanContext) + 1, count(w.WaitingPromptTokens) + 1}
		if e.StepTime(c, more) < step || e.FirstEvent(c, more, count(prompt)+1) < first {
			t.Fatal("more work takes less time")
		}
		n, p := e.MaxStreams(c, w.MeanContext, limit), e.MaxWaitingPrompt(c, w, limit)
		limit = min(limit, MaxTime-1) // a time of MaxTime is within no limit
		at := func(n float64) time.Duration { return e.StepTime(c, Work{Streams: n, MeanContext: w.MeanContext}) }
		if n < 0 || n > 0 && at(float64(n)) > limit || n < maxCount && at(float64(n+1)) <= limit {
			t.Fatalf("%d streams within %v", n, limit)
		}
		wait := func(p float64) time.Duration {
			return e.FirstEvent(c, Work{w.Streams, w.MeanContext, p}, w.MeanContext)
		}
		if !(p >= 0) || p > 0 && wait(p) > limit || p < maxCount && wait(p+1) <= limit {
			t.Fatalf("%v waiting prompt tokens within %v", p, limit)
		}
	})
}

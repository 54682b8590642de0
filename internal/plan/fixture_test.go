package plan

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"geraniumcroft/internal/config"
)

func engineTarget(name, dataCentre string, from, to int, rate float64) *config.Target {
	return &config.Target{
		Name: name, DataCentre: dataCentre, Kind: config.KindEngine, Model: "m", Version: "1",
		Layers: config.LayerRange{From: from, To: to}, LayerTokensPerSecond: rate, Slots: 4, State: config.StateActive,
	}
}

func always(string) bool { return true }

// mixedInput returns targets of 3 kinds of accelerators with rates in the ratio 1 to 4 to 10, whose
// ranges do not line up, in dataCentres data centres whose links differ by a factor of a hundred in
// bandwidth.
func mixedInput(targets, dataCentres int, seed uint64) Input {
	random := rand.New(rand.NewPCG(seed, 1))
	model := &config.Model{Name: "m", Layers: 80, Versions: []string{"1"}, ActivationBytes: 16 << 10}
	kinds := []struct {
		name   string
		rate   float64
		ranges []config.LayerRange
	}{
		{"small", 20_000, []config.LayerRange{{From: 0, To: 16}, {From: 12, To: 28}, {From: 24, To: 44}, {From: 40, To: 56}, {From: 52, To: 68}, {From: 64, To: 80}}},
		{"medium", 80_000, []config.LayerRange{{From: 0, To: 30}, {From: 20, To: 50}, {From: 50, To: 80}}},
		{"large", 200_000, []config.LayerRange{{From: 0, To: 44}, {From: 40, To: 80}}},
	}
	in := Input{Model: model, Version: "1"}
	for i := range targets {
		kind := kinds[i%len(kinds)]
		layers := kind.ranges[(i/len(kinds))%len(kind.ranges)]
		centre := random.IntN(dataCentres)
		target := engineTarget(fmt.Sprintf("t%03d", i), fmt.Sprintf("dc%d", centre), layers.From, layers.To, kind.rate)
		target.Accelerator = kind.name
		target.Links = mixedLinks(centre, dataCentres)
		in.Targets = append(in.Targets, target)
	}
	return in
}

// mixedLinks returns links of 100, 10 or 1 MB/s and 0.25, 2.5 or 25 ms, by the pair of data
// centres.
func mixedLinks(centre, dataCentres int) []config.Link {
	var links []config.Link
	for to := range dataCentres {
		if to == centre {
			continue
		}
		scale := []float64{1, 10, 100}[(centre+to)%3]
		latency := config.Duration(time.Duration(250*scale) * time.Microsecond)
		links = append(links, config.Link{To: fmt.Sprintf("dc%d", to), Latency: latency, BytesPerSecond: 100e6 / scale})
	}
	return links
}

// drawInput draws a small graph in which each layer has at least one engine.
func drawInput(t *rapid.T, layers, targets int) Input {
	in := Input{Model: &config.Model{Name: "m", Layers: layers, ActivationBytes: 1000}, Version: "1"}
	centres := rapid.IntRange(1, 3).Draw(t, "centres")
	for i := range targets {
		from := rapid.IntRange(0, layers-1).Draw(t, "from")
		to := rapid.IntRange(from+1, layers).Draw(t, "to")
		in.Targets = append(in.Targets, drawTarget(t, i, from, to, centres))
	}
	next := 0
	for next < layers {
		to := rapid.IntRange(next+1, layers).Draw(t, "cover")
		in.Targets = append(in.Targets, drawTarget(t, len(in.Targets), next, to, centres))
		next = to
	}
	drawLinks(t, in, centres)
	return in
}

func drawTarget(t *rapid.T, index, from, to, centres int) *config.Target {
	rate := float64(rapid.SampledFrom([]int{100, 300, 1000}).Draw(t, "rate"))
	centre := rapid.IntRange(0, centres-1).Draw(t, "centre")
	return engineTarget(fmt.Sprintf("t%02d", index), fmt.Sprintf("dc%d", centre), from, to, rate)
}

func drawLinks(t *rapid.T, in Input, centres int) {
	for _, target := range in.Targets {
		if rapid.Bool().Draw(t, "toDataCentre") {
			centre := rapid.IntRange(0, centres-1).Draw(t, "linkCentre")
			target.Links = append(target.Links, drawLink(t, fmt.Sprintf("dc%d", centre)))
		}
		if rapid.IntRange(0, 3).Draw(t, "toTarget") == 0 {
			to := rapid.SampledFrom(in.Targets).Draw(t, "linkTarget")
			target.Links = append(target.Links, drawLink(t, to.Name))
		}
	}
}

func drawLink(t *rapid.T, to string) config.Link {
	bytes := rapid.SampledFrom([]float64{1e3, 1e4, 1e5, 0}).Draw(t, "bytes")
	return config.Link{To: to, Latency: config.Duration(time.Millisecond), BytesPerSecond: bytes}
}

package experiment

import (
	"context"
	"fmt"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

// pool describes engines that each hold one half of a model's layers, and instances of a
// service.
type pool struct {
	layers int
	// copies is the number of engines that hold each half.
	copies int
	slots  int
	// layerRate is the speed of an engine in layers times tokens per second.
	layerRate    float64
	tokenLatency time.Duration
	instances    int
	serviceSlots int
	serviceTime  time.Duration
}

// perToken is the time that one token takes on idle engines.
func (p pool) perToken() time.Duration {
	compute := time.Duration(float64(p.layers) / p.layerRate * float64(time.Second))
	return compute + 2*p.tokenLatency
}

// tokensPerSecond is the token rate with all slots in use.
func (p pool) tokensPerSecond() float64 {
	return float64(p.copies*p.slots) / p.perToken().Seconds()
}

// callsPerSecond is the call rate of the service with all slots in use.
func (p pool) callsPerSecond() float64 {
	return float64(p.instances*p.serviceSlots) / p.serviceTime.Seconds()
}

// addPool adds the model, the engines and the instances of a pool.
func (s *system) addPool(ctx context.Context, p pool) error {
	model := &config.Model{Name: modelName, Layers: p.layers, Versions: []string{modelVersion}, ActivationBytes: 16 << 10}
	if err := s.applyModel(ctx, model); err != nil {
		return err
	}
	halves := []config.LayerRange{{From: 0, To: p.layers / 2}, {From: p.layers / 2, To: p.layers}}
	for half, layerRange := range halves {
		for number := range p.copies {
			_, err := s.AddEngine(ctx, enginesim.Options{
				Name: engineName(half, number), Model: model, Version: modelVersion, Layers: layerRange, Slots: p.slots,
				LayerTokensPerSecond: p.layerRate, TokenLatency: p.tokenLatency,
			}, dataCentre(number), "a100")
			if err != nil {
				return err
			}
		}
	}
	for number := range p.instances {
		_, err := s.AddService(ctx, servicesim.Options{
			Name: fmt.Sprintf("permits-%d", number), Service: serviceName, Slots: p.serviceSlots, ServiceTime: p.serviceTime,
		}, dataCentre(number))
		if err != nil {
			return err
		}
	}
	return nil
}

func engineName(half, number int) string { return fmt.Sprintf("engine-%d-%02d", half, number) }

func dataCentre(number int) string { return fmt.Sprintf("dc-%d", number%3) }

package fleettest

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/confstore"
	"geraniumcroft/internal/harness/standin/enginesim"
)

const (
	engineRate = 1000
	loadTime   = 700 * time.Millisecond
)

// engineLayers are the layers that each engine holds. Engines with an odd index ignore
// fencing numbers.
var engineLayers = [engineCount]config.LayerRange{
	{From: 0, To: 5}, {From: 0, To: 4}, {From: 4, To: 8}, {From: 3, To: 8}, {From: 0, To: 8}, {From: 0, To: 8},
}

// entities starts the engines and returns the proposals of the initial configuration.
func (w *world) entities() []confstore.Proposal {
	var all []confstore.Proposal
	add := func(kind config.EntityKind, name string, entity any) {
		value, err := json.Marshal(entity)
		if err != nil {
			panic(err)
		}
		all = append(all, confstore.Proposal{ID: uuid.NewString(), Author: "setup", Kind: kind, Name: name, Value: value})
	}
	model := &config.Model{Name: "m", Layers: layers, Versions: []string{"1", "2"}}
	add(config.EntityModel, "m", model)
	add(config.EntityWorkspace, "w", &config.Workspace{Name: "w"})
	for number, layers := range engineLayers {
		e := enginesim.New(enginesim.Options{
			Name: fmt.Sprintf("e%d", number), Model: model, Version: "1", Layers: layers, Slots: 3,
			LayerTokensPerSecond: engineRate, Fabric: w.fabric, LoadTime: loadTime, IgnoresFencing: number%2 == 1,
		})
		e.Attach(fmt.Sprintf("10.0.2.%d:1", number))
		w.engines[e.Name()] = e
		target := e.Target()
		target.DataCentre, target.Accelerator = "dc-0", "a"
		add(config.EntityTarget, e.Name(), target)
	}
	for number, name := range []string{"s0", "s1"} {
		add(config.EntityTarget, name, &config.Target{
			Name: name, Address: fmt.Sprintf("10.0.3.%d:1", number), Kind: config.KindService, Service: "holds",
			DataCentre: "dc-0", Slots: 4, State: config.StateActive,
		})
	}
	for _, p := range profiles() {
		add(config.EntityProfile, p.Name, p)
	}
	return all
}

func profiles() []*config.Profile {
	models := []config.ModelRef{{Model: "m", Version: "1", Weight: 1}}
	return []*config.Profile{
		{Name: "draft", Workspace: "w", Class: config.ClassGeneration, Urgency: config.Bulk, Idempotent: true, Models: models, Deadline: seconds(20)},
		{Name: "check", Workspace: "w", Class: config.ClassGeneration, Urgency: config.Urgent, Idempotent: true, Models: models, Deadline: seconds(5)},
		{Name: "hold", Workspace: "w", Class: config.ClassCall, Urgency: config.Urgent, Service: "holds", Path: "/hold", Deadline: seconds(2)},
		{Name: "ask", Workspace: "w", Class: config.ClassCall, Urgency: config.Normal, Idempotent: true, Service: "holds", Path: "/ask", Deadline: seconds(3)},
	}
}

func seconds(n int) config.Duration { return config.Duration(time.Duration(n) * time.Second) }

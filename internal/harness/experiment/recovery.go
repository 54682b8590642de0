package experiment

import (
	"context"
	"time"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/harness/callclient"
	"geraniumcroft/internal/harness/standin/enginesim"
	"geraniumcroft/internal/harness/standin/servicesim"
)

const (
	wantedRecoveryMS = 1000.0
	recoveryDrafts   = 24
	recoveryTokens   = 80
	roundTimeout     = 30 * time.Second
	// strikeAfter lets every draft get tokens, and every call start, before the fault.
	strikeAfter     = 400 * time.Millisecond
	strikeCallAfter = 20 * time.Millisecond
	recoveryCalls   = 12
	settleTime      = 1500 * time.Millisecond
)

var recoveryPool = pool{
	layers: 16, copies: 3, slots: 16, layerRate: 8000, tokenLatency: 5 * time.Millisecond,
	instances: 3, serviceSlots: 16, serviceTime: 100 * time.Millisecond,
}

// draftFault is what happens to an engine in the middle of drafts.
type draftFault struct {
	name   string
	strike func(*enginesim.Engine)
	mend   func(*enginesim.Engine)
	wanted *Limit
}

// callFault is what happens to an instance of a service in the middle of calls.
type callFault struct {
	name    string
	profile string
	strike  func(*servicesim.Service)
	mend    func(*servicesim.Service)
}

func draftFaults() []draftFault {
	restart := func(e *enginesim.Engine) { e.Die(); _ = e.Revive() } // frees what its silent connections hold
	revive := func(e *enginesim.Engine) { _ = e.Revive() }           // a dead engine always revives
	mute := func(on bool) func(*enginesim.Engine) {
		return func(e *enginesim.Engine) { e.SetFaults(func(f *enginesim.Faults) { f.Mute = on }) }
	}
	return []draftFault{
		{"stage killed", (*enginesim.Engine).Die, revive, atMost(wantedRecoveryMS)},
		{"open connections silent", (*enginesim.Engine).GoSilent, restart, atMost(wantedRecoveryMS)},
		{"engine mute on new connections too", mute(true), mute(false), nil},
	}
}

func callFaults() []callFault {
	restart := func(s *servicesim.Service) { s.Die(); _ = s.Revive() }
	revive := func(s *servicesim.Service) { _ = s.Revive() } // a dead service always revives
	return []callFault{
		{"instance killed", "report", (*servicesim.Service).Die, revive},
		{"instance silent", "report", (*servicesim.Service).GoSilent, restart},
		{"instance silent, urgent", "status", (*servicesim.Service).GoSilent, restart},
	}
}

// recovery lets engines and instances fail in the middle of work, again and again,
// and measures how long callers wait above what the work itself takes.
func recovery(ctx context.Context, t *Trial) error {
	return measureBoth(ctx, t, recoveryScene, (*scene).recoveryOf)
}

func recoveryScene(ctx context.Context) (*scene, error) {
	s, err := newScene(ctx, 2, nil)
	if err != nil {
		return nil, err
	}
	if err := s.addPool(ctx, recoveryPool); err != nil {
		return s, err
	}
	return s, s.applyProfiles(ctx,
		generationProfile("summary", config.Normal, 20*time.Second),
		callProfile("report", config.Normal, true, 5*time.Second),
		callProfile("status", config.Urgent, true, 5*time.Second),
		callProfile("lockout", config.Urgent, false, 5*time.Second))
}

func (s *scene) recoveryOf(ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error {
	for _, fault := range draftFaults() {
		if err := s.draftRecovery(ctx, t, prefix, callers, fault); err != nil {
			return err
		}
	}
	for _, fault := range callFaults() {
		if err := s.callRecovery(ctx, t, prefix, callers, fault); err != nil {
			return err
		}
	}
	return s.lostAnswers(ctx, t, prefix, callers)
}

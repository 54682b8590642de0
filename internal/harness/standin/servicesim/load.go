package servicesim

import (
	"time"

	"geraniumcroft/internal/engine"
)

// Load returns the load report, delayed by Faults.LoadLag.
func (s *Service) Load() engine.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	lag := time.Duration(s.faults.LoadLag)
	if lag == 0 {
		return s.report()
	}
	then := time.Now().Add(-lag)
	for i := len(s.reports) - 1; i >= 0; i-- {
		if !s.reports[i].At.After(then) {
			return s.reports[i]
		}
	}
	return engine.LoadReport{At: then, Slots: s.options.Slots}
}

// report returns the current load. The caller must hold the lock.
func (s *Service) report() engine.LoadReport {
	return engine.LoadReport{At: time.Now(), Active: s.active, Queued: s.queued, Slots: s.options.Slots, Leaving: s.faults.Leaving}
}

// recordLoad records the current load for delayed reports. The caller must hold the
// lock.
func (s *Service) recordLoad() {
	if len(s.reports) == maxReports {
		s.reports = s.reports[maxReports/2:]
	}
	s.reports = append(s.reports, s.report())
}

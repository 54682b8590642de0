package experiment

import (
	"context"

	"geraniumcroft/internal/harness/callclient"
)

// measureWithBaseline runs the phases of an experiment on one system, first with the product
// and then with the baseline. The names of the baseline's figures have a prefix.
func measureWithBaseline(
	ctx context.Context, t *Trial,
	build func(context.Context) (*system, error),
	phases func(s *system, ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error,
) error {
	s, err := build(ctx)
	if err != nil {
		return err
	}
	defer s.close()
	reference, err := s.startBaseline()
	if err != nil {
		return err
	}
	defer reference.close()
	if err := phases(s, ctx, t, "", []callclient.Client{s.client(0), s.client(1)}); err != nil {
		return err
	}
	if err := phases(s, ctx, t, "baseline: ", []callclient.Client{reference.caller}); err != nil {
		return err
	}
	s.reportViolations(t)
	return nil
}

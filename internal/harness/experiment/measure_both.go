package experiment

import (
	"context"

	"geraniumcroft/internal/harness/callclient"
)

// measureBoth runs an experiment's phases on one scene for the product and then
// for the baseline, whose figures have a prefix.
func measureBoth(
	ctx context.Context, t *Trial,
	build func(context.Context) (*scene, error),
	phases func(s *scene, ctx context.Context, t *Trial, prefix string, callers []callclient.Client) error,
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
	s.finish(t)
	return nil
}

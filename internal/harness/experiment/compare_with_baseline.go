package experiment

import "context"

// compareWithBaseline runs the two experiments that compare the product with the
// baseline.
func compareWithBaseline(ctx context.Context, t *Trial) error {
	if err := urgent(ctx, t); err != nil {
		return err
	}
	return recovery(ctx, t)
}

package experiment

import "context"

// besideBaseline is what the product is compared with the baseline by.
func besideBaseline(ctx context.Context, t *Trial) error {
	if err := urgent(ctx, t); err != nil {
		return err
	}
	return recovery(ctx, t)
}

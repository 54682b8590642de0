package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"geraniumcroft/internal/reach"
	"geraniumcroft/internal/transport"
)

// recordDials returns a dial function that records whether it reached the replica. An attempt that its
// caller cancelled shows nothing.
func (p *Process) recordDials(dial transport.DialFunc) transport.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
			p.logReach(p.reach.RecordDial(address, err == nil, time.Now()))
		}
		return conn, err
	}
}

// logReach logs a change of whether this VM reaches the replicas.
func (p *Process) logReach(change *reach.Change) {
	if change == nil {
		return
	}
	fields := []zap.Field{
		zap.Strings("unreached", change.Unreached), zap.Int("failures", change.Failures),
		zap.Duration("sinceReached", change.SinceReached), zap.Duration("lasted", change.Lasted),
	}
	if change.CutOff {
		p.Logger.Warn("no replica reached", fields...)
		return
	}
	p.Logger.Info("replicas reached again", fields...)
}

package platformsim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/platform"
	"geraniumcroft/internal/sleep"
)

var (
	_ platform.Table   = (*Store)(nil)
	_ platform.Objects = (*Store)(nil)
	_ platform.VMList  = (*Store)(nil)
)

var (
	errOutage     = errors.New("ordered outage")
	errAnswerLost = errors.New("ordered loss of the answer")
)

// Commit implements platform.Table.
func (s *Store) Commit(ctx context.Context, txn platform.Txn) error {
	action := s.Faults.next(OpCommit)
	switch action.Kind {
	case ActUnavailable:
		return &platform.UnavailableError{Operation: string(OpCommit), Cause: errOutage}
	case ActHang:
		<-ctx.Done()
		return ambiguous(ctx, txn)
	case ActLoseAnswer:
		_ = s.apply(txn) // the response is lost, whatever it is
		return &platform.AmbiguousError{TxnID: txn.ID, Cause: errAnswerLost}
	case ActDelay:
		time.AfterFunc(action.Wait, func() { _ = s.apply(txn) })
		<-ctx.Done()
		return ambiguous(ctx, txn)
	default:
		err := s.apply(txn)
		if !sleep.For(ctx, action.Wait) {
			return ambiguous(ctx, txn)
		}
		return err
	}
}

// Get implements platform.Table.
func (s *Store) Get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	if err := s.read(ctx, OpRead); err != nil {
		return nil, err
	}
	return s.get(keys), nil
}

// Scan implements platform.Table.
func (s *Store) Scan(ctx context.Context, from, to string, limit int) ([]platform.Row, error) {
	if err := s.read(ctx, OpRead); err != nil {
		return nil, err
	}
	return s.scan(from, to, limit), nil
}

// Put implements platform.Objects.
func (s *Store) Put(ctx context.Context, name string, body []byte) error {
	if err := s.read(ctx, OpObject); err != nil {
		return err
	}
	s.putObject(name, body)
	return nil
}

// Fetch implements platform.Objects.
func (s *Store) Fetch(ctx context.Context, name string) ([]byte, error) {
	if err := s.read(ctx, OpObject); err != nil {
		return nil, err
	}
	body, ok := s.object(name)
	if !ok {
		return nil, errors.Wrapf(platform.ErrNotFound, "object %q", name)
	}
	return body, nil
}

// VMs implements platform.VMList.
func (s *Store) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.read(ctx, OpVMs); err != nil {
		return nil, err
	}
	return s.listVMs(), nil
}

// read injects the current fault into an operation other than a commit. It returns nil
// if the caller is to carry out the operation.
func (s *Store) read(ctx context.Context, op Operation) error {
	action := s.Faults.next(op)
	switch action.Kind {
	case ActUnavailable, ActLoseAnswer:
		return &platform.UnavailableError{Operation: string(op), Cause: errOutage}
	case ActHang, ActDelay:
		<-ctx.Done()
		return unavailable(ctx, op)
	default:
		if !sleep.For(ctx, action.Wait) {
			return unavailable(ctx, op)
		}
		return nil
	}
}

func ambiguous(ctx context.Context, txn platform.Txn) error {
	return &platform.AmbiguousError{TxnID: txn.ID, Cause: ctx.Err()}
}

func unavailable(ctx context.Context, op Operation) error {
	return &platform.UnavailableError{Operation: string(op), Cause: ctx.Err()}
}

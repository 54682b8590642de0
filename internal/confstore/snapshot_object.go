package confstore

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/platform"
)

const (
	// maxSnapshotBytes bounds a snapshot as JSON, against a damaged object.
	maxSnapshotBytes = 256 << 20
	// maxPointerReads bounds how often compaction may overtake one reader.
	maxPointerReads = 3
	digestPrefix    = 16
)

// snapshotObject is an encoded snapshot.
type snapshotObject struct {
	version uint64
	name    string
	digest  string
	body    []byte
}

// encodeSnapshot names the object by its version and content, so that a Put which
// was delayed for hours can only write what the name already stands for.
func encodeSnapshot(snapshot *config.Snapshot) (snapshotObject, error) {
	var body bytes.Buffer
	compressor := gzip.NewWriter(&body)
	if err := json.NewEncoder(compressor).Encode(snapshot); err != nil {
		return snapshotObject{}, errors.Wrap(err, "encode the snapshot")
	}
	if err := compressor.Close(); err != nil {
		return snapshotObject{}, errors.Wrap(err, "compress the snapshot")
	}
	digest := digestOf(body.Bytes())
	return snapshotObject{
		version: snapshot.Version,
		name:    fmt.Sprintf("config/snapshot/%020d-%s", snapshot.Version, digest[:digestPrefix]),
		digest:  digest,
		body:    body.Bytes(),
	}, nil
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func decodeSnapshot(body []byte) (*config.Snapshot, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the snapshot")
	}
	snapshot := &config.Snapshot{}
	if err := json.NewDecoder(io.LimitReader(decompressor, maxSnapshotBytes)).Decode(snapshot); err != nil {
		return nil, errors.Wrap(err, "decode the snapshot")
	}
	return withTables(snapshot), nil
}

// readSnapshot installs the newest snapshot of the object store, if there is one
// that is newer. Compaction may remove an object between the reading of the
// pointer and of the object; the pointer then names a newer one.
func (s *Store) readSnapshot(ctx context.Context) error {
	var err error
	for range maxPointerReads {
		var pointer snapshotPointer
		pointer, err = s.readPointer(ctx)
		if err != nil || pointer.Version <= s.Current().Version {
			return err
		}
		var snapshot *config.Snapshot
		snapshot, err = s.fetch(ctx, pointer)
		if err == nil {
			s.InstallSnapshot(snapshot)
			return nil
		}
		if !errors.Is(err, platform.ErrNotFound) {
			return err
		}
	}
	return err
}

// fetch reads the pointer's object and proves that it is whole.
func (s *Store) fetch(ctx context.Context, pointer snapshotPointer) (*config.Snapshot, error) {
	body, err := s.options.Objects.Fetch(ctx, pointer.Object)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch %s", pointer.Object)
	}
	if digestOf(body) != pointer.Digest {
		return nil, errors.Newf("object %s is not what was written", pointer.Object)
	}
	snapshot, err := decodeSnapshot(body)
	if err != nil {
		return nil, err
	}
	if snapshot.Version != pointer.Version {
		return nil, errors.Newf("object %s holds version %d", pointer.Object, snapshot.Version)
	}
	return snapshot, nil
}

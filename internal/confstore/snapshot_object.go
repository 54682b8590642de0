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
	// maxSnapshotBytes is the maximum size of a snapshot as JSON. It limits the memory
	// that decompressing a damaged object can take.
	maxSnapshotBytes = 256 << 20
	// maxPointerReads is the maximum number of times that a reader reads the pointer. It
	// reads the pointer again if compaction has deleted the object.
	maxPointerReads = 3
	// digestPrefixLength is the number of hex digits of the digest in an object's name.
	digestPrefixLength = 16
)

// snapshotObject is an encoded snapshot: gzip-compressed JSON.
type snapshotObject struct {
	version uint64
	name    string
	digest  string
	body    []byte
}

// encodeSnapshot encodes a snapshot. The object is named after its version and the digest
// of its content, so that a Put that is delayed, even by hours, can only write the content
// that belongs to the name.
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
		name:    fmt.Sprintf("config/snapshot/%020d-%s", snapshot.Version, digest[:digestPrefixLength]),
		digest:  digest,
		body:    body.Bytes(),
	}, nil
}

// digestOf returns the hex SHA-256 of the body.
func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// errLargeSnapshot reports a snapshot that decompresses to more than maxSnapshotBytes.
var errLargeSnapshot = errors.New("the snapshot is larger than the bound")

// decodeSnapshot decodes the body of a snapshot object.
func decodeSnapshot(body []byte) (*config.Snapshot, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "decompress the snapshot")
	}
	snapshot := &config.Snapshot{}
	limited := &io.LimitedReader{R: decompressor, N: maxSnapshotBytes + 1}
	err = json.NewDecoder(limited).Decode(snapshot)
	if limited.N <= 0 {
		return nil, errLargeSnapshot
	}
	if err != nil {
		return nil, errors.Wrap(err, "decode the snapshot")
	}
	return withTables(snapshot), nil
}

// readSnapshot installs the newest snapshot of the object store if it is newer than the
// one in force. Compaction may delete an object after its pointer was read. The pointer
// row then refers to a newer object and is read again.
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

// fetch reads the pointer's object and verifies its digest and version.
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

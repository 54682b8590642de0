package experiment

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"runtime/pprof"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// partLabel is the pprof label for the part of the process that a goroutine works for.
// Goroutines inherit it from the goroutine that starts them.
const partLabel = "part"

// Values of partLabel.
const (
	partRouter  = "router"
	partStandIn = "stand-in"
	partCaller  = "caller"
)

// withPart runs f with the label of a part.
func withPart(ctx context.Context, part string, f func(context.Context) error) (err error) {
	pprof.Do(ctx, pprof.Labels(partLabel, part), func(ctx context.Context) { err = f(ctx) })
	return err
}

// cpuByPart runs f under the CPU profiler and returns the processor time of each part. The
// key "" holds the time without a label, such as that of the garbage collector.
func cpuByPart(f func()) (map[string]time.Duration, error) {
	var out bytes.Buffer
	if err := pprof.StartCPUProfile(&out); err != nil {
		return nil, errors.Wrap(err, "CPU profile")
	}
	f()
	pprof.StopCPUProfile()
	unpacked, err := gzip.NewReader(&out)
	if err != nil {
		return nil, errors.Wrap(err, "CPU profile")
	}
	profile, err := io.ReadAll(unpacked)
	if err != nil {
		return nil, errors.Wrap(err, "CPU profile")
	}
	return sumByPart(profile), nil
}

// Field numbers of pprof's profile.proto.
const (
	fieldSample      = 2
	fieldStrings     = 6
	fieldSampleValue = 2
	fieldSampleLabel = 3
	fieldLabelKey    = 1
	fieldLabelText   = 2
	cpuValue         = 1 // index of a sample's CPU time, in nanoseconds
)

// sumByPart returns the processor time of each part in an uncompressed profile.
func sumByPart(profile []byte) map[string]time.Duration {
	var samples []cpuSample
	var texts []string
	forEachField(profile, func(number protowire.Number, _ uint64, bytes []byte) {
		switch number {
		case fieldSample:
			samples = append(samples, readSample(bytes))
		case fieldStrings:
			texts = append(texts, string(bytes))
		}
	})
	sums := map[string]time.Duration{}
	for _, s := range samples {
		sums[s.part(texts)] += s.took
	}
	return sums
}

// cpuSample is one sample of a profile. The keys and the values of labels are indexes in
// the string table.
type cpuSample struct {
	took   time.Duration
	labels map[uint64]uint64
}

// part returns the value of partLabel, or "" without this label.
func (s cpuSample) part(texts []string) string {
	for key, text := range s.labels {
		if texts[key] == partLabel {
			return texts[text]
		}
	}
	return ""
}

func readSample(message []byte) cpuSample {
	s := cpuSample{labels: map[uint64]uint64{}}
	var values []uint64
	forEachField(message, func(number protowire.Number, varint uint64, bytes []byte) {
		switch {
		case number == fieldSampleLabel:
			key, text := readLabel(bytes)
			s.labels[key] = text
		case number == fieldSampleValue && bytes == nil:
			values = append(values, varint)
		case number == fieldSampleValue:
			values = append(values, unpackVarints(bytes)...)
		}
	})
	if len(values) > cpuValue {
		s.took = time.Duration(values[cpuValue])
	}
	return s
}

func readLabel(message []byte) (key, text uint64) {
	forEachField(message, func(number protowire.Number, varint uint64, _ []byte) {
		switch number {
		case fieldLabelKey:
			key = varint
		case fieldLabelText:
			text = varint
		}
	})
	return key, text
}

// forEachField calls take with each field of a message. bytes is nil for a number. It stops
// at the first malformed field.
func forEachField(message []byte, take func(number protowire.Number, varint uint64, bytes []byte)) {
	for len(message) > 0 {
		number, kind, size := protowire.ConsumeTag(message)
		if size < 0 {
			return
		}
		message = message[size:]
		var varint uint64
		var bytes []byte
		switch kind {
		case protowire.VarintType:
			varint, size = protowire.ConsumeVarint(message)
		case protowire.BytesType:
			bytes, size = protowire.ConsumeBytes(message)
		default:
			size = protowire.ConsumeFieldValue(number, kind, message)
		}
		if size < 0 {
			return
		}
		message = message[size:]
		take(number, varint, bytes)
	}
}

// unpackVarints returns the numbers of a packed field.
func unpackVarints(packed []byte) []uint64 {
	var values []uint64
	for len(packed) > 0 {
		value, size := protowire.ConsumeVarint(packed)
		if size < 0 {
			return values
		}
		values = append(values, value)
		packed = packed[size:]
	}
	return values
}

package experiment

import (
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// sumByPart adds the processor time of each sample to the part in its label, whether or not
// the values are packed, and skips unknown fields. With a misread label, the work of a
// stand-in would count as work of the router.
func TestProcessorTimeIsSummedByPart(t *testing.T) {
	var profile []byte
	for _, text := range []string{"", "other", partLabel, partRouter, partCaller} {
		profile = protowire.AppendTag(profile, fieldStrings, protowire.BytesType)
		profile = protowire.AppendString(profile, text)
	}
	profile = protowire.AppendTag(profile, 12, protowire.VarintType)
	profile = protowire.AppendVarint(profile, 99)
	profile = appendSample(profile, true, 10, 2, 3)
	profile = appendSample(profile, false, 20, 2, 3)
	profile = appendSample(profile, true, 40, 2, 4)
	profile = appendSample(profile, true, 80, 1, 3)
	got := sumByPart(profile)
	want := map[string]time.Duration{partRouter: 30, partCaller: 40, "": 80}
	for part, took := range want {
		if got[part] != took {
			t.Errorf("%q took %d, want %d", part, got[part], took)
		}
	}
}

func appendSample(profile []byte, packed bool, took, key, text uint64) []byte {
	label := protowire.AppendVarint(protowire.AppendTag(nil, fieldLabelKey, protowire.VarintType), key)
	label = protowire.AppendVarint(protowire.AppendTag(label, fieldLabelText, protowire.VarintType), text)
	var sample []byte
	values := protowire.AppendVarint(protowire.AppendVarint(nil, 1), took)
	if packed {
		sample = protowire.AppendBytes(protowire.AppendTag(sample, fieldSampleValue, protowire.BytesType), values)
	} else {
		for _, value := range []uint64{1, took} {
			sample = protowire.AppendVarint(protowire.AppendTag(sample, fieldSampleValue, protowire.VarintType), value)
		}
	}
	sample = protowire.AppendBytes(protowire.AppendTag(sample, fieldSampleLabel, protowire.BytesType), label)
	return protowire.AppendBytes(protowire.AppendTag(profile, fieldSample, protowire.BytesType), sample)
}

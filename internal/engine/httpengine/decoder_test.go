package httpengine

import (
	"encoding/json"
	"reflect"
	"testing"

	"geraniumcroft/internal/config"
	"geraniumcroft/internal/engine"
)

func tokenEvent() engine.Event {
	return engine.Event{
		Kind: engine.EventToken, RequestID: "0192f3c4-7a1b-7000-8000-123456789abc", Epoch: 3, Position: 417, Text: "t417 ",
		Trace: []engine.Execution{
			{Target: "surco-a100-07", Epoch: 3, Layers: config.LayerRange{From: 0, To: 24}},
			{Target: "callao-l4-12", Epoch: 3, Layers: config.LayerRange{From: 24, To: 48}},
			{Target: "ate-l4-03", Epoch: 3, Layers: config.LayerRange{From: 48, To: 80}},
		},
	}
}

// FuzzDecodeEvent compares the decoder with encoding/json on arbitrary events. It decodes
// each event twice, the second time with the decoder's last strings equal to its own.
func FuzzDecodeEvent(f *testing.F) {
	f.Add("token", "r-1", uint32(1), 5, "a \"quoted\" é\n word", "e1", "e2", 4, "", "")
	f.Add("error", "", uint32(4294967295), -1, "", "", "\\", 0, "stop", "stage 2 \x00 died")
	f.Fuzz(func(t *testing.T, kind, id string, epoch uint32, position int, text, target, other string, layer int, finish, message string) {
		event := engine.Event{Kind: engine.EventKind(kind), RequestID: id, Epoch: epoch, Position: position, Text: text,
			Finish: finish, Message: message, FailedStage: layer, ReusedKV: position}
		event.Trace = []engine.Execution{
			{Target: target, Epoch: epoch, Layers: config.LayerRange{To: layer}},
			{Target: other, Layers: config.LayerRange{From: layer, To: position}},
		}
		line, err := json.Marshal(event)
		if err != nil {
			t.Skip()
		}
		var expected engine.Event
		if err := json.Unmarshal(line, &expected); err != nil {
			t.Fatal(err)
		}
		var d decoder
		if _, err := d.decode([]byte(`{"kind":"token","requestId":"before","trace":[{"target":"x","layers":{"from":1,"to":2}}]}`)); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			buffer := append([]byte(nil), line...)
			got, err := d.decode(buffer)
			clear(buffer) // the event must not refer to the buffer
			if err != nil || !reflect.DeepEqual(got, expected) {
				t.Fatalf("%s: %+v, %v; expected %+v", line, got, err, expected)
			}
		}
	})
}

// FuzzDecodeLine checks that lines which an engine must not send do not make the decoder
// panic, and that an empty line is an error.
func FuzzDecodeLine(f *testing.F) {
	for _, line := range []string{``, `{`, `null`, `[]`, `{"kind":"token"`, `{"kind":"token"} x`, `{"trace":[{"layers":null}]}`, `{"position":1e99}`, `{"x":[[[{}]]]}`} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var d decoder
		_, err := d.decode(line)
		if err == nil && len(line) == 0 {
			t.Fatal("an empty line was decoded as an event")
		}
	})
}

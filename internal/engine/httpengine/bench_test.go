package httpengine

import (
	"encoding/json"
	"testing"

	"geraniumcroft/internal/engine"
)

func BenchmarkDecode(b *testing.B) {
	line, _ := json.Marshal(tokenEvent())
	b.Run("encoding/json", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var event engine.Event
			if err := json.Unmarshal(line, &event); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("jlexer", func(b *testing.B) {
		b.ReportAllocs()
		var d decoder
		for b.Loop() {
			if _, err := d.decode(line); err != nil {
				b.Fatal(err)
			}
		}
	})
}

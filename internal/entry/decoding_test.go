package entry

import (
	"testing"

	"geraniumcroft/internal/relay"
)

// Guards against a row of the operator's tables that ends each VM which reads it.
func TestDecoderThatPanicsFails(t *testing.T) {
	w := withoutPanics(Adapter{
		DecodeConfig:  func(rows map[string][]byte) (*relay.Config, error) { return nil, nilMap(rows) },
		DecodeReplica: func(string, []byte) (relay.Replica, error) { panic("a row") },
	})
	if _, err := w.DecodeConfig(nil); err == nil {
		t.Error("a configuration was decoded")
	}
	if _, err := w.DecodeReplica("a", nil); err == nil {
		t.Error("an entry was decoded")
	}
}

func nilMap(rows map[string][]byte) error {
	rows["x"] = nil
	return nil
}

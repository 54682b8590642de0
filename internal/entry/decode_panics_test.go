package entry

import (
	"testing"

	"geraniumcroft/internal/relay"
)

// Guards against a row of the operator's tables that crashes each VM that reads it.
func TestDecoderThatPanicsFails(t *testing.T) {
	a := withPanicsAsErrors(Adapter{
		DecodeConfig:  func(rows map[string][]byte) (*relay.Config, error) { return nil, nilMap(rows) },
		DecodeReplica: func(string, []byte) (relay.Replica, error) { panic("a row") },
	})
	if _, err := a.DecodeConfig(nil); err == nil {
		t.Error("no error from DecodeConfig")
	}
	if _, err := a.DecodeReplica("a", nil); err == nil {
		t.Error("no error from DecodeReplica")
	}
}

func nilMap(rows map[string][]byte) error {
	rows["x"] = nil
	return nil
}

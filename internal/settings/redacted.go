package settings

import (
	"reflect"
	"time"
)

// Redacted returns the settings by section and key, as the dump shows them. The
// settings themselves hold no secrets; for files that hold secrets only the paths are
// shown.
func (s *Settings) Redacted() map[string]map[string]any {
	shown := map[string]map[string]any{}
	for _, key := range Keys {
		if shown[key.Section] == nil {
			shown[key.Section] = map[string]any{}
		}
		shown[key.Section][key.Name] = displayValue(key.field(s))
	}
	return shown
}

func displayValue(field any) any {
	if duration, ok := field.(*time.Duration); ok {
		return duration.String()
	}
	return reflect.ValueOf(field).Elem().Interface()
}

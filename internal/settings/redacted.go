package settings

import (
	"reflect"
	"time"
)

// Redacted returns the settings by section and key, as the dump shows them. No
// secret stands in the settings themselves; of the files that hold secrets only
// the paths are shown.
func (s *Settings) Redacted() map[string]map[string]any {
	shown := map[string]map[string]any{}
	for _, key := range Keys {
		if shown[key.Section] == nil {
			shown[key.Section] = map[string]any{}
		}
		shown[key.Section][key.Name] = readable(key.field(s))
	}
	return shown
}

func readable(field any) any {
	if duration, ok := field.(*time.Duration); ok {
		return duration.String()
	}
	return reflect.ValueOf(field).Elem().Interface()
}

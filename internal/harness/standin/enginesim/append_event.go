package enginesim

import (
	"encoding/json"
	"strconv"

	"geraniumcroft/internal/engine"
)

// appendEvent appends an event as a line of JSON. Token events are encoded without
// reflection: the simulator must be much faster than the system that is measured
// with it.
func appendEvent(buf []byte, event *engine.Event) []byte {
	if event.Kind != engine.EventToken {
		data, _ := json.Marshal(event) // all fields of an event can be marshalled
		return append(append(buf, data...), '\n')
	}
	buf = append(buf, `{"kind":"token","requestId":`...)
	buf = appendString(buf, event.RequestID)
	buf = append(buf, `,"epoch":`...)
	buf = strconv.AppendUint(buf, uint64(event.Epoch), 10)
	buf = append(buf, `,"position":`...)
	buf = strconv.AppendInt(buf, int64(event.Position), 10)
	buf = append(buf, `,"text":`...)
	buf = appendString(buf, event.Text)
	buf = append(buf, `,"trace":[`...)
	for i := range event.Trace {
		if i > 0 {
			buf = append(buf, ',')
		}
		buf = appendExecution(buf, &event.Trace[i])
	}
	return append(buf, "]}\n"...)
}

func appendExecution(buf []byte, x *engine.Execution) []byte {
	buf = append(buf, `{"target":`...)
	buf = appendString(buf, x.Target)
	buf = append(buf, `,"epoch":`...)
	buf = strconv.AppendUint(buf, uint64(x.Epoch), 10)
	buf = append(buf, `,"layers":{"from":`...)
	buf = strconv.AppendInt(buf, int64(x.Layers.From), 10)
	buf = append(buf, `,"to":`...)
	buf = strconv.AppendInt(buf, int64(x.Layers.To), 10)
	return append(buf, "}}"...)
}

func appendString(buf []byte, s string) []byte {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' || s[i] == '"' || s[i] == '\\' {
			data, _ := json.Marshal(s) // cannot fail for a string
			return append(buf, data...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}

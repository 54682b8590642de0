package httpengine

import (
	"github.com/mailru/easyjson/jlexer"

	"geraniumcroft/internal/engine"
)

// decoder decodes the events of one stream. Most strings of an event equal those of the
// event before. The decoder reuses these, so that a token needs two allocations: its text
// and its trace.
type decoder struct {
	lastKind      engine.EventKind
	lastRequestID string
	lastTargets   []string
	traceLength   int
}

// decode decodes one event. Unknown fields are skipped.
func (d *decoder) decode(line []byte) (engine.Event, error) {
	var event engine.Event
	in := jlexer.Lexer{Data: line}
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		if in.IsNull() {
			in.Skip()
		} else {
			d.field(&in, key, &event)
		}
		in.WantComma()
	}
	in.Delim('}')
	in.Consumed()
	return event, in.Error()
}

func (d *decoder) field(in *jlexer.Lexer, key string, event *engine.Event) {
	switch key {
	case "kind":
		event.Kind = engine.EventKind(reuse((*string)(&d.lastKind), in.UnsafeString()))
	case "requestId":
		event.RequestID = reuse(&d.lastRequestID, in.UnsafeString())
	case "epoch":
		event.Epoch = in.Uint32()
	case "position":
		event.Position = in.Int()
	case "text":
		event.Text = in.String()
	case "trace":
		event.Trace = d.trace(in)
	case "finish":
		event.Finish = in.String()
	case "blame":
		event.FailedStage = in.Int()
	case "message":
		event.Message = in.String()
	case "reusedKV":
		event.ReusedKV = in.Int()
	default:
		in.SkipRecursive()
	}
}

func (d *decoder) trace(in *jlexer.Lexer) []engine.Execution {
	trace := make([]engine.Execution, 0, d.traceLength)
	in.Delim('[')
	for !in.IsDelim(']') {
		trace = append(trace, d.execution(in, len(trace)))
		in.WantComma()
	}
	in.Delim(']')
	d.traceLength = len(trace)
	return trace
}

func (d *decoder) execution(in *jlexer.Lexer, index int) engine.Execution {
	var x engine.Execution
	if index == len(d.lastTargets) {
		d.lastTargets = append(d.lastTargets, "")
	}
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		switch key {
		case "target":
			x.Target = reuse(&d.lastTargets[index], in.UnsafeString())
		case "epoch":
			x.Epoch = in.Uint32()
		case "layers":
			x.Layers.From, x.Layers.To = layers(in)
		default:
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
	return x
}

func layers(in *jlexer.Lexer) (from, to int) {
	in.Delim('{')
	for !in.IsDelim('}') {
		key := in.UnsafeFieldName(false)
		in.WantColon()
		switch key {
		case "from":
			from = in.Int()
		case "to":
			to = in.Int()
		default:
			in.SkipRecursive()
		}
		in.WantComma()
	}
	in.Delim('}')
	return from, to
}

// reuse returns the last string if it equals the value, and otherwise a copy of the value,
// which becomes the last string. The value itself is in a buffer that will be overwritten.
func reuse(last *string, value string) string {
	if *last != value {
		*last = string([]byte(value))
	}
	return *last
}

package telemetry

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with one level and message, the first sampleFirst in a second are
// logged and then one in sampleThereafter.
const (
	sampleFirst      = 100
	sampleThereafter = 100
)

// Log is a logger with the writer behind it.
type Log struct {
	*zap.Logger
	writer *AsyncWriter
}

// NewLog returns a logger that is sampled under load and never blocks.
func NewLog(o LogOptions) (*Log, error) {
	level, err := zapcore.ParseLevel(o.Level)
	if err != nil {
		return nil, err
	}
	writer := NewAsyncWriter(o.Out)
	core := terseErrors{zapcore.NewCore(encoder(o.Format), writer, level)}
	sampled := zapcore.NewSamplerWithOptions(core, time.Second, sampleFirst, sampleThereafter)
	return &Log{Logger: zap.New(sampled), writer: writer}, nil
}

// Dropped returns how many lines were lost because the log's writer was stalled.
func (l *Log) Dropped() uint64 { return l.writer.Dropped() }

// Close writes out what is queued.
func (l *Log) Close() error { return l.writer.Close() }

func encoder(format string) zapcore.Encoder {
	config := zap.NewProductionEncoderConfig()
	config.TimeKey = "time"
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	if format == "console" {
		return zapcore.NewConsoleEncoder(config)
	}
	return zapcore.NewJSONEncoder(config)
}

package telemetry

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Of the lines with the same level and message, the first sampleFirst in each second are
// logged, and after that one in sampleThereafter.
const (
	sampleFirst      = 100
	sampleThereafter = 100
)

// Log is a logger with its asynchronous writer.
type Log struct {
	*zap.Logger
	writer *AsyncWriter
}

// NewLog returns a logger that never blocks and samples lines under load. Close it to write
// the queued lines. It returns an error if the level is invalid.
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

// Dropped returns the number of lines dropped because the log's writer was stalled.
func (l *Log) Dropped() uint64 { return l.writer.Dropped() }

// Close writes the queued lines, see AsyncWriter.Close.
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

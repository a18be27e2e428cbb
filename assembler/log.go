package assembler

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"celeryvalve/parser"
)

// newLogger returns a logger that writes to w in the format and from the level of the
// settings. An unknown level counts as info. Components add their names with Named.
func newLogger(settings parser.LogSettings, w io.Writer) *zap.Logger {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoder := zapcore.NewJSONEncoder(cfg)
	if settings.Format == parser.LogText {
		cfg.EncodeLevel = zapcore.CapitalLevelEncoder
		cfg.ConsoleSeparator = " "
		encoder = zapcore.NewConsoleEncoder(cfg)
	}
	level, err := zapcore.ParseLevel(string(settings.Level))
	if err != nil {
		level = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(encoder, zapcore.Lock(zapcore.AddSync(w)), level))
}

package operator

import (
	"errors"
	"io"
	"log/slog"
	"maps"
	"slices"

	"github.com/go-logr/logr"
)

// ErrUnknownLevel means that there is no log level with the given name.
var ErrUnknownLevel = errors.New("unknown log level")

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug,
	"info":  slog.LevelInfo,
	"warn":  slog.LevelWarn,
	"error": slog.LevelError,
}

func levelNames() []string {
	return slices.Sorted(maps.Keys(levels))
}

// LogLevel is the level of a log. It can be changed at runtime.
type LogLevel struct {
	level slog.LevelVar
}

// NewLog returns a logger that writes JSON lines to output, and its level, initially the
// named one. Lines with the same message are rate-limited.
func NewLog(output io.Writer, instance, level string) (logr.Logger, *LogLevel, error) {
	current := &LogLevel{}
	if err := current.Set(level); err != nil {
		return logr.Logger{}, nil, err
	}
	handler := slog.NewJSONHandler(output, &slog.HandlerOptions{Level: &current.level})
	return logr.FromSlogHandler(newRateLimitedHandler(handler)).WithValues("instance", instance), current, nil
}

// Set sets the level to the named one.
func (l *LogLevel) Set(name string) error {
	level, ok := levels[name]
	if !ok {
		return ErrUnknownLevel
	}
	l.level.Set(level)
	return nil
}

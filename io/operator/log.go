package operator

import (
	"errors"
	"io"
	"log/slog"
	"maps"
	"slices"

	"github.com/go-logr/logr"
)

// ErrUnknownLevel means that a log level has none of the known names.
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

// LogLevel is the level of a log, changeable while the process runs.
type LogLevel struct {
	level slog.LevelVar
}

// NewLog returns a log of JSON lines that starts at the named level. The lines of
// each kind are limited.
func NewLog(to io.Writer, instance, level string) (logr.Logger, *LogLevel, error) {
	current := &LogLevel{}
	if err := current.Set(level); err != nil {
		return logr.Logger{}, nil, err
	}
	handler := slog.NewJSONHandler(to, &slog.HandlerOptions{Level: &current.level})
	return logr.FromSlogHandler(newLimitedHandler(handler)).WithValues("instance", instance), current, nil
}

// Set changes the level.
func (l *LogLevel) Set(name string) error {
	level, ok := levels[name]
	if !ok {
		return ErrUnknownLevel
	}
	l.level.Set(level)
	return nil
}

package cli

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"acaciavane/core"
	"acaciavane/io/operator"
)

// reloadInterval is how often the settings file is checked for a change without a
// signal.
const reloadInterval = 2 * core.Second

// reloader applies changes of the settings file to a running instance.
type reloader struct {
	instance *instance
	level    *operator.LogLevel
	file     string
	// raw is the content of the file that was last read.
	raw []byte
}

// run rereads the file after SIGHUP and every reloadInterval, until ctx ends.
func (r *reloader) run(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			r.reload("signal")
		case <-r.instance.clock.After(reloadInterval):
			r.reload("poll")
		case <-ctx.Done():
			return nil
		}
	}
}

// reload applies the file if it has changed: the log level, the peers and the limit of
// the retry budget. All other settings apply only after a restart.
func (r *reloader) reload(cause string) {
	log := r.instance.log
	raw, err := os.ReadFile(r.file)
	if err != nil {
		log.Error(err, "settings not reloaded", "cause", cause)
		return
	}
	if slices.Equal(raw, r.raw) {
		if cause == "signal" {
			log.Info("settings unchanged", "cause", cause)
		}
		return
	}
	r.raw = raw
	settings, err := operator.DecodeSettings(r.file, raw)
	if err != nil {
		log.Error(err, "settings not reloaded", "cause", cause)
		return
	}
	if err := r.level.Set(settings.LogLevel); err != nil {
		log.Error(err, "log level not changed", "level", settings.LogLevel)
	}
	r.instance.peers.AddSeeds(settings.Peers)
	if r.instance.routes != nil {
		r.instance.routes.retryBudget.SetLimit(settings.RetryBudget)
	}
	log.Info("settings reloaded", "cause", cause, "peers", settings.Peers, "logLevel", settings.LogLevel)
}

package cli

import (
	"slices"

	"acaciavane/core"
)

// logUpstream logs that an upstream came into use or went out of use.
func (i *instance) logUpstream(change core.UpstreamChange) {
	event := "upstream out of use"
	if change.InUse {
		event = "upstream in use"
	}
	i.log.Info(event, "upstream", change.Name, "service", change.Service, "zone", change.Zone,
		"incarnation", change.Incarnation, "cause", change.Cause, "heardMillisAgo", int64(i.clock.Since(change.HeardAt)))
}

// logInvalidEntries logs which entries of the instance list are left out, when that changes. The
// store calls it with one list at a time.
func (i *instance) logInvalidEntries(list core.InstanceList) {
	if slices.Equal(list.Invalid, i.lastInvalidEntries) {
		return
	}
	i.lastInvalidEntries = list.Invalid
	i.log.Info("invalid entries in the instance list", "entries", list.Invalid, "era", list.Revision.Era(), "revision", list.Revision.Number())
}

// logLimit logs a change of the request limit of an upstream.
func (i *instance) logLimit(change core.LimitChange) {
	fields := []any{"upstream", change.Name, "service", change.Service, "source", change.Source, "sent", change.Sent}
	if limit, limited := change.Limit.Get(); limited {
		i.log.Info("upstream limited", append(fields, "limitPerSecond", limit)...)
		return
	}
	i.log.Info("upstream no longer limited", fields...)
}

// logCold logs and counts that an upstream is treated as cold, or no longer.
func (i *instance) logCold(change core.ColdChange) {
	fields := []any{"upstream", change.Name, "service", change.Service, "source", change.Source}
	if limit, cold := change.PerSecond.Get(); cold {
		i.counters.Add(core.CountColdPeriods, 1)
		i.log.Info("upstream cold", append(fields, "limitPerSecond", limit, "remainingMillis", int64(change.Remaining))...)
		return
	}
	i.log.Info("upstream no longer cold", fields...)
}

// logPause logs that an upstream asks for a pause, or that it has ended.
func (i *instance) logPause(change core.PauseChange) {
	if change.Pause == 0 {
		i.log.Info("upstream no longer paused", "upstream", change.Name, "service", change.Service)
		return
	}
	i.counters.Add(core.CountUpstreamPauses, 1)
	i.log.Info("upstream paused", "upstream", change.Name, "service", change.Service, "pauseMillis", int64(change.Pause))
}

// logInvalidSignals logs and counts what an upstream has stated about itself in a form that can't be
// read.
func (i *instance) logInvalidSignals(name string, fields []string) {
	i.counters.Add(core.CountInvalidSignals, len(fields))
	i.log.Info("invalid signals of an upstream", "upstream", name, "fields", fields)
}

// logEstimate logs and counts a change of the capacity estimate of an upstream.
func (i *instance) logEstimate(change core.EstimateChange) {
	i.counters.Add(core.CountEstimateChanges, 1)
	i.log.Info("upstream capacity estimate changed", "upstream", change.Name, "service", change.Service,
		"latencyFactor", change.Speed, "risesAtShareOfSlots", change.Knee, "expectedLatencyMillis", change.LatencyMillis)
}

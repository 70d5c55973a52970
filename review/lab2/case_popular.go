package main

import (
	"sync"
	"time"
)

// Times and sizes of the case.
const (
	popularLength = 100 * time.Second
	popularCalm   = 1500 * time.Millisecond
	// crashPause is the time between two crashes, and downTime how long a crashed backend is down.
	crashPause = 500 * time.Millisecond
	downTime   = 4500 * time.Millisecond
	// In each wave, both backends of the shard downShard crash and one backend of each of waveSingles
	// other shards. wavePause is the time between the beginnings of two waves.
	waves        = 2
	wavePause    = 5 * time.Second
	downShard    = 3
	waveSingles  = 6
	backendsEach = 2
)

// popularCase crashes some backends in two waves, each time among them both of one shard. Each is back
// 4.5 s later. It checks that no kind of request is starved over the whole time.
func popularCase(d *deployment, trouble bool, record *recorder) int {
	if err := d.addSmallDeployment(); err != nil {
		record.line("%v", err)
		return exitNotRun
	}
	return d.playTraffic(popularLength, popularCalm, record, func(time.Time) {
		if trouble {
			d.crashSome(record)
		}
	})
}

// crashSome crashes backends in two waves: both of one shard, and then one of each of some other shards.
func (d *deployment) crashSome(record *recorder) {
	var group sync.WaitGroup
	for wave := range waves {
		group.Go(func() {
			time.Sleep(time.Duration(wave) * wavePause)
			for n := range backendsEach {
				group.Go(func() { d.crashFor(downTime, d.backends[downShard*backendsEach+n], record) })
			}
			for n := range waveSingles {
				time.Sleep(crashPause)
				shard := downShard + 1 + wave*waveSingles + n
				group.Go(func() { d.crashFor(downTime, d.backends[shard*backendsEach], record) })
			}
		})
	}
	group.Wait()
}

// crashFor crashes a backend and starts it again after the time.
func (d *deployment) crashFor(length time.Duration, victim *backend, record *recorder) {
	record.line("backend %s of %s crashes", victim.id, victim.service)
	victim.crash()
	time.Sleep(length)
	if err := d.restart(victim); err != nil {
		record.line("backend of %s did not start again: %v", victim.service, err)
		return
	}
	record.line("backend %s of %s has started again", victim.id, victim.service)
}

package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// wavesTopicName is the topic that records which pools have completed their part of a
	// maintenance wave.
	wavesTopicName = "keyed.waves"
	// cloudTimeout bounds a call to the platform's machine API.
	cloudTimeout = 1200 * time.Millisecond
	// statusRetryDelay is the pause after a failed append of a status.
	statusRetryDelay = 300 * time.Millisecond
)

// addWave adds a maintenance wave that the operators request. If a wave of the same number is
// known, the first one stays in force, as its machines may already be going down.
func (n *Node) addWave(ctx context.Context, w pool.Wave) {
	var all []pool.Wave
	if old := n.waves.Load(); old != nil {
		all = append(all, *old...)
	}
	if slices.ContainsFunc(all, func(o pool.Wave) bool { return o.Number == w.Number }) {
		return
	}
	all = append(all, w)
	n.waves.Store(&all)
	n.log.Info().Int("wave", w.Number).Int("machines", len(w.Machines)).Int("cap", w.Cap).Dur("within", w.Duration).Msg("wave.asked")
	for _, pc := range n.allControllers() {
		go pc.send(ctx, func() {
			if pc.own != nil && pc.own.loaded {
				pc.own.sendWaves()
			}
		})
	}
}

// sendWaves tells the core which waves are requested.
func (o *ownership) sendWaves() {
	if waves := o.pc.node.waves.Load(); waves != nil && o.pc.node.opts.Cloud != nil {
		o.step(pool.WavesRequested{Waves: *waves})
	}
}

// executeWaveAction executes an action of the core that concerns the platform's machines.
func (o *ownership) executeWaveAction(a pool.Action) {
	n := o.pc.node
	switch a := a.(type) {
	case pool.ListMachines:
		if n.opts.Cloud == nil {
			return // this deployment has no list of machines
		}
		go func() {
			list, err := n.opts.Cloud.Machines(withTimeout(o.ctx, cloudTimeout))
			var partial PartialError
			switch {
			case errors.As(err, &partial):
				n.unreadable.report(sourceMachines, "", noOffset, partial.Err)
			case err != nil:
				o.pc.log.Warn().Err(err).Msg("machines.unread")
			}
			o.send(pool.MachinesListed{Machines: list, Partial: partial.Err != nil})
		}()
	case pool.StartMaintenance:
		o.pc.log.Info().Int("wave", a.Wave).Str("machine", a.Machine).Uint64("epoch", a.Token).Msg("machine.upkeep")
		go func() {
			out := n.opts.Cloud.StartMaintenance(withTimeout(o.ctx, cloudTimeout), n.opts.Name, a)
			o.send(pool.MaintenanceAnswered{Wave: a.Wave, Machine: a.Machine, Outcome: out})
		}()
	case pool.WaveStarted:
		go o.storeWaveStatus(a.Wave, false)
	case pool.WaveFinished:
		go o.finishWave(a)
	}
}

// storeWaveStatus stores a wave's status for the operators.
func (o *ownership) storeWaveStatus(number int, completed bool) {
	n := o.pc.node
	o.appendWithRetry(n.directory.StatusTopic(), n.directory.EncodeWave(number, completed))
}

// finishWave records that this pool has completed its part of a wave, then checks whether all pools
// have, and marks the wave as completed if so. Since each pool records before it checks, the last
// one sees all records.
func (o *ownership) finishWave(f pool.WaveFinished) {
	n := o.pc.node
	topic := Topic{Name: wavesTopicName}
	key := func(part int) string { return fmt.Sprintf("%d/%d", f.Wave, part) }
	o.appendWithRetry(topic, pool.Record{Key: key(o.pc.topic.Part), Value: []byte("1")})
	for o.ctx.Err() == nil {
		page := (&follower{store: n.store, topic: topic, now: n.now}).readNewest(o.ctx, 0)
		if page.err != nil {
			sleep(o.ctx, statusRetryDelay)
			continue
		}
		recorded := map[string]bool{}
		for _, rec := range page.records {
			recorded[rec.Key] = true
		}
		for _, service := range f.Services {
			if !recorded[key(partOf(service, n.opts.Parts))] {
				return
			}
		}
		o.pc.log.Info().Int("wave", f.Wave).Msg("wave.completed")
		o.storeWaveStatus(f.Wave, true)
		return
	}
}

func (o *ownership) appendWithRetry(topic Topic, rec pool.Record) {
	for o.ctx.Err() == nil {
		if _, err := o.pc.node.store.Append(withTimeout(o.ctx, appendTimeout), topic, []pool.Record{rec}, nil); err == nil {
			return
		}
		sleep(o.ctx, statusRetryDelay)
	}
}

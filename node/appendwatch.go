package node

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// appendProbeDelay is the time without an answer after which an append is checked; an answer
	// takes 4 to 20 ms. From then on, a read every appendProbeInterval shows whether the store
	// answers.
	appendProbeDelay    = 150 * time.Millisecond
	appendProbeInterval = 100 * time.Millisecond
	// appendLostFactor times the latency of a read is how long an append may take. On a store 60
	// times slower than usual a read takes 0.24 s, and an append up to three times as long while
	// others precede it.
	appendLostFactor = 4
	// storeSilenceLimit is the time without an answer to an append after which the owner's appends
	// count as failing, unless a read is answered.
	storeSilenceLimit = 600 * time.Millisecond
)

// setAppendsFailing tells the pool controller when this instance's appends begin or cease to fail.
func (o *ownership) setAppendsFailing(failing bool) {
	if o.appendsFailingShared.Swap(failing) != failing {
		o.pc.send(o.ctx, func() {
			if o.appendsFailing = failing; failing {
				o.saves.refuseIntake()
			}
		})
	}
}

// watchAppend cancels an append that hangs although the store answers: its answer was lost, or it
// was sent while the store was unavailable, and no answer will come. It is then repeated with the
// same sequence number. Left to its timeout, the owner stored nothing for up to 1.2 s after each
// outage and after each lost answer.
//
// On a slow store reads take longer too, so the append is given a multiple of their latency. If the
// store answers neither, the owner's appends count as failing.
func (o *ownership) watchAppend(done <-chan struct{}, cancel func()) {
	sent := o.pc.node.now()
	answered := make(chan time.Duration, appendTimeout/appendProbeInterval+1)
	answeredOnce := false
	ctx, cancelTicks := context.WithCancel(o.ctx)
	defer cancelTicks()
	ticks := startTicks(ctx, appendProbeInterval)
	for {
		select {
		case <-done:
			return
		case <-o.ctx.Done():
			return
		case took := <-answered:
			answeredOnce = true
			if waited := o.pc.node.now() - sent; waited > appendProbeDelay+appendLostFactor*took {
				cancel()
				return
			}
		case <-ticks:
			waited := o.pc.node.now() - sent
			if waited > storeSilenceLimit && !answeredOnce {
				o.setAppendsFailing(true)
			}
			if waited >= appendProbeDelay {
				go o.probeStore(answered)
			}
		}
	}
}

// probeStore makes an empty read of the store, and sends its latency.
func (o *ownership) probeStore(answered chan<- time.Duration) {
	start := o.pc.node.now()
	if _, _, err := o.pc.node.store.Read(withTimeout(o.ctx, storeProbeTimeout), o.pc.topic, o.streamEnd.Load(), 0); err != nil && !errors.Is(err, ErrTrimmed) {
		return
	}
	answered <- o.pc.node.now() - start
}

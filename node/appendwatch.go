package node

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// appendDoubtful is when an append is looked after that has no answer; it has one
	// after 4 to 20 ms. A read every probeEvery tells then whether the store answers.
	appendDoubtful = 150 * time.Millisecond
	probeEvery     = 100 * time.Millisecond
	// lostAfter is how many times as long as a read an append may take: on a store 60
	// times slower than usual a read takes 0.24 s, and an append up to three times as
	// long while others are before it.
	lostAfter = 4
	// silentStore is an append without an answer after which the owner counts as
	// turned away, unless a read is answered.
	silentStore = 600 * time.Millisecond
)

// setAway tells the unit when the store begins or ceases to turn this instance away.
func (o *ownership) setAway(away bool) {
	if o.away.Swap(away) != away {
		o.unit.send(o.ctx, func() {
			if o.turnedAway = away; away {
				o.saves.refuseIntake()
			}
		})
	}
}

// watchAppend ends an append that hangs although the store answers: its answer was
// lost, or it was sent while the store was away, and no answer will come. It is sent
// again then, under the same number. Left to its timeout, the owner stored nothing
// for up to 1.2 s after each outage and after each answer that was lost.
//
// On a slow store reads take longer too, so the append has several times as long. And
// if the store answers nothing at all, the owner counts as turned away.
func (o *ownership) watchAppend(over <-chan struct{}, giveUp func()) {
	sent := o.unit.node.now()
	answered := make(chan time.Duration, appendTimeout/probeEvery+1)
	heard := false
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-over:
			return
		case <-o.ctx.Done():
			return
		case took := <-answered:
			heard = true
			if waited := o.unit.node.now() - sent; waited > appendDoubtful+lostAfter*took {
				giveUp()
				return
			}
		case <-t.C:
			waited := o.unit.node.now() - sent
			if waited > silentStore && !heard {
				o.setAway(true)
			}
			if waited >= appendDoubtful {
				go o.probe(answered)
			}
		}
	}
}

// probe asks the store for nothing, and tells how long the answer took.
func (o *ownership) probe(answered chan<- time.Duration) {
	began := o.unit.node.now()
	if _, _, err := o.unit.node.store.Read(withTimeout(o.ctx, checkTimeout), o.unit.topic, o.end.Load(), 0); err != nil && !errors.Is(err, ErrTrimmed) {
		return
	}
	answered <- o.unit.node.now() - began
}

// Package planpace spaces out an owner's passes of placement. A pass goes over all waiting steps and
// all workers. If each batch of events is followed by one, an owner under load spends nearly all of its
// processor time on passes, and the starts, lease renewals and ends that wait behind them are late.
// The package does no I/O and reads no clock.
package planpace

import "time"

// MaxShareDivisor is the number of which passes may use one part of the owner's time. The rest is
// left to starts, renewals, ends and requests for advice. A pass of 0.2 to 2 ms then delays a start by
// less than 8 ms, of the 250 ms that the most urgent jobs have to spare.
const MaxShareDivisor = 4

// Pacer determines when the next pass may start. The zero value allows one at once.
type Pacer struct {
	notBefore time.Duration
}

// Done notes a pass that started and ended at the given times of the owner's clock.
func (p *Pacer) Done(start, end time.Duration) {
	p.notBefore = start + MaxShareDivisor*max(0, end-start)
}

// Wait returns how long after now the next pass may start; 0: now.
func (p *Pacer) Wait(now time.Duration) time.Duration { return max(0, p.notBefore-now) }

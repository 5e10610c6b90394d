package node

import (
	"context"
	"time"
)

// waitResult is the reason for which a wait ended.
type waitResult int

const (
	waitElapsed waitResult = iota
	waitReceived
	waitCanceled
)

// waitFor waits for a value, until d has elapsed or the context is done. A nil channel never
// delivers a value. With a d of 0 or less it returns at once, with a value if one is available.
//
// It creates no timer in that case; see after.
func waitFor[T any](ctx context.Context, d time.Duration, values <-chan T) (v T, end waitResult) {
	if d <= 0 {
		select {
		case v = <-values:
			return v, waitReceived
		default:
			return v, waitElapsed
		}
	}
	select {
	case v = <-values:
		return v, waitReceived
	case <-after(d):
		return v, waitElapsed
	case <-ctx.Done():
		return v, waitCanceled
	}
}

// sleep waits until d has elapsed or the context is done.
func sleep(ctx context.Context, d time.Duration) {
	waitFor[struct{}](ctx, d, nil)
}

// after is time.After for the select that it stands in, without a timer if there is nothing to wait
// for. An expired timer is run by the goroutine that looks at it, and two goroutines that do so at
// once in a synctest bubble crash the race detector.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	elapsed := make(chan time.Time, 1)
	elapsed <- time.Now()
	return elapsed
}

// startTicks returns a channel that receives at every interval until the context is done. A tick is
// dropped while the one before hasn't been received. Unlike a time.Ticker's, the ticks may be
// received after other waits; see after.
func startTicks(ctx context.Context, interval time.Duration) <-chan struct{} {
	ticks := make(chan struct{}, 1)
	go func() {
		for {
			sleep(ctx, interval)
			if ctx.Err() != nil {
				return
			}
			select {
			case ticks <- struct{}{}:
			default:
			}
		}
	}()
	return ticks
}

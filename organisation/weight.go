package organisation

import "time"

// weightBurst is the time for which an organisation may submit all at once what its weight allows.
const weightBurst = 5 * time.Second

// WeightBucket is a token bucket that tells which of an organisation's jobs are within its weight, in
// jobs per second, and which are beyond it. The zero value is a full bucket.
type WeightBucket struct {
	used   float64 // tokens taken and not refilled yet
	excess float64 // jobs beyond the weight, less what the weight would have allowed since
	at     time.Duration
}

// Take counts a job submitted at a time, which is not before that of the last call, and reports whether
// it is within the weight. All jobs of an organisation without a weight are beyond it.
func (b *WeightBucket) Take(weight int, at time.Duration) bool {
	b.refill(weight, at)
	if !b.within(weight) {
		b.excess++
		return false
	}
	b.used++
	return true
}

// Within reports whether a job submitted at a time, which is not before that of the last call, would be
// within the weight. It changes nothing.
func (b WeightBucket) Within(weight int, at time.Duration) bool {
	b.refill(weight, at) // of the copy
	return b.within(weight)
}

func (b *WeightBucket) within(weight int) bool {
	return b.used+1 <= max(1, float64(weight)*weightBurst.Seconds()) && weight > 0
}

// Recovery returns how long the weight takes to make up for the jobs beyond it, if no more are
// submitted; 0: there is no weight.
func (b *WeightBucket) Recovery(weight int) time.Duration {
	if weight <= 0 {
		return 0
	}
	return time.Duration((1 + b.excess) / float64(weight) * float64(time.Second))
}

func (b *WeightBucket) refill(weight int, at time.Duration) {
	refill := float64(max(0, weight)) * max(0, at-b.at).Seconds()
	b.used, b.excess = max(0, b.used-refill), max(0, b.excess-refill)
	b.at = max(b.at, at)
}

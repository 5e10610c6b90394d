package node

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// busyFollowers and busyReads make followers meet between two reads at the same
	// moment many times over.
	busyFollowers = 20
	busyReads     = 2000
)

// busyStore has a new record each time it is read.
type busyStore struct{ Store }

func (busyStore) Newest(context.Context, Topic, string) ([]Stored, bool, int64, error) {
	return nil, false, 0, nil
}

func (busyStore) Read(_ context.Context, _ Topic, from int64, _ time.Duration) ([]Stored, int64, error) {
	return []Stored{{Offset: from, Record: pool.Record{Key: "k"}}}, from + 1, nil
}

// Whoever runs these tests under the race detector sees the whole process crash, about
// once in twelve runs beside load, with SIGSEGV in the runtime's timers. Followers that
// don't rest between two reads make a timer that is already due; each runs it itself when
// it looks at it, at the same moment as others, and all of a bubble share one context of
// the race detector for that. Here many followers do so at once.
func TestFollowersThatDoNotRestMakeNoTimers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var group sync.WaitGroup
		began := time.Now()
		for range busyFollowers {
			f := &follower{store: busyStore{}, now: func() time.Duration { return time.Since(began) }, wait: readWait,
				pause: func() time.Duration { return 0 }, readers: &readers{}}
			ctx, enough := context.WithCancel(ctx)
			reads := 0
			group.Go(func() {
				f.run(ctx, func(b batch) {
					if reads += len(b.records); reads == busyReads {
						enough()
					}
				})
				assert.Check(t, reads == busyReads, "reads: %d", reads)
			})
		}
		group.Wait()
	})
}

package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// circularStore is a store whose pages of newest records lead back to the first.
type circularStore struct {
	Store
	pages int
}

// Newest implements Store.
func (s *circularStore) Newest(ctx context.Context, _ Topic, _ string) ([]Stored, bool, int64, error) {
	s.pages++
	if sleep(ctx, time.Millisecond); ctx.Err() != nil {
		return nil, false, 0, ctx.Err()
	}
	return []Stored{{Offset: 1, Record: pool.Record{Key: string(rune('a' + s.pages%3)), Value: []byte("v")}}}, true, 9, nil
}

// Guards against a reader that never ends and keeps all that it has read, because the pages of newest records
// lead back to earlier ones.
func TestCircularPagesOfNewestRecordsAreAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &circularStore{}
		f := &follower{store: s, topic: Topic{Name: "t"}, now: func() time.Duration { return time.Hour }}
		read := make(chan batch, 1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { read <- f.readNewest(ctx, 0) }()
		select {
		case b := <-read:
			assert.ErrorContains(t, b.err, "pages")
			assert.Assert(t, s.pages <= 4 && len(b.records) == 0, "%d pages", s.pages)
		case <-time.After(10 * time.Second):
			t.Errorf("still reading after %d pages", s.pages)
		}
	})
}

package node

import (
	"context"

	"github.com/knapweedweir/knapweedweir/pool"
)

// directDone tells what came of an append without the owner.
type directDone struct {
	waiting []*submission
	err     error
}

// storeDirect stores a record without the owner, one append at a time with all
// that have come meanwhile. One append for each of them let a slow store's queue
// grow past all timeouts, and the repeats kept it there.
func (u *unit) storeDirect(ctx context.Context, s *submission) {
	u.direct = append(u.direct, s)
	u.appendDirect(ctx)
}

func (u *unit) appendDirect(ctx context.Context) {
	if u.directBusy || len(u.direct) == 0 {
		return
	}
	var done directDone
	var records []pool.Record
	for _, s := range u.direct {
		if s.take() {
			done.waiting = append(done.waiting, s)
			records = append(records, s.record)
		}
	}
	u.direct = nil
	if len(records) == 0 {
		return
	}
	u.directBusy = true
	go func() {
		_, done.err = u.node.store.Append(withTimeout(ctx, appendTimeout), u.topic, records, nil)
		u.send(ctx, done)
	}()
}

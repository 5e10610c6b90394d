package fakeplatform

import (
	"context"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// poll carries out a request and, if there is nothing to tell and the request
// allows it, holds the answer back until a task changes or a newer request comes.
func (f *fleet) poll(ctx context.Context, id string, req infra.SyncRequest) (infra.SyncReply, bool) {
	reply, ok := f.sync(id, req)
	deadline := time.Now().Add(time.Duration(req.WaitMillis) * time.Millisecond)
	for ok && reply.Refused == "" && reply.Partial && len(reply.Tasks) == 0 && time.Now().Before(deadline) {
		if !f.awaitChange(ctx, id, deadline) {
			return reply, false
		}
		reply, ok = f.again(id, req)
	}
	return reply, ok
}

// awaitChange returns when a task of the worker may have changed; false if the
// caller has left.
func (f *fleet) awaitChange(ctx context.Context, id string, deadline time.Time) bool {
	f.mu.Lock()
	w := f.workers[id]
	wake := w.wake
	next := w.nextEnd(deadline)
	f.mu.Unlock()
	timer := time.NewTimer(time.Until(next))
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// again makes the answer to a request that was carried out before.
func (f *fleet) again(id string, req infra.SyncRequest) (infra.SyncReply, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w.frozen {
		return infra.SyncReply{}, false
	}
	now := time.Now()
	w.advance(now)
	reply := infra.SyncReply{Reading: now.Sub(f.start).Milliseconds() + 1}
	if w.token != req.Token || w.sequence != req.Sequence {
		reply.Refused = "a newer request has come"
	}
	f.tell(w, req, &reply)
	return reply, true
}

// nextEnd is when the next task ends by itself, at the latest the given time.
func (w *fakeWorker) nextEnd(latest time.Time) time.Time {
	for _, t := range w.tasks {
		if t.State.Ended() || t.plan.RunMillis == 0 {
			continue
		}
		if end := t.started.Add(time.Duration(t.plan.RunMillis) * time.Millisecond); end.Before(latest) {
			latest = end
		}
	}
	return latest
}

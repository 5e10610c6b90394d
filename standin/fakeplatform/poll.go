package fakeplatform

import (
	"context"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// poll applies a request. If nothing has changed and the request asks for a long poll, it
// delays the reply until a task changes or a newer request arrives.
func (f *fleet) poll(ctx context.Context, id string, req infra.SyncRequest) (infra.SyncReply, bool) {
	reply, ok := f.sync(id, req)
	deadline := time.Now().Add(time.Duration(req.WaitMillis) * time.Millisecond)
	for ok && reply.Refused == "" && reply.Partial && len(reply.Tasks) == 0 && time.Now().Before(deadline) {
		if !f.awaitChange(ctx, id, deadline) {
			return reply, false
		}
		reply, ok = f.repeatReply(id, req)
	}
	return reply, ok
}

// awaitChange waits until a task of the worker may have changed. It returns false if the
// caller has disconnected.
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

// repeatReply returns a new reply to a request that has already been applied.
func (f *fleet) repeatReply(id string, req infra.SyncRequest) (infra.SyncReply, bool) {
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
	f.fillReply(w, req, &reply)
	return reply, true
}

// nextEnd returns when the next task ends by itself, or the given time if that is earlier.
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

package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// poll lets a request without orders wait at the worker for news, and asks only
// for what has changed since the last answer. A request with orders is answered
// at once, as its answer says whether they were carried out.
func (s *Shard) poll(now time.Duration, w *worker, req *infra.SyncRequest) {
	w.polling = 0
	if !w.reconciled {
		return
	}
	// All tasks are listed again from time to time, so that a worker which
	// miscounts its changes can't hide a task for good.
	if now-w.fullAt < s.cfg.FullEvery {
		req.Known = w.known
	}
	if req.Known > 0 && len(req.Starts) == 0 && len(req.Stops) == 0 {
		w.polling = s.cfg.PollWait
		req.WaitMillis = s.cfg.PollWait.Milliseconds()
	}
}

// mustWait reports whether the request in flight has to be waited for. One that
// the worker holds back gives way to new orders: the worker answers it as soon as
// the newer request arrives, and its answer no longer counts.
func (s *Shard) mustWait(now time.Duration, w *worker) bool {
	if !w.inflight || (w.urgent && w.polling > 0) {
		return false
	}
	return now-w.sentAt < s.cfg.SyncTimeout+w.polling
}

// misread reports whether a partial report leaves out what was never known. Taken
// for the truth it would hide tasks that run.
func misread(req infra.SyncRequest, reply infra.SyncReply) bool {
	return reply.Partial && (req.Known == 0 || reply.Boot != req.Boot)
}

package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// preparePoll lets the worker hold back the answer to a request without orders
// until something changes, and requests only the changes since the last answer.
// A request with orders is answered at once, because the answer reports whether
// they were executed.
func (s *Shard) preparePoll(now time.Duration, w *worker, req *infra.SyncRequest) {
	w.polling = 0
	if !w.reconciled {
		return
	}
	// All tasks are listed from time to time, so that a worker which miscounts
	// its changes can't hide a task permanently.
	if now-w.fullAt < s.cfg.FullReportInterval {
		req.Known = w.known
	}
	if req.Known > 0 && len(req.Starts) == 0 && len(req.Stops) == 0 {
		w.polling = s.cfg.PollWait
		req.WaitMillis = s.cfg.PollWait.Milliseconds()
	}
}

// awaitsAnswer reports whether no new request may be sent before the one in
// flight is answered. A request that the worker holds back may be replaced if
// there are new orders: the worker answers it as soon as the newer request
// arrives, and that answer is ignored.
func (s *Shard) awaitsAnswer(now time.Duration, w *worker) bool {
	if !w.inflight || (w.urgent && w.polling > 0) {
		return false
	}
	return now-w.sentAt < s.cfg.SyncTimeout+w.polling
}

// isInvalidPartial reports whether a partial report is relative to a state that
// this owner doesn't know. Accepting it would hide running tasks.
func isInvalidPartial(req infra.SyncRequest, reply infra.SyncReply) bool {
	return reply.Partial && (req.Known == 0 || reply.Boot != req.Boot)
}

package entry

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/dispatch"
	"github.com/knapweedweir/knapweedweir/settings"
)

// call is one caller's request in progress. Its handler goroutine executes the core's
// actions and answers the caller; claims and attempts run in goroutines of their own, so
// that a blocked one never delays the answer.
type call struct {
	entry     *Entry
	id        uint64
	team      string
	service   string
	requestID string
	config    settings.Service
	body      []byte
	deadline  time.Duration
	w         http.ResponseWriter

	// ctx is cancelled when the call has its final answer, caller when the caller disconnects.
	ctx, caller context.Context
	// stalled is set if the attempt in progress was cancelled as stalled.
	stalled atomic.Bool
	// cancel cancels the attempt in progress; attemptDone is closed when it has
	// ended. Only the handler goroutine accesses the two fields.
	cancel      context.CancelFunc
	attemptDone chan struct{}

	// answer is a runner's complete answer, or the beginning of one that was
	// streamed. It is set before the core is notified of the answer.
	answer *runnerAnswer

	mu sync.Mutex
	// claim is the state of the claim of a non-idempotent request.
	claim claimState
	// streaming is set once part of the answer may have been sent to the caller.
	streaming bool
	// reservedBytes is the memory reserved for answers, released when the call ends.
	reservedBytes int64
}

// claimState is the state of a call's claim. call.mu guards it.
type claimState struct {
	granted bool
	// ended is set when the call is over; a claim that is granted later is released.
	ended bool
	// holder is the other attempt that holds the claim of the request, if any.
	holder *dispatch.ClaimedRequest
}

// attemptID returns an ID that is unique among all calls at all entries.
func (c *call) attemptID() string {
	return fmt.Sprintf("%s-%x-%d", c.entry.settings.ID, c.entry.process.Incarnation, c.id)
}

// serve executes the core's actions until the request has its final answer.
func (c *call) serve(r *http.Request) {
	ctx, end := context.WithCancel(context.Background())
	defer end()
	defer c.releaseMemory()
	c.ctx, c.caller = ctx, r.Context()
	c.entry.requestIDs.Store(c.id, c.requestID)
	defer c.entry.requestIDs.Delete(c.id)
	actions := make(chan dispatch.Action, actionBufferSize)
	c.entry.post(requestArrived{dispatch.Request{ID: c.id, Team: c.team, Service: c.service, Name: c.requestID,
		Worth: c.config.Worth, Idempotent: c.config.Idempotent, Deadline: c.deadline}, actions})
	// The request of a caller that disconnects must not go on using a slot.
	stop := context.AfterFunc(r.Context(), func() { c.entry.post(gone{c.id}) })
	defer stop()
	for {
		select {
		case a := <-actions:
			if f, ok := a.(dispatch.Finished); ok {
				c.finish(f)
				return
			}
			c.perform(a)
		case <-c.entry.done:
			c.abort()
			return
		}
	}
}

func (c *call) perform(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.ProposeClaim:
		go c.proposeClaim()
	case dispatch.Cancel:
		// The core cancels attempts whose caller has disconnected, and stalled ones.
		if c.caller.Err() == nil {
			c.stalled.Store(true)
			c.entry.stalledAttempts.Add(1)
		}
		c.cancelAttempt()
	case dispatch.Send:
		ctx, cancel := context.WithTimeout(context.Background(), c.deadline-daemon.Clock())
		done := make(chan struct{})
		c.cancel, c.attemptDone = cancel, done
		c.stalled.Store(false)
		go func() {
			defer cancel()
			ev := c.send(ctx, cancel, a)
			close(done)
			c.entry.post(ev)
		}()
	}
}

func (c *call) cancelAttempt() {
	if c.cancel != nil {
		c.cancel()
	}
}

// abort ends a call whose entry has stopped. If the request was sent, it may have run.
func (c *call) abort() {
	sent := c.cancel != nil
	c.cancelAttempt()
	if sent {
		c.finish(dispatch.Finished{Outcome: dispatch.Unknown, Reason: "this entry was stopped before the answer came"})
		return
	}
	c.finish(dispatch.Finished{Outcome: dispatch.NotRun, Reason: "this entry has stopped", RetryAfter: time.Second})
}

// startStreaming records that part of the answer is about to be sent to the caller. It
// returns false if the call has ended, so that the handler answers the caller instead.
func (c *call) startStreaming() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim.ended {
		return false
	}
	c.streaming = true
	return true
}

func (c *call) hasStreamed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.streaming
}

// reserveMemory reserves n bytes until the call ends. It returns false if the call has
// ended or the budget is exhausted.
func (c *call) reserveMemory(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claim.ended || !c.entry.memory.reserve(n) {
		return false
	}
	c.reservedBytes += n
	return true
}

// releaseMemory releases the memory reserved for answers.
func (c *call) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry.memory.release(c.reservedBytes)
	c.reservedBytes = 0
}

// deadlinePassed reports whether the caller has stopped waiting. It is checked right
// before each step that can't be undone: timers alone aren't enough, since in a process
// that was paused they fire only after it has resumed.
func (c *call) deadlinePassed() bool { return daemon.Clock() >= c.deadline }

func (c *call) claimRequest() api.Claim {
	return api.Claim{Claim: dispatch.Claim{Team: c.team, Service: c.service, Request: c.requestID, Attempt: c.attemptID()}}
}

package placement

import (
	"fmt"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

type simPhase int

const (
	simIdle simPhase = iota
	simAsked
	simHeld
	simRuns
	simStopping
	simDone
)

type simHomeTask struct {
	phase    simPhase
	attempt  Attempt
	asked    infra.Offset
	believed infra.Offset
	sequence uint64
	sentAt   time.Duration
	need     infra.Resources
	hold     bool
}

// simHome keeps the home's side of the messages as simply as it can be kept:
// one open attempt for each task, and a new one only after the end of the last.
type simHome struct {
	w         *world
	epoch     infra.Offset
	known     infra.Offset
	sequence  uint64
	number    int
	collected bool
	askedAt   time.Duration
	tasks     []*simHomeTask
}

func (w *world) newHome(tasks int) {
	w.epoch += 10
	// What has ended is kept by its worker alone; a home that comes after the death
	// of both worker and home runs the task again.
	clear(w.done)
	h := &simHome{w: w, epoch: w.epoch, known: w.owners[len(w.owners)-1].shard.Epoch(), collected: len(w.homes) == 0}
	for i := range tasks {
		t := &simHomeTask{need: infra.Resources{MilliCPU: int64(1000 + 500*(i%4)), MemoryMiB: 1000}, hold: i%3 == 0}
		if i%6 == 0 {
			t.need.Accelerators = 1
		}
		h.tasks = append(h.tasks, t)
	}
	w.homes = append(w.homes, h)
}

func (h *simHome) order(t *simHomeTask) Confirm {
	h.sequence++
	return Confirm{Shard: simShard, Home: simHomeUnit, HomeEpoch: h.epoch, ShardEpoch: h.known, Sequence: h.sequence, Attempt: t.attempt}
}

func (h *simHome) to(m Message) { h.w.toShard(h.known, m) }

func (h *simHome) step() {
	// The home reads the shard's claim some time after it was made.
	if newest := h.w.owners[len(h.w.owners)-1].shard.Epoch(); newest != h.known && h.w.rng.IntN(60) == 0 {
		h.known = newest
	}
	if !h.collected {
		if h.w.now-h.askedAt >= time.Second {
			h.askedAt = h.w.now
			h.to(Collect{Shard: simShard, Home: simHomeUnit, HomeEpoch: h.epoch})
		}
		return
	}
	for i, t := range h.tasks {
		h.stepTask(i, t)
	}
}

func (h *simHome) stepTask(i int, t *simHomeTask) {
	now := h.w.now
	if t.phase == simIdle && h.w.rng.IntN(10) == 0 {
		h.number++
		t.attempt = Attempt{Job: "job", Index: i, Epoch: h.epoch, Number: h.number}
		t.phase, t.asked, t.sentAt = simAsked, h.known, 0
	}
	if t.phase >= simHeld && t.phase <= simRuns && t.believed != h.known {
		t.phase = simAsked
	}
	if now-t.sentAt < time.Second {
		return
	}
	t.sentAt = now
	switch t.phase {
	case simAsked:
		h.place(t)
	case simHeld:
		h.to(h.order(t))
	case simStopping:
		h.to(Stop(h.order(t)))
	case simRuns:
		if h.w.rng.IntN(30) == 0 {
			t.phase = simStopping
			h.to(Stop(h.order(t)))
		}
	}
}

func (h *simHome) place(t *simHomeTask) {
	h.sequence++
	t.sequence = h.sequence
	h.to(Place{Shard: simShard, Home: simHomeUnit, HomeEpoch: h.epoch, ShardEpoch: h.known, AskedEpoch: t.asked, Sequence: h.sequence,
		Attempt: t.attempt, Team: "team", Kind: Batch, Need: t.need, Hold: t.hold, Reserve: t.hold, Accepted: infra.Offset(1 + t.attempt.Index%4),
		Urgent: t.attempt.Index%5 == 1, Checkpointable: t.attempt.Index%2 == 0, ExpectedRun: time.Duration(t.attempt.Index) * time.Second})
}

func (h *simHome) handle(m Message) {
	switch m := m.(type) {
	case Placed:
		h.placed(m)
	case Changed:
		h.changed(m)
	case Collected:
		if m.HomeEpoch == h.epoch && m.ShardEpoch >= h.known && !h.collected {
			h.collected = true
			for _, c := range m.Attempts {
				h.changed(c)
			}
		}
	}
}

func (h *simHome) placed(m Placed) {
	t := h.tasks[m.Attempt.Index]
	if m.Attempt != t.attempt {
		if m.OK && h.collected {
			h.to(Stop(h.order(&simHomeTask{attempt: m.Attempt})))
		}
		return
	}
	if t.phase != simAsked {
		return
	}
	switch {
	case m.Reserved && !m.OK:
		// Room is being kept; the home asks on.
	case !m.OK && m.Sequence == t.sequence:
		t.phase = simIdle
	case m.OK && m.Held:
		t.phase, t.believed, t.sentAt = simHeld, h.known, 0
	case m.OK:
		t.phase, t.believed = simRuns, h.known
	}
}

func (h *simHome) changed(m Changed) {
	// An owner that was replaced unawares lets a hold expire that its successor
	// has placed anew: only news of the newest known owner counts.
	if !h.collected || m.ShardEpoch < h.known {
		return
	}
	t := h.tasks[m.Attempt.Index]
	other := &simHomeTask{attempt: m.Attempt}
	live := m.State == AttemptRunning
	if m.Attempt != t.attempt {
		switch {
		case t.phase == simIdle && t.attempt == (Attempt{}) && (live || m.State == AttemptDone):
			// The first attempt found of a predecessor is adopted.
			t.attempt, t.phase, t.believed, t.asked = m.Attempt, simRuns, h.known, h.known
		case live:
			h.to(Stop(h.order(other)))
			return
		case m.State == AttemptHeld:
			h.to(Release(h.order(other)))
			return
		default:
			h.to(Forget(h.order(other)))
			return
		}
	}
	switch {
	case live:
		// A late "running" must not undo what came after it.
		if t.phase != simStopping && t.phase != simDone {
			t.phase, t.believed = simRuns, h.known
		}
	case m.State == AttemptDone:
		t.phase = simDone
		h.w.done[fmt.Sprintf("%s/%d", m.Attempt.Job, m.Attempt.Index)] = true
		h.to(Noted(h.order(t)))
	case m.State == AttemptHeld:
	default:
		if t.phase != simDone {
			t.phase = simIdle
		}
		h.to(Forget(h.order(t)))
	}
}

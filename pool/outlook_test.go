package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outlookOf is what the only queue's jobs find.
func (r *rig) outlookOf() QueueOutlook {
	r.t.Helper()
	queues := r.core.Outlook(r.now).Queues
	assert.Equal(r.t, len(queues), 1)
	return queues[0]
}

// Callers complain that their jobs are refused. The operator sees what is ahead, what
// works it off, what is scarce, and when the next caller would be told to return.
func TestOutlookOfAFullPool(t *testing.T) {
	r := fullRig(t, 3)
	r.offer("new", small(1))
	o := r.outlookOf()
	assert.Equal(t, o.NotBegun, 3)
	assert.Equal(t, o.Unjudged, "")
	assert.Equal(t, o.Ahead.Cores, 1.5) // three tasks of half a second on one core
	assert.Equal(t, o.Room.Cores, 4.0)
	assert.Equal(t, o.Scarce, RoomScarce)
	assert.Assert(t, o.WaitMillis[RoomScarce] > o.Newest.LimitMillis, "%v, %v", o.WaitMillis, o.Newest)
	assert.Assert(t, o.Refuses)
	assert.Assert(t, o.Newest.ComeBackMillis >= comeBackLeast.Milliseconds())
	assert.Equal(t, *o.RefusedAgoMillis, int64(0))
}

// With room there nothing is scarce, nobody is refused, and nobody is told to return.
func TestOutlookOfAnIdlePool(t *testing.T) {
	r := newRig(t, box("w"))
	r.hold("w", nil)
	r.stay(3*time.Second, nil)
	assert.Assert(t, r.outlookOf().Newest == nil, "no job has been judged yet")
	r.offer("first", small(1))
	o := r.outlookOf()
	assert.Assert(t, !o.Refuses && o.RefusedAgoMillis == nil)
	assert.Equal(t, o.Newest.ComeBackMillis, int64(0))
	assert.Equal(t, o.Room.Cores, 4.0)
	assert.Assert(t, o.HandedIn > 0 && o.HandedIn < o.RefusesFrom, "%v", o.HandedIn)
}

// An owner that takes everything says why: before it knows the workers, when it has lost
// touch with them, and when there are none.
func TestOutlookSaysWhyThereIsNoEstimate(t *testing.T) {
	assert.Equal(t, newRig(t, box("w")).outlookOf().Unjudged, unjudgedNew)
	assert.Equal(t, newRig(t).outlookOf().Unjudged, unjudgedNoRoom)
	silent := fullRig(t, 1)
	for range 40 { // no more answers
		silent.pass(50 * time.Millisecond)
		silent.silence("w")
	}
	assert.Equal(t, silent.outlookOf().Unjudged, unjudgedSilent)
}

// One caller asks why its job was refused. The owner's grounds are those of its answer,
// and the newest refusals are kept, not all.
func TestOutlookKeepsTheGroundsOfRefusals(t *testing.T) {
	r := fullRig(t, 1)
	var last Admission
	for n := range refusalsKept + 5 {
		last = r.offer(fmt.Sprint("new", n), small(1))
		assert.Assert(t, last.Refused)
	}
	refusals := r.core.Outlook(r.now).Refusals
	assert.Equal(t, len(refusals), refusalsKept)
	newest := refusals[refusalsKept-1]
	assert.Equal(t, newest.Job, fmt.Sprint("new", refusalsKept+4))
	assert.Equal(t, newest.AtUnixMillis, r.core.unixMs)
	assert.Equal(t, newest.Grounds, last.Grounds())
	assert.Equal(t, newest.WaitMillis, last.Wait.Milliseconds())
}

// To look at the head room changes no answer: a pool that is watched refuses the same
// jobs for the same reasons as one that isn't, while some are taken and some refused.
func TestOutlookChangesNoAnswer(t *testing.T) {
	answers := func(watched bool) (list []Admission) {
		r := newRig(t, box("w"))
		r.hold("w", nil)
		r.stay(3*time.Second, nil)
		for n := range 300 {
			if watched {
				r.core.Outlook(r.now)
			}
			j := Job{ID: fmt.Sprint("new", n), Queue: "q", Service: "s", Steps: []StepSpec{small(1 + n%3)}, AcceptedMs: r.unixMs()}
			a := r.core.Admit(r.now, j)
			if list = append(list, a); !a.Refused {
				r.step(JobStored{Job: j})
			}
			r.starts()
			r.stay(50*time.Millisecond, nil)
		}
		return list
	}
	unwatched := answers(false)
	refused := 0
	for _, a := range unwatched {
		if a.Refused {
			refused++
		}
	}
	assert.Assert(t, refused > 20 && refused < 280, "%d of 300 refused", refused)
	assert.DeepEqual(t, answers(true), unwatched)
}

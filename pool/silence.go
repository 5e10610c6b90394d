package pool

import "time"

// A new owner doesn't know what its predecessor started, so it asks every worker,
// and while one is silent any task of an older job might run there unseen: all of
// them would wait for the worker's longest lease, 6.4 s. So an owner stores what a
// worker may run when it falls silent, and starts nothing more there until the
// store has forgotten that note. Its successor then waits for the tasks in the note
// only. A worker that falls silent at the same time as the owner has no note; if the
// platform's list of machines shows that its life is over, nothing runs there any more,
// and otherwise the long wait is needed.

// lifeCheckAfter is how long a new owner waits for its workers' answers before it looks
// at the machines. Nearly all answer within a few round trips; the list has a page for
// each hundred machines or so.
const lifeCheckAfter = 200 * time.Millisecond

// absentLists is how many lists in a row must leave a worker out: a list comes in pages,
// and misses a machine if others go while it is read.
const absentLists = 2

// note is what the store knows of a worker's silence.
type note struct {
	due    bool   // the next save is to write it, or to take it back
	stored bool   // the store may hold it
	taken  uint64 // the save that takes it back; 0: none
	// tasks of a predecessor's note, which may run on the worker unseen.
	tasks []*task
}

// noteSilence has the worker's silence stored, or its end.
func (c *Core) noteSilence(w *worker) {
	if !w.fenced || (!w.silent && !w.note.stored) {
		w.note.due = false
		return
	}
	if !w.note.due {
		w.note.due = true
		c.notes = append(c.notes, w)
	}
}

// saveNotes returns the notes for a save.
func (c *Core) saveNotes() []Record {
	var records []Record
	for _, w := range c.notes {
		if !w.note.due || c.workers[w.ID] != w {
			continue
		}
		w.note.due = false
		if w.silent {
			w.note.stored, w.note.taken = true, 0
			records = append(records, Record{Key: SilentKey(w.ID), Value: Encode(w.tasks())})
			continue
		}
		w.note.taken = c.saveSeq
		records = append(records, Record{Key: SilentKey(w.ID)})
	}
	c.notes = nil
	return records
}

// notesSaved lets workers take tasks again whose notes the store has forgotten.
func (c *Core) notesSaved(seq uint64) {
	for _, w := range c.byID {
		if w.note.taken != 0 && w.note.taken <= seq {
			w.note.taken, w.note.stored = 0, false
			c.replan = true
		}
	}
}

// tasks names what the worker may run.
func (w *worker) tasks() []TaskID {
	list := []TaskID{}
	for _, r := range w.sortedRuns() {
		list = append(list, r.task.id())
	}
	return list
}

// silenceStored takes in a predecessor's note. Its tasks wait until the worker has
// answered, or can't run anything of a predecessor any more.
func (c *Core) silenceStored(e SilenceStored) {
	w := c.workers[e.Worker]
	if w == nil {
		w = c.newWorker(WorkerInfo{ID: e.Worker})
	}
	w.note.stored, w.noted = true, true
	for _, id := range e.Tasks {
		t := c.task(id)
		switch {
		case t != nil && !t.done:
			t.unseenOn = w
			w.note.tasks = append(w.note.tasks, t)
		case t == nil && c.jobs[id.Job] != nil && !c.jobs[id.Job].state.Ended():
			// An occurrence that is due by the predecessor's clock and not yet by
			// ours: there is no task yet that could wait, so all do.
			w.noted = false
		}
	}
}

// unblock frees the tasks of a predecessor's note.
func (c *Core) unblock(w *worker) {
	for _, t := range w.note.tasks {
		if t.unseenOn == w {
			t.unseenOn = nil
			t.step.noneWaitingBefore = 0
			c.replan = true
		}
	}
	w.note.tasks = nil
}

// waitsForLives reports whether older tasks wait for workers that may be gone: all of
// them, or those of a note.
func (c *Core) waitsForLives() bool {
	if !c.listed || c.now-c.took < lifeCheckAfter {
		return false
	}
	for _, w := range c.byID {
		if w.inherited && !w.fenced && c.now < w.lapse && (!w.noted || len(w.note.tasks) > 0) {
			return true
		}
	}
	return false
}

// endLives frees older jobs from workers that a predecessor left and whose life is over:
// a machine that is down, moved or in upkeep runs nothing, and one that is up runs only
// what its present worker does. Without this each takeover in which a worker had just
// left, or gone down for upkeep, held up all older jobs for 6.7 s.
func (c *Core) endLives(machines []MachineInfo) {
	up := map[string]bool{}       // by worker
	services := map[string]bool{} // that the list knows of
	for _, m := range machines {
		services[m.Service] = true
		if m.Worker != "" {
			up[m.Worker] = m.Up
		}
	}
	for _, w := range c.byID {
		if !w.inherited || w.fenced || !services[w.Service] || c.now >= w.lapse {
			continue
		}
		isUp, found := up[w.ID]
		if !found {
			w.absent++
		} else {
			w.absent = 0
		}
		if (found && !isUp) || w.absent >= absentLists {
			c.endLife(w)
		}
	}
}

func (c *Core) endLife(w *worker) {
	w.lapse = c.now
	c.do(Noted{Event: "worker.over", Worker: w.ID, Reason: "no machine that is up has it"})
	c.tickWorker(w)
	c.replan, c.lookAtAll = true, true
}

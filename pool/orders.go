package pool

// stop orders a run to end.
func (c *Core) stop(r *run, reason string) {
	if r.stopping {
		return
	}
	r.stopping = true
	c.note("run.stop", r, reason)
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	r.stopSent = c.now
	w := r.worker
	c.do(Stop{Worker: w.ID, Addr: w.Addr, Token: c.set.Token, Task: r.task.id(), Run: r.number})
}

func (c *Core) stopAnswered(e StopAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	switch e.Outcome {
	case Fenced:
		c.depose(w)
		return
	case OtherLife:
		c.loseRuns(w, "another life answers")
		c.removeWorker(w)
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if r == nil || e.Outcome == NoAnswer {
		return
	}
	r.stopped = c.now
}

func (c *Core) startAnswered(e StartAnswered) {
	w := c.workers[e.Worker]
	if w == nil {
		return
	}
	r := w.runs[runKey{e.Task, e.Run}]
	if e.Outcome == Fenced {
		c.depose(w)
		return
	}
	if e.Outcome == OtherLife {
		c.loseRuns(w, "another life answers")
		c.removeWorker(w)
		return
	}
	if r == nil || r.phase == running {
		return
	}
	r.settled = c.now
	switch e.Outcome {
	case OK:
		r.phase = running
		r.task.step.job.begun = true
	case NoAnswer:
		c.startAgain(r)
	case Old:
		// The run has been there and ended: its end is listed, or it is found to have vanished.
		r.phase = running
	default:
		c.startRefused(r, e.Outcome)
	}
}

func (c *Core) startAgain(r *run) {
	if r.tries < startTries && !r.stopping {
		c.sendStart(r)
		return
	}
	r.phase = doubtful
	c.stop(r, "start without an answer")
}

// startRefused handles a start that the worker certainly did not carry out.
func (c *Core) startRefused(r *run, why Outcome) {
	w := r.worker
	c.note("start.refused", r, why.String())
	switch why {
	case BadTicket:
		r.task.step.advice.dropTicket(w.ID)
	case NoRoom, Late:
		w.pause = c.now + retryPause
	case Unhealthy:
		w.pause = c.now + unhealthyPause
	case Rejected:
		r.task.notBefore = c.now + unhealthyPause
	}
	if r.tries > 1 {
		// An earlier copy had no answer and may still arrive.
		r.phase = doubtful
		c.stop(r, "refused after a start without an answer")
	} else {
		c.vacate(r)
	}
	if r.task.step.spec.Gang {
		c.stopGang(r.task.step, "a member was refused")
	}
}

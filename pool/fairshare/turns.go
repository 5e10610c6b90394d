package fairshare

// Turns tells when work that is done last gets a turn nevertheless: after other work of a multiple of its
// own was started. The zero value is ready to use.
type Turns struct{ other float64 }

// turnFactor is how much other work is started for each unit of work that has its turn. It bounds both the
// wait of jobs that can't earn anything any more and what they cost the others, 0.005 of the capacity:
// half of what one organisation's overload may cost.
const turnFactor = 200

// Count counts other work that was started, in any unit.
func (t *Turns) Count(work float64) { t.other += max(0, work) }

// Due reports whether work of the given size has its turn.
func (t *Turns) Due(work float64) bool { return t.other >= turnFactor*work }

// Take ends a turn. What was counted in excess isn't saved up for the next one.
func (t *Turns) Take() { t.other = 0 }

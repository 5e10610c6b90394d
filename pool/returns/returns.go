// Package returns schedules when the callers of refused jobs come back: the return schedule.
//
// A refused caller gets a turn: the time at which the bottleneck has processed what is ahead of its
// job. The turns at one bottleneck are at least the time of one job apart, so that callers return at
// the rate at which the bottleneck can serve them and in the order of their first tries. Work of callers whose
// turn is near counts as taken for callers without a place, so that newcomers don't overtake them.
//
// The schedule is in memory only and bounded. It does no I/O; times are on its owner's clock. A
// Schedule isn't safe for concurrent use.
package returns

import "time"

const (
	// MaxEntries bounds the callers that are remembered; the oldest are dropped.
	MaxEntries = 4096
	// Grace is how long after its turn a caller keeps its place: the wire has whole seconds, so a
	// caller may come a second late, and its request may take another one on its way.
	Grace = 2 * time.Second
	// MinPause is the shortest time until a turn, and MaxPause the longest that one bottleneck's wait
	// causes. Spacing may lead beyond it, since callers that get the same turn would return together.
	MinPause = time.Second
	MaxPause = 30 * time.Second
	// maxSpacing bounds the distance of two turns. A job that keeps the bottleneck busy for minutes
	// leaves room for small ones beside it.
	maxSpacing = 2 * time.Second
	// maxPauseWithSpacing bounds all turns: an estimate that far ahead is no better than a guess.
	maxPauseWithSpacing = 5 * time.Minute
	// retention is how long the first try of a caller is remembered at least.
	retention = 10 * time.Second
	// priorReturns and priorTurns are the assumption on the share of callers that return, before there
	// are observations. observationDecay weighs older observations down, by turn.
	priorReturns, priorTurns = 1.0, 2.0
	observationDecay         = 0.99
)

// Request is a job that is refused.
type Request[W any] struct {
	Job string
	// Line names the bottleneck. Turns of different lines don't influence each other.
	Line string
	// Wait is the time until the bottleneck has processed what is ahead of the job, and Takes the time
	// in which it processes the job itself.
	Wait, Takes time.Duration
	// WorthFor is the time after the first try from which on the job can't earn anything.
	WorthFor time.Duration
	// Work is the caller's description of the job, for Promised.
	Work W
}

// Standing is how a caller stands with the schedule when it comes.
type Standing int

// The values of Standing.
const (
	// Newcomer has no place: it comes for the first time, stayed away beyond the grace period, or its
	// job can't earn anything any more.
	Newcomer Standing = iota
	// Early comes before its turn.
	Early
	// Due comes at its turn or within the grace period after it.
	Due
)

// String returns the standing for logs.
func (s Standing) String() string { return [...]string{"new", "early", "due"}[s] }

type entry[W any] struct {
	job      string
	place    uint64 // order of the first tries; a place that was lost isn't kept
	first    time.Duration
	turn     time.Duration
	worthEnd time.Duration
	tries    int
	counted  bool // the caller's return, or its absence, is in the observations
	work     W
	gone     bool
}

// holdsPlace reports whether the caller's place is kept at a time.
func (e *entry[W]) holdsPlace(now time.Duration) bool {
	return !e.gone && now <= e.turn+Grace && now < e.worthEnd
}

// line is the end of one bottleneck's turns.
type line struct {
	// last is the last turn given to a newcomer, again that given to a caller that came at its turn.
	last, again time.Duration
}

// Schedule is a return schedule. W describes the work of a job.
type Schedule[W any] struct {
	byJob    map[string]*entry[W]
	inOrder  []*entry[W] // by place; may contain entries that are gone
	lines    map[string]*line
	place    uint64
	returned float64 // callers that came at their turns, weighed
	turns    float64 // turns that have passed, weighed
	swept    time.Duration
}

// New returns an empty schedule.
func New[W any]() *Schedule[W] {
	return &Schedule[W]{byJob: map[string]*entry[W]{}, lines: map[string]*line{}, returned: priorReturns, turns: priorTurns}
}

// Len returns the number of callers that are remembered.
func (s *Schedule[W]) Len() int { return len(s.byJob) }

// FirstTry returns when a caller came first.
func (s *Schedule[W]) FirstTry(job string) (at time.Duration, known bool) {
	e := s.byJob[job]
	if e == nil {
		return 0, false
	}
	return e.first, true
}

// Standing returns how a caller stands with the schedule, and its turn if it holds a place.
func (s *Schedule[W]) Standing(now time.Duration, job string) (Standing, time.Duration) {
	e := s.byJob[job]
	switch {
	case e == nil || !e.holdsPlace(now):
		return Newcomer, 0
	case now < e.turn:
		return Early, e.turn
	}
	return Due, e.turn
}

// Preview returns the time until the turn that Refuse would give to a job. It changes nothing.
func (s *Schedule[W]) Preview(now time.Duration, r Request[W]) time.Duration {
	standing, turn := s.Standing(now, r.Job)
	if standing == Early {
		return turn - now
	}
	var l line
	if known := s.lines[r.Line]; known != nil {
		l = *known
	}
	return l.next(now, r.Wait, r.Takes, standing) - now
}

// next returns the next turn of a line. A caller that came at its turn isn't put behind those that
// came after it.
func (l *line) next(now, wait, takes time.Duration, standing Standing) time.Duration {
	turn := now + min(max(wait, MinPause), MaxPause)
	last := l.last
	if standing == Due {
		last = l.again
	}
	if last > now {
		turn = max(turn, last+min(max(takes, time.Millisecond), maxSpacing))
	}
	return min(turn, now+maxPauseWithSpacing)
}

// Refuse records that a job is refused, and returns the time until its caller's turn. A caller that
// came early keeps its turn. One that came at its turn keeps its place and gets a new turn.
func (s *Schedule[W]) Refuse(now time.Duration, r Request[W]) time.Duration {
	s.sweep(now)
	standing, _ := s.Standing(now, r.Job)
	e := s.byJob[r.Job]
	if standing == Early {
		e.tries++
		return e.turn - now
	}
	if e == nil {
		e = &entry[W]{job: r.Job, first: now}
		s.byJob[r.Job] = e
	}
	s.count(e, standing == Due)
	if standing == Newcomer {
		e = s.appendPlace(e)
	}
	l := s.lines[r.Line]
	if l == nil {
		l = &line{}
		s.lines[r.Line] = l
	}
	e.work, e.worthEnd, e.counted = r.Work, e.first+r.WorthFor, false
	e.tries++
	e.turn = l.next(now, r.Wait, r.Takes, standing)
	if standing == Due {
		l.again = e.turn
	} else {
		l.last = e.turn
	}
	return e.turn - now
}

// appendPlace gives a caller the last place. One that lost its place keeps the time of its first try.
func (s *Schedule[W]) appendPlace(e *entry[W]) *entry[W] {
	kept := *e
	e.gone = true
	s.place++
	kept.place, kept.gone = s.place, false
	s.byJob[e.job] = &kept
	s.inOrder = append(s.inOrder, &kept)
	for len(s.byJob) > MaxEntries {
		s.drop(s.inOrder[0])
		s.inOrder = s.inOrder[1:]
	}
	return &kept
}

func (s *Schedule[W]) drop(e *entry[W]) {
	if !e.gone {
		e.gone = true
		delete(s.byJob, e.job)
	}
}

// Accept removes a caller whose job is accepted.
func (s *Schedule[W]) Accept(now time.Duration, job string) {
	e := s.byJob[job]
	if e == nil {
		return
	}
	standing, _ := s.Standing(now, job)
	s.count(e, standing != Newcomer)
	s.drop(e)
}

// count records once for each turn whether the caller came.
func (s *Schedule[W]) count(e *entry[W], came bool) {
	if e.counted || e.tries == 0 {
		return
	}
	e.counted = true
	s.returned, s.turns = s.returned*observationDecay, s.turns*observationDecay
	s.turns++
	if came {
		s.returned++
	}
}

// ReturnShare returns the share of callers that came back at their turns, from 0 to 1.
func (s *Schedule[W]) ReturnShare() float64 { return s.returned / s.turns }

// sweepInterval is how often callers that stayed away are removed.
const sweepInterval = 200 * time.Millisecond

// sweep removes callers that stayed away. It is done at intervals, since it visits all of them.
func (s *Schedule[W]) sweep(now time.Duration) {
	if now-s.swept < sweepInterval {
		return
	}
	s.swept = now
	kept := s.inOrder[:0]
	for _, e := range s.inOrder {
		if !e.gone && !e.holdsPlace(now) {
			s.count(e, false)
			if now > e.first+retention && now > e.turn+Grace {
				s.drop(e)
			}
		}
		if !e.gone {
			kept = append(kept, e)
		}
	}
	clear(s.inOrder[len(kept):])
	s.inOrder = kept
	for name, l := range s.lines {
		if l.last <= now && l.again <= now {
			delete(s.lines, name)
		}
	}
}

// Promised calls visit with the work of each caller that holds a place before a job's, and whose turn
// has come or comes within a time. A job without a place comes after all.
func (s *Schedule[W]) Promised(now time.Duration, job string, within time.Duration, visit func(*W)) {
	place := s.place + 1
	if e := s.byJob[job]; e != nil && e.holdsPlace(now) {
		place = e.place
	}
	for _, e := range s.inOrder {
		if e.place >= place {
			return
		}
		if e.turn <= now+within && e.job != job && e.holdsPlace(now) {
			visit(&e.work)
		}
	}
}

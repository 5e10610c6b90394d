package logstream

import (
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Read is what a follower wants to read next.
type Read struct {
	// Snapshots asks for the snapshot stream in place of the control stream.
	Snapshots bool
	After     infra.Offset
	// Wait allows the log to hold the answer back until there is a record.
	Wait bool
}

// Follower keeps a view up to date. It reads the snapshot stream first, then
// the control stream from where the newest complete snapshot ends, and starts
// again with the snapshots when the records it needs have expired. It is a step
// machine without I/O: the caller does the reads.
type Follower struct {
	view      *View
	scanning  bool
	scanAfter infra.Offset
	scan      *Assembler
	caughtUp  bool
	gap       bool
	first     infra.Offset
	tail      infra.Offset
	rebuilds  uint64
	source    string
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(view *View) *Follower {
	return &Follower{view: view, scanning: true, scan: NewAssembler(), source: "nothing read yet"}
}

// Next is the read to do now.
func (f *Follower) Next() Read {
	if f.scanning {
		return Read{Snapshots: true, After: f.scanAfter}
	}
	return Read{After: f.view.Offset(), Wait: f.caughtUp}
}

// CaughtUp reports whether the view has reached the log's end since the last
// time it had to be rebuilt.
func (f *Follower) CaughtUp() bool { return f.caughtUp }

// Gap reports that records were lost to this process: they have expired and no
// complete snapshot covers them.
func (f *Follower) Gap() bool { return f.gap }

// Window returns the oldest offset the control stream keeps and its newest.
func (f *Follower) Window() (first, tail infra.Offset) { return f.first, f.tail }

// Rebuilds is how often the view was replaced by a snapshot.
func (f *Follower) Rebuilds() uint64 { return f.rebuilds }

// Source says for people where the view's state comes from.
func (f *Follower) Source() string { return f.source }

// Take takes in the answer to a read. It calls ruled for every record that the
// view rules on, right after the ruling. It returns true if the view jumped to
// a snapshot, past records that were never ruled on here.
func (f *Follower) Take(r Read, page infra.Page, err error, ruled func(Outcome)) (jumped bool) {
	switch {
	case r.Snapshots && f.scanning:
		return f.takeSnapshots(r, page, err)
	case !r.Snapshots && !f.scanning:
		f.takeControl(r, page, err, ruled)
	}
	return false
}

func (f *Follower) takeControl(r Read, page infra.Page, err error, ruled func(Outcome)) {
	if errors.Is(err, infra.ErrExpired) {
		f.rescan()
		return
	}
	// A page asked for from beyond the view would leave out what lies between.
	if err != nil || r.After > f.view.Offset() {
		return
	}
	// Some logs answer with the oldest record kept in place of an error.
	// Reducing from there would take the middle of the history for its start:
	// settings and jobs accepted before would be gone.
	if page.First > r.After+1 {
		f.rescan()
		return
	}
	for _, e := range page.Entries {
		if out, ok := f.view.Apply(e); ok {
			ruled(out)
		}
	}
	f.first, f.tail = page.First, page.Tail
	f.caughtUp = f.view.Offset() >= page.Tail
	if f.caughtUp {
		f.gap, f.source = false, "log"
	}
}

// rescan looks for a newer snapshot, as records after the view have expired.
func (f *Follower) rescan() {
	f.scanning, f.scanAfter, f.scan = true, 0, NewAssembler()
	f.caughtUp, f.gap = false, true
}

func (f *Follower) takeSnapshots(r Read, page infra.Page, err error) bool {
	if errors.Is(err, infra.ErrExpired) {
		// The oldest snapshots have expired; the newest are what is wanted.
		f.scanAfter = max(f.scanAfter, page.First-min(page.First, 1))
		return false
	}
	if err != nil || r.After != f.scanAfter {
		return false
	}
	for _, e := range page.Entries {
		f.scan.Add(e.Data)
		f.scanAfter = e.Offset
	}
	if f.scanAfter < page.Tail && len(page.Entries) > 0 {
		return false
	}
	return f.finishScan()
}

func (f *Follower) finishScan() bool {
	best := f.scan.Best()
	if f.scan.skipped > 0 {
		f.view.skipped += f.scan.skipped
		f.view.lastSkip = f.scan.lastSkip
	}
	f.scanning, f.scan = false, nil
	if best == nil || best.Offset <= f.view.Offset() {
		return false
	}
	return f.restore(*best, "snapshot in the log")
}

// Adopt replaces the view by a peer's newer state while the log can't be
// reached. It returns false if the state is not newer or can't be used.
func (f *Follower) Adopt(s Snapshot, from string) bool {
	if s.Offset <= f.view.Offset() {
		return false
	}
	return f.restore(s, "peer "+from)
}

func (f *Follower) restore(s Snapshot, source string) bool {
	if err := f.view.Restore(s); err != nil {
		f.view.note(err)
		return false
	}
	f.rebuilds++
	f.source, f.caughtUp = source, false
	return true
}

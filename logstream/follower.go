package logstream

import (
	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// ReadRequest is the next read that a follower needs.
type ReadRequest struct {
	// Snapshots selects the snapshot stream instead of the control stream.
	Snapshots bool
	After     infra.Offset
	// Wait makes the read a long poll: the log may delay its response until
	// there is a record.
	Wait bool
}

// Follower keeps a view up to date. It reads the snapshot stream first, then
// the control stream from the end of the newest complete snapshot, and starts
// again with the snapshots when the records that it needs have expired. It is a
// state machine without I/O: the caller does the reads.
type Follower struct {
	view              *View
	scanningSnapshots bool
	scanAfter         infra.Offset
	assembler         *Assembler
	caughtUp          bool
	gap               bool
	first             infra.Offset
	tail              infra.Offset
	rebuilds          uint64
	source            string
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(view *View) *Follower {
	return &Follower{view: view, scanningSnapshots: true, assembler: NewAssembler(), source: "nothing read yet"}
}

// Next returns the read to do now.
func (f *Follower) Next() ReadRequest {
	if f.scanningSnapshots {
		return ReadRequest{Snapshots: true, After: f.scanAfter}
	}
	return ReadRequest{After: f.view.Offset(), Wait: f.caughtUp}
}

// CaughtUp reports whether the view has reached the end of the log since the
// follower last had to read the snapshots or restored one.
func (f *Follower) CaughtUp() bool { return f.caughtUp }

// Gap reports whether records are missing from the view: they have expired, and
// no complete snapshot covers them.
func (f *Follower) Gap() bool { return f.gap }

// Window returns the oldest and the newest offset that the control stream keeps.
func (f *Follower) Window() (first, tail infra.Offset) { return f.first, f.tail }

// Rebuilds is the number of times that the view was restored from a snapshot.
func (f *Follower) Rebuilds() uint64 { return f.rebuilds }

// Source describes, for operators, where the state of the view comes from.
func (f *Follower) Source() string { return f.source }

// HandleRead handles the result of a read. It calls onOutcome for every record
// that the view applies or rejects, right after that. It returns true if the view
// was restored from a snapshot and so skipped records that were never applied
// here.
func (f *Follower) HandleRead(r ReadRequest, page infra.Page, err error, onOutcome func(Outcome)) (restored bool) {
	switch {
	case r.Snapshots && f.scanningSnapshots:
		return f.handleSnapshotPage(r, page, err)
	case !r.Snapshots && !f.scanningSnapshots:
		f.handleControlPage(r, page, err, onOutcome)
	}
	return false
}

func (f *Follower) handleControlPage(r ReadRequest, page infra.Page, err error, onOutcome func(Outcome)) {
	if errors.Is(err, infra.ErrExpired) {
		f.rescan()
		return
	}
	// A page that starts after the end of the view would skip the records between.
	if err != nil || r.After > f.view.Offset() {
		return
	}
	// Some logs return the oldest retained record instead of an error. Applying
	// records from there would treat the middle of the history as its start:
	// settings and jobs that were accepted earlier would be lost.
	if page.First > r.After+1 {
		f.rescan()
		return
	}
	for _, e := range page.Entries {
		if out, ok := f.view.Apply(e); ok {
			onOutcome(out)
		}
	}
	f.first, f.tail = page.First, page.Tail
	f.caughtUp = f.view.Offset() >= page.Tail
	if f.caughtUp {
		f.gap, f.source = false, "log"
	}
}

// rescan starts to read the snapshots again, as the records that follow the
// view's offset have expired.
func (f *Follower) rescan() {
	f.scanningSnapshots, f.scanAfter, f.assembler = true, 0, NewAssembler()
	f.caughtUp, f.gap = false, true
}

func (f *Follower) handleSnapshotPage(r ReadRequest, page infra.Page, err error) bool {
	if errors.Is(err, infra.ErrExpired) {
		// The oldest snapshots have expired; only the newest one is needed.
		f.scanAfter = max(f.scanAfter, page.First-min(page.First, 1))
		return false
	}
	if err != nil || r.After != f.scanAfter {
		return false
	}
	for _, e := range page.Entries {
		f.assembler.Add(e.Data)
		f.scanAfter = e.Offset
	}
	if f.scanAfter < page.Tail && len(page.Entries) > 0 {
		return false
	}
	return f.finishScan()
}

func (f *Follower) finishScan() bool {
	best := f.assembler.Best()
	if f.assembler.skipped > 0 {
		f.view.skipped += f.assembler.skipped
		f.view.lastSkipReason = f.assembler.lastSkipReason
	}
	f.scanningSnapshots, f.assembler = false, nil
	if best == nil || best.Offset <= f.view.Offset() {
		return false
	}
	return f.restore(*best, "snapshot in the log")
}

// Adopt replaces the view by a peer's newer state while the log is unreachable.
// It returns false if the state is not newer or is invalid.
func (f *Follower) Adopt(s Snapshot, from string) bool {
	if s.Offset <= f.view.Offset() {
		return false
	}
	return f.restore(s, "peer "+from)
}

func (f *Follower) restore(s Snapshot, source string) bool {
	if err := f.view.Restore(s); err != nil {
		f.view.countSkip(err)
		return false
	}
	f.rebuilds++
	f.source, f.caughtUp = source, false
	return true
}

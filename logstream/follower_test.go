package logstream

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

// An operator's first change is accepted, and thousands of records follow; the
// log keeps only the newest few dozen. A process that starts then must still
// have the first change: it is in a snapshot that was due in time. Without
// snapshots the change would be gone with its record.
func TestNothingIsLostAtRetention(t *testing.T) {
	l := &fakeLog{keep: 40}
	old, _ := newFollower()
	schedule := NewSchedule(ScheduleConfig{Every: time.Hour, Records: 10, Grace: time.Second})
	seq := 0
	for i := range 500 {
		seq++
		l.append(0, note(seq))
		catchUp(old, l, 7)
		first, tail := old.Window()
		if _, due := schedule.Turn(time.Duration(i)*time.Millisecond, old.view.Marks(), first, tail); due {
			seq++
			l.append(0, record("w", uint64(seq), KindMark, l.store(old.view)))
			catchUp(old, l, 7)
		}
	}
	assert.Assert(t, l.streams[0][0].Offset > 400, "the log has forgotten its start")
	young, notes := newFollower()
	catchUp(young, l, 7)
	assert.Assert(t, young.CaughtUp())
	assert.Equal(t, len(notes.Bodies), 500)
	assert.Equal(t, notes.Bodies[0], `"note 1"`)
	assertSameState(t, old.view, young.view)
}

// The log has forgotten its start, and the only snapshot is half written: its
// writer died. A process that starts must not take the oldest record kept for
// the start of the history, as it would rule on changes without knowing what
// they replace. It stays without a state and says so.
func TestTruncatedLogIsNotReducedFromItsMiddle(t *testing.T) {
	for name, expired := range map[string]bool{"log answers that records expired": true, "log answers with the oldest record kept": false} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLog{}
			writer, _ := newFollower()
			for i := range 5 {
				l.append(0, note(i+1))
			}
			catchUp(writer, l, 100)
			l.store(writer.view)
			l.streams[1][0].Data = l.streams[1][0].Data[:len(l.streams[1][0].Data)-1]
			l.streams[0] = l.streams[0][2:]
			f, notes := newFollower()
			for range 20 {
				r := f.Next()
				page, err := l.read(r, 100)
				if err != nil && !expired {
					page, err = infra.Page{Entries: l.streams[0], First: 3, Tail: 5}, nil
				}
				f.Take(r, page, err, func(Outcome) {})
			}
			assert.Equal(t, len(notes.Bodies), 0)
			assert.Assert(t, !f.CaughtUp() && f.Gap())
		})
	}
}

// A process is paused while the log forgets the records it would read next. It
// goes on from the newest snapshot, past what it missed, and ends up with the
// same state as everybody else.
func TestReaderBehindRetentionRebuilds(t *testing.T) {
	l := &fakeLog{keep: 20}
	paused, _ := newFollower()
	awake, _ := newFollower()
	for i := range 10 {
		l.append(0, note(i+1))
	}
	catchUp(paused, l, 100)
	for i := 10; i < 100; i++ {
		l.append(0, note(i+1))
		catchUp(awake, l, 100)
		if i%10 == 9 {
			l.store(awake.view)
		}
	}
	catchUp(paused, l, 100)
	assert.Assert(t, paused.CaughtUp())
	assert.Equal(t, paused.Rebuilds(), uint64(1))
	assertSameState(t, awake.view, paused.view)
}

// The log is down, and a starting process takes a peer's state. A slower peer's
// older state comes after it, and a page that was asked for from further on: the
// state goes neither back nor past records it has not seen.
func TestStateNeverGoesBack(t *testing.T) {
	l := &fakeLog{}
	peer, _ := newFollower()
	l.append(0, note(1))
	catchUp(peer, l, 100)
	older, err := peer.view.Snapshot()
	assert.NilError(t, err)
	l.append(0, note(2))
	catchUp(peer, l, 100)
	newer, err := peer.view.Snapshot()
	assert.NilError(t, err)
	f, notes := newFollower()
	assert.Assert(t, f.Adopt(newer, "a"))
	assert.Assert(t, !f.Adopt(older, "b"))
	assert.Equal(t, f.view.Offset(), infra.Offset(2))
	assert.Equal(t, f.Source(), "peer a")
	assert.Assert(t, !f.CaughtUp(), "a peer's state is not the log's end")
	f.scanning = false
	f.Take(Read{After: 7}, infra.Page{Entries: []infra.Entry{{Offset: 8, Data: note(8)}}, First: 1, Tail: 8}, nil, func(Outcome) {})
	assert.Equal(t, len(notes.Bodies), 2)
}

// A snapshot whose second part can't be read must not leave the first part of
// the view at the new offset and the second at the old one.
func TestFailedRestoreChangesNothing(t *testing.T) {
	l := &fakeLog{}
	f, notes := newFollower()
	l.append(0, note(1))
	catchUp(f, l, 100)
	s, err := f.view.Snapshot()
	assert.NilError(t, err)
	s.Offset = 9
	s.Parts["snapshots"] = []byte(`{"count":7}`)
	s.Parts["history"] = []byte(`"not a list"`)
	assert.Assert(t, !f.Adopt(s, "peer"))
	assert.Equal(t, f.view.Offset(), infra.Offset(1))
	assert.Equal(t, f.view.Marks().Count(), uint64(0))
	assert.Equal(t, len(notes.Bodies), 1)
}

// The writer whose turn it is has died. The turn passes on after a grace time,
// so that the snapshot is written by somebody else.
func TestTurnPassesOn(t *testing.T) {
	s := NewSchedule(ScheduleConfig{Every: time.Minute, Records: 100, Grace: 10 * time.Second})
	m := NewMarks()
	steps := []struct {
		at     time.Duration
		first  infra.Offset
		tail   infra.Offset
		due    bool
		turn   uint64
		reason string
	}{
		{0, 1, 50, false, 0, "few records, just started"},
		{time.Minute, 1, 50, true, 0, "time has passed"},
		{time.Minute + 10*time.Second, 1, 50, true, 1, "nobody wrote in the first turn"},
		{time.Minute + 35*time.Second, 1, 50, true, 3, "nobody in three turns"},
	}
	for _, step := range steps {
		turn, due := s.Turn(step.at, m, step.first, step.tail)
		assert.Equal(t, due, step.due, step.reason)
		assert.Equal(t, turn, step.turn, step.reason)
	}
	for name, window := range map[string][2]infra.Offset{"many records": {1, 100}, "records expire": {10, 30}} {
		_, due := NewSchedule(ScheduleConfig{Every: time.Hour, Records: 100, Grace: time.Second}).Turn(0, m, window[0], window[1])
		assert.Assert(t, due, name)
	}
}

// Two schedulers believe that it is their turn and write large snapshots at the
// same time, record by record, and a third died half-way through a newer one. A
// starting process takes the newest that is whole; a record of the stream that was
// damaged costs that snapshot only.
func TestLargeSnapshotsWrittenAtTheSameTime(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	chunksAt := func(covers infra.Offset) [][]byte {
		notes := make([]string, 600)
		for i := range notes {
			notes[i] = fmt.Sprintf("%x%x", random.Uint64(), [400]byte{byte(random.Uint32()), byte(random.Uint32())})
			for range 60 {
				notes[i] += fmt.Sprintf("%x", random.Uint64())
			}
		}
		body, err := json.Marshal(notes)
		assert.NilError(t, err)
		data, err := EncodeSnapshot(Snapshot{Offset: covers, Parts: map[string]json.RawMessage{"history": body, "snapshots": []byte(`{}`)}})
		assert.NilError(t, err)
		chunks, err := EncodeChunks(fmt.Sprintf("w%d", covers), 1, covers, data)
		assert.NilError(t, err)
		assert.Assert(t, len(chunks) > 1, "%d bytes in one record", len(data))
		return chunks
	}
	older, newer, cut := chunksAt(10), chunksAt(20), chunksAt(30)
	for name, damage := range map[string]bool{"all whole": false, "newer damaged": true} {
		t.Run(name, func(t *testing.T) {
			l := &fakeLog{}
			l.append(1, cut[0])
			for i := range max(len(older), len(newer)) {
				if i < len(newer) {
					data := append([]byte(nil), newer[i]...)
					if damage && i == 1 {
						data[len(data)-1] ^= 1
					}
					l.append(1, data)
				}
				if i < len(older) {
					l.append(1, older[i])
				}
			}
			f, notes := newFollower()
			for f.Next().Snapshots {
				r := f.Next()
				page, err := l.read(r, 2)
				f.Take(r, page, err, func(Outcome) {})
			}
			want := infra.Offset(20)
			if damage {
				want = 10
			}
			assert.Equal(t, f.view.Offset(), want)
			assert.Equal(t, len(notes.Bodies), 600)
			skipped, _ := f.view.Skipped()
			assert.Equal(t, skipped > 0, damage)
		})
	}
}

func assertSameState(t *testing.T, a, b *View) {
	t.Helper()
	assert.Equal(t, a.Offset(), b.Offset())
	x, err := a.Snapshot()
	assert.NilError(t, err)
	y, err := b.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, x, y)
}

package node

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

var orders = flag.Int("orders", 2000, "how many random orders of the store's answers to a copy are simulated")

// streamModel is a stream of keyed records.
type streamModel struct {
	records []Stored
	first   int64 // the offset of the first record that is retained
}

func (s *streamModel) end() int64 { return int64(len(s.records)) }

// newest returns the newest record of a key before an offset; found is false if the key doesn't
// exist there.
func (s *streamModel) newest(key string, before int64) (newest Stored, found bool) {
	for _, rec := range slices.Backward(s.records[:before]) {
		if rec.Key == key {
			return rec, len(rec.Value) > 0
		}
	}
	return Stored{}, false
}

func (s *streamModel) changedSince(key string, offset int64) bool {
	return slices.ContainsFunc(s.records[offset:], func(rec Stored) bool { return rec.Key == key })
}

// copyModel simulates the reads for the copy of one pool: those of a follower, one after the other,
// and those beside it, whose answers arrive at any time, in any order and repeatedly.
type copyModel struct {
	rng    *rand.Rand
	stream streamModel
	jobs   []string
	pc     *poolController
	// position is the follower's; noOffset: it reads the newest records of all keys.
	position int64
	// pages is the answer to the follower's read of the newest records, as far as it has arrived.
	pages   *batch
	pagedTo int // number of keys covered by pages
	// arriving is the answer to the follower's last read.
	arriving *batch
	// beside are the answers to reads beside the follower.
	beside []streamRange
}

func newCopyModel(seed uint64) *copyModel {
	m := &copyModel{rng: rand.New(rand.NewPCG(seed, 47)), position: noOffset}
	for n := range 6 {
		m.jobs = append(m.jobs, fmt.Sprintf("%016x", n))
	}
	m.pc = newPoolController(context.Background(), newInstance(idleStore{}), 0)
	return m
}

// step lets one random event happen.
func (m *copyModel) step() {
	switch m.rng.IntN(16) {
	case 0, 1:
		m.append()
	case 2:
		m.trim()
	case 3, 4:
		m.follow()
	case 5:
		if m.arriving != nil {
			m.pc.handleBatch(*m.arriving)
			m.position, m.arriving = m.arriving.next, nil
		}
	case 6, 7, 8, 9:
		m.readBeside()
	case 10, 11, 12, 13:
		if len(m.beside) > 0 { // the answer stays in the list, so it may arrive again
			newest := min(len(m.beside), 4)
			m.pc.applyRange(m.beside[len(m.beside)-1-m.rng.IntN(newest)])
		}
	case 14, 15:
		m.appendDirectly()
	}
}

// trim discards the oldest records, perhaps all.
func (m *copyModel) trim() {
	retained := m.rng.Int64N(3)
	m.stream.first = max(m.stream.first, m.stream.end()-retained)
}

// invalidValue is no valid value of a record.
var invalidValue = []byte("\x00\xff")

// record returns the next record of the stream: a job, the removal of one, or an invalid record.
func (m *copyModel) record() Stored {
	id := m.jobs[m.rng.IntN(len(m.jobs))]
	rec := Stored{Offset: m.stream.end(), Record: pool.Record{Key: pool.JobKey(id)}}
	switch m.rng.IntN(9) {
	case 0, 1, 2:
	case 3:
		rec.Value = invalidValue
	default:
		rec.Value = pool.Encode(pool.Job{ID: id, AcceptedMs: rec.Offset})
	}
	return rec
}

func (m *copyModel) append() { m.stream.records = append(m.stream.records, m.record()) }

// follow lets the store answer the follower's next read, or one page of it.
func (m *copyModel) follow() {
	switch {
	case m.arriving != nil:
	case m.position == noOffset:
		m.readPage()
	case m.position < m.stream.first:
		m.position = noOffset
	default:
		answer := m.read(m.position)
		m.arriving = &answer.batch
	}
}

// readPage reads one page of the newest records. Pages are not a snapshot.
func (m *copyModel) readPage() {
	if m.pages == nil {
		m.pages, m.pagedTo = &batch{reset: true, next: m.stream.end()}, 0
	}
	pageEnd := min(len(m.jobs), m.pagedTo+1+m.rng.IntN(3))
	for _, id := range m.jobs[m.pagedTo:pageEnd] {
		if rec, found := m.stream.newest(pool.JobKey(id), m.stream.end()); found {
			m.pages.records = append(m.pages.records, rec)
		}
	}
	if m.pagedTo = pageEnd; pageEnd == len(m.jobs) {
		m.arriving, m.pages = m.pages, nil
	}
}

// read reads from an offset on, perhaps not to the end.
func (m *copyModel) read(from int64) streamRange {
	next := from + m.rng.Int64N(m.stream.end()-from+1)
	return streamRange{from: from, batch: batch{records: slices.Clone(m.stream.records[from:next]), next: next}}
}

// readBeside reads for a claim, from the end of the copy or from a later offset.
func (m *copyModel) readBeside() {
	from := m.pc.replica.next
	if m.rng.IntN(2) == 0 {
		from += m.rng.Int64N(m.stream.end() - from + 1)
	}
	if m.pc.copyLoaded && from >= m.stream.first {
		m.beside = append(m.beside, m.read(from))
	}
}

// appendDirectly appends at the end of the copy, if the stream ends there.
func (m *copyModel) appendDirectly() {
	if from := m.pc.replica.next; m.pc.copyLoaded && from == m.stream.end() {
		m.append()
		m.beside = append(m.beside, streamRange{from: from, batch: batch{records: m.stream.records[from:], next: m.stream.end()}})
	}
}

// check returns how the copy differs from the stream. Up to its end, the copy must hold what the
// stream held there, and must know of invalid records; of what has changed since it may hold either.
func (m *copyModel) check() error {
	next := m.pc.replica.next
	for _, id := range m.jobs {
		key := pool.JobKey(id)
		if !m.pc.copyLoaded || m.stream.changedSince(key, next) {
			continue
		}
		want, stored := m.stream.newest(key, next)
		got, held := m.pc.replica.records[key]
		if bytes.Equal(want.Value, invalidValue) {
			if !held && !m.pc.replica.mayContain(id) {
				return errors.Errorf("job %s, of a copy up to %d: unknown, but its record at %d is invalid", id, next, want.Offset)
			}
			continue
		}
		if held != stored || held && got.Offset != want.Offset {
			return errors.Errorf("job %s, of a copy up to %d: held %v at %d, stored %v at %d", id, next, held, got.Offset, stored, want.Offset)
		}
	}
	return nil
}

// Guards against a copy that lacks a stored job, or holds one that was removed, because an answer
// of the store arrives late, twice or out of order.
func TestCopyMatchesTheStreamInAnyOrderOfAnswers(t *testing.T) {
	const steps = 300
	for seed := range uint64(*orders) {
		m := newCopyModel(seed)
		for n := range steps {
			m.step()
			if err := m.check(); err != nil {
				t.Fatalf("order %d, step %d: %v", seed, n, err)
			}
		}
	}
}

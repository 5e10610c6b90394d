package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// readers is the set of an instance's readers, which follow topics of the store.
type readers struct {
	// readersRegained wakes all readers when a read succeeds again.
	readersRegained broadcast
	mu              sync.Mutex
	all             map[*reader]bool
}

// reader records how far a follower has read its topic, and since when its reads have failed.
type reader struct {
	topic Topic
	now   func() time.Duration
	log   zerolog.Logger

	mu           sync.Mutex
	next         int64         // the offset after the newest known record
	asOf         time.Duration // everything stored before is known; 0: no such time yet
	failures     int           // consecutive failed reads
	failingSince time.Duration // when the first of them was sent
}

func (r *readers) add(f *follower) *reader {
	one := &reader{topic: f.topic, now: f.now, log: f.log.With().Str("topic", f.topic.Name).Int("part", f.topic.Part).Logger()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*reader]bool{}
	}
	r.all[one] = true
	return one
}

func (r *readers) remove(one *reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, one)
}

// record notes the outcome of a read, and logs when reads start to fail or succeed again.
func (r *reader) record(b batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.err != nil {
		if r.failures == 0 {
			r.failingSince = b.askedAt
			r.log.Warn().Dur("waited", r.now()-b.askedAt).Err(b.err).Msg("reader.lost")
		}
		r.failures++
		return
	}
	if r.failures > 0 {
		r.log.Info().Dur("blind", r.now()-r.failingSince).Dur("asked", r.now()-b.askedAt).Int("failed", r.failures).
			Int("records", len(b.records)).Msg("reader.regained")
	}
	r.failures = 0
	r.next, r.asOf = b.next, max(r.asOf, b.asOf)
}

// ReaderDump shows how far an instance has read a topic of the store.
type ReaderDump struct {
	Topic string `json:"topic"`
	Part  int    `json:"part"`
	// Next is the offset after the newest known record.
	Next int64 `json:"next"`
	// AgeMs is the time since the moment before which everything stored is known; -1: there is no
	// such moment yet. If nothing is being stored, it grows up to the time that a read waits.
	AgeMs int64 `json:"ageMs"`
	// Failed is the number of consecutive failed reads.
	Failed int `json:"failed,omitempty"`
}

func (r *readers) dump() []ReaderDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]ReaderDump, 0, len(r.all))
	for one := range r.all {
		list = append(list, one.dump())
	}
	slices.SortFunc(list, func(a, b ReaderDump) int {
		return cmp.Or(cmp.Compare(a.Topic, b.Topic), cmp.Compare(a.Part, b.Part))
	})
	return list
}

func (r *reader) dump() ReaderDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := ReaderDump{Topic: r.topic.Name, Part: r.topic.Part, Next: r.next, AgeMs: -1, Failed: r.failures}
	if r.asOf != 0 {
		d.AgeMs = (r.now() - r.asOf).Milliseconds()
	}
	return d
}

package node

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// readers are those of an instance that follow topics of the store.
type readers struct {
	// regained wakes them when one of them is answered again.
	regained broadcast
	mu       sync.Mutex
	all      map[*reader]bool
}

// reader is how far a follower has read its topic, and since when it can't.
type reader struct {
	topic Topic
	now   func() time.Duration
	log   zerolog.Logger

	mu         sync.Mutex
	next       int64         // the offset after the newest record known
	asOf       time.Duration // all that was stored by then is known; 0: nothing is
	failed     int           // questions without an answer in a row
	blindSince time.Duration // when the first of them was put
}

func (r *readers) begin(f *follower) *reader {
	one := &reader{topic: f.topic, now: f.now, log: f.log.With().Str("topic", f.topic.Name).Int("part", f.topic.Part).Logger()}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.all == nil {
		r.all = map[*reader]bool{}
	}
	r.all[one] = true
	return one
}

func (r *readers) end(one *reader) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.all, one)
}

// note takes in what became of a question, and logs when the reader becomes blind or sees
// again.
func (r *reader) note(b batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.err != nil {
		if r.failed == 0 {
			r.blindSince = b.asked
			r.log.Warn().Dur("waited", r.now()-b.asked).Err(b.err).Msg("reader.lost")
		}
		r.failed++
		return
	}
	if r.failed > 0 {
		r.log.Info().Dur("blind", r.now()-r.blindSince).Dur("asked", r.now()-b.asked).Int("failed", r.failed).
			Int("records", len(b.records)).Msg("reader.regained")
	}
	r.failed = 0
	r.next, r.asOf = b.next, max(r.asOf, b.asOf)
}

// ReaderDump is how far an instance has read a topic of the store.
type ReaderDump struct {
	Topic string `json:"topic"`
	Part  int    `json:"part"`
	// Next is the offset after the newest record known.
	Next int64 `json:"next"`
	// AgeMs is how long ago the moment is up to which all that was stored is known; -1:
	// nothing is. Where nothing is stored, it grows up to a read's wait.
	AgeMs int64 `json:"ageMs"`
	// Failed is how many questions in a row have had no answer.
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
	d := ReaderDump{Topic: r.topic.Name, Part: r.topic.Part, Next: r.next, AgeMs: -1, Failed: r.failed}
	if r.asOf != 0 {
		d.AgeMs = (r.now() - r.asOf).Milliseconds()
	}
	return d
}

package node

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// entryLogInterval is the minimum time between two log lines about the same entry. An entry
	// that another writer rewrites each second would otherwise fill the log.
	entryLogInterval = time.Minute
	// maxEntryLogs bounds the log lines about all entries in that time: enough to diagnose the
	// problem, and at most 7 MB in 24 hours with 250 bytes each.
	maxEntryLogs = 20
	// maxTrackedEntries bounds the number of tracked entries, at about 150 bytes each: 0.15 MB of
	// the 64 MB of an instance.
	maxTrackedEntries = 1000
	// maxReasonLength bounds the part of an error that is logged, in bytes.
	maxReasonLength = 200
)

// source is where an entry was read: a topic of the store, or a kind of response.
type source string

// Responses in which items may be unreadable.
const (
	sourceHolds    source = "holds"
	sourceAdvice   source = "advice"
	sourceMachines source = "machines"
)

// noOffset stands for an entry that has no place in a stream.
const noOffset = -1

// unreadableEntries counts entries that can't be read, whoever wrote them, and logs some of them.
// An entry counts again only if it has changed.
type unreadableEntries struct {
	log     zerolog.Logger
	metrics *metrics
	now     func() time.Duration

	mu          sync.Mutex
	entries     map[entryKey]trackedEntry
	windowStart time.Duration // when the current interval began
	logged      int           // log lines in this interval
	unlogged    int           // entries that were not logged since the last log line
}

type entryKey struct {
	from source
	key  string
}

type trackedEntry struct {
	offset   int64
	loggedAt time.Duration // when it was last logged
}

func newUnreadableEntries(log zerolog.Logger, m *metrics, now func() time.Duration) *unreadableEntries {
	return &unreadableEntries{log: log, metrics: m, now: now, entries: map[entryKey]trackedEntry{}}
}

// report counts and possibly logs an entry. An entry that is merely read again, by a new owner or
// after the topic is read from the start, is recognized by its offset.
func (u *unreadableEntries) report(from source, key string, offset int64, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.now()
	k := entryKey{from, key}
	seen, known := u.entries[k]
	if known && offset != noOffset && seen.offset == offset {
		return
	}
	u.metrics.recordUnreadable(from)
	logNow := u.canLog(now) && (!known || now-seen.loggedAt >= entryLogInterval)
	if logNow {
		seen.loggedAt = now
	}
	seen.offset = offset
	u.track(now, k, seen, known)
	if !logNow {
		u.unlogged++
		return
	}
	u.logged++
	reason := err.Error()
	u.log.Warn().Str("source", string(from)).Str("key", key).Int64("offset", offset).
		Str("error", reason[:min(len(reason), maxReasonLength)]).Int("unsaid", u.unlogged).Msg("entry.unreadable")
	u.unlogged = 0
}

// canLog reports whether another log line is allowed in the current interval.
func (u *unreadableEntries) canLog(now time.Duration) bool {
	if now-u.windowStart >= entryLogInterval {
		u.windowStart, u.logged = now, 0
	}
	return u.logged < maxEntryLogs
}

// track stores an entry, unless the maximum is reached with entries that were logged recently.
func (u *unreadableEntries) track(now time.Duration, k entryKey, seen trackedEntry, known bool) {
	if !known && len(u.entries) >= maxTrackedEntries {
		for old, e := range u.entries {
			if now-e.loggedAt >= entryLogInterval {
				delete(u.entries, old)
			}
		}
		if len(u.entries) >= maxTrackedEntries {
			return
		}
	}
	u.entries[k] = seen
}

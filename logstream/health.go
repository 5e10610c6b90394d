package logstream

import "time"

// HealthConfig sets when the log counts as unavailable.
type HealthConfig struct {
	// MaxFailureTime is how long reads or appends must keep failing, without a
	// success in between. A single failure may just be a stale connection.
	MaxFailureTime time.Duration
	// MaxReadSilence is how long reads may go without any successful response.
	MaxReadSilence time.Duration
}

// Health decides from the results of reads and appends whether the log is
// available. It is a state machine without I/O; times are readings of the
// caller's clock.
type Health struct {
	cfg        HealthConfig
	lastReadAt time.Duration
	reads      failureStreak
	appends    failureStreak
}

// failureStreak is a series of failures without a success in between.
type failureStreak struct {
	on    bool
	since time.Duration
}

func (f *failureStreak) record(now time.Duration, err error) {
	switch {
	case err == nil:
		f.on = false
	case !f.on:
		f.on, f.since = true, now
	}
}

func (f *failureStreak) lasted(now, limit time.Duration) bool { return f.on && now-f.since >= limit }

// NewHealth returns a Health that has seen no reads or appends yet.
func NewHealth(cfg HealthConfig) *Health { return &Health{cfg: cfg} }

// RecordRead records the result of a read.
func (h *Health) RecordRead(now time.Duration, err error) {
	h.reads.record(now, err)
	if err == nil {
		h.lastReadAt = now
	}
}

// RecordAppend records the result of an append.
func (h *Health) RecordAppend(now time.Duration, err error) { h.appends.record(now, err) }

// RecordReadBack records that a record of this process was read back. Appends
// work then, even if their responses were lost.
func (h *Health) RecordReadBack() { h.appends.on = false }

// Down reports whether the log counts as unavailable.
func (h *Health) Down(now time.Duration) bool {
	return now-h.lastReadAt >= h.cfg.MaxReadSilence || h.reads.lasted(now, h.cfg.MaxFailureTime) || h.appends.lasted(now, h.cfg.MaxFailureTime)
}

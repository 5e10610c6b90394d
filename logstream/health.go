package logstream

import "time"

// HealthConfig says when the log counts as unavailable.
type HealthConfig struct {
	// FailFor is how long reads or appends must fail without a success in
	// between. One failed call alone may be a connection that went silent.
	FailFor time.Duration
	// SilentFor is how long reads may bring no answer at all.
	SilentFor time.Duration
}

// Health decides from the answers of the log whether it is available. It is a
// step machine; times are the caller's readings.
type Health struct {
	cfg     HealthConfig
	heardAt time.Duration
	reads   failing
	appends failing
}

// failing is a run of failures without a success.
type failing struct {
	on    bool
	since time.Duration
}

func (f *failing) note(now time.Duration, err error) {
	switch {
	case err == nil:
		f.on = false
	case !f.on:
		f.on, f.since = true, now
	}
}

func (f *failing) longer(now, limit time.Duration) bool { return f.on && now-f.since >= limit }

// NewHealth returns the health of a log that has not answered yet.
func NewHealth(cfg HealthConfig) *Health { return &Health{cfg: cfg} }

// Read takes in how a read ended.
func (h *Health) Read(now time.Duration, err error) {
	h.reads.note(now, err)
	if err == nil {
		h.heardAt = now
	}
}

// Append takes in how an append ended.
func (h *Health) Append(now time.Duration, err error) { h.appends.note(now, err) }

// ReadBack takes in that a record of this process was read back: appends work,
// whatever became of their answers.
func (h *Health) ReadBack() { h.appends.on = false }

// Down reports whether the log counts as unavailable.
func (h *Health) Down(now time.Duration) bool {
	return now-h.heardAt >= h.cfg.SilentFor || h.reads.longer(now, h.cfg.FailFor) || h.appends.longer(now, h.cfg.FailFor)
}

package node

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/pool"
)

// latencyBuckets are the buckets of the latency histograms, from a fast answer to the longest time
// that callers wait.
var latencyBuckets = tally.DurationBuckets{
	2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
}

// minRecordedSize is the size in bytes from which records are recorded by kind.
const minRecordedSize = 16 << 10

// sizeBuckets are the buckets of the histograms of sizes in bytes, from a heartbeat to the largest append.
var sizeBuckets = tally.MustMakeExponentialValueBuckets(256, 4, 8)

// metrics are the counters and histograms of an instance.
type metrics struct {
	scope          tally.Scope
	submitLatency  tally.Histogram
	appendLatency  tally.Histogram
	appendFailures tally.Counter
	appendBytes    tally.Histogram
	stepWait       tally.Histogram
	// decisions are the counters of decisions by event.
	decisions eventCounters
	// startWindow is the limit on the bytes of starts in flight.
	startWindow tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		scope:          scope,
		decisions:      eventCounters{scope: scope},
		submitLatency:  scope.Histogram("submit_latency", latencyBuckets),
		appendLatency:  scope.Histogram("store_append_latency", latencyBuckets),
		appendFailures: scope.Counter("store_append_failures"),
		appendBytes:    scope.Histogram("store_append_bytes", sizeBuckets),
		stepWait:       scope.Histogram("step_wait", latencyBuckets),

		startWindow: scope.Gauge("start_window_bytes"),
	}
}

// recordDecision counts a decision of a core.
func (m *metrics) recordDecision(d pool.LogEntry) {
	m.decisions.get(d.Event).Inc(1)
	if d.Share > 0 {
		// The organisations are those of the configuration.
		scope := m.scope.Tagged(map[string]string{"organisation": d.Organisation})
		scope.Gauge("organisation_used").Update(d.Used)
		scope.Gauge("organisation_share").Update(d.Share)
	}
	if d.Waited > 0 && d.Task != nil {
		m.stepWait.RecordDuration(d.Waited)
	}
}

// recordCrashes records the tasks of a pool under which workers have crashed.
func (m *metrics) recordCrashes(part, suspected, quarantined int) {
	scope := m.scope.Tagged(map[string]string{"pool": strconv.Itoa(part)})
	scope.Gauge("suspected_tasks").Update(float64(suspected))
	scope.Gauge("quarantined_tasks").Update(float64(quarantined))
}

// recordUnreadable counts an unreadable entry.
func (m *metrics) recordUnreadable(from source) {
	m.scope.Tagged(map[string]string{"source": strings.ReplaceAll(string(from), ".", "_")}).Counter("unreadable_entries").Inc(1)
}

// recordReset counts newest records that were read for a copy, and those that were ignored as stale.
func (m *metrics) recordReset(stale bool) {
	m.scope.Tagged(map[string]string{"stale": strconv.FormatBool(stale)}).Counter("copy_resets").Inc(1)
}

// recordSubmission counts a caller's request and records its latency. The organisation is one of the
// configuration, or empty.
func (m *metrics) recordSubmission(organisation string, v Verdict, took time.Duration) {
	tags := map[string]string{"verdict": strings.ReplaceAll(v.String(), " ", "_")}
	m.scope.Tagged(tags).Counter("submissions").Inc(1)
	if organisation != "" {
		tags["organisation"] = organisation
		m.scope.Tagged(tags).Counter("organisation_submissions").Inc(1)
	}
	m.submitLatency.RecordDuration(took)
}

// recordRefusal counts a refused job by its queue, organisation and bottleneck.
func (m *metrics) recordRefusal(j *pool.Job, by pool.Bottleneck) {
	m.scope.Tagged(map[string]string{"queue": j.Queue, "organisation": j.Organisation, "scarce": string(by)}).Counter("refusals").Inc(1)
}

// timedStore wraps a Store and records the latency and failures of its appends.
type timedStore struct {
	Store
	metrics *metrics
}

// Append implements Store.
func (s timedStore) Append(ctx context.Context, to Topic, records []pool.Record, writer *Writer) (int64, error) {
	start := time.Now()
	offset, err := s.Store.Append(ctx, to, records, writer)
	s.metrics.recordAppend(records, time.Since(start), err)
	return offset, err
}

// AppendAt implements Store.
func (s timedStore) AppendAt(ctx context.Context, to Topic, records []pool.Record, at int64) (int64, error) {
	start := time.Now()
	offset, err := s.Store.AppendAt(ctx, to, records, at)
	s.metrics.recordAppend(records, time.Since(start), err)
	return offset, err
}

func (m *metrics) recordAppend(records []pool.Record, took time.Duration, err error) {
	size := sizeOf(records)
	m.appendBytes.RecordValue(float64(size.bytes))
	m.recordLargest(size)
	if err != nil {
		m.appendFailures.Inc(1)
		return
	}
	m.appendLatency.RecordDuration(took)
}

// recordLargest records the size of an append's largest record by the kind of its key.
func (m *metrics) recordLargest(size appendSize) {
	if size.largestBytes < minRecordedSize {
		return
	}
	kind, _ := pool.ParseKey(size.largestKey)
	m.scope.Tagged(map[string]string{"kind": kind.String()}).Gauge("largest_record_bytes").Update(float64(size.largestBytes))
}

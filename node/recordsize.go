package node

import (
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// defaultMaxRecord and defaultMaxAppend apply if the settings name no limits of the store.
	defaultMaxRecord = 256 << 10
	defaultMaxAppend = 2 << 20
	// preferredAppend is the size in bytes up to which records are put into one append, even if the store
	// accepts more: other appends to the stream wait for it, and it has to be answered within appendTimeout.
	preferredAppend = 512 << 10
	// refusalLogInterval is the minimum time between two log lines about the same refused append.
	refusalLogInterval = time.Second
)

// appendLimit returns the size of the largest append that this instance sends, in bytes. A single record may
// exceed it.
func (n *Node) appendLimit() int { return min(preferredAppend, n.opts.MaxAppend) }

// appendSize describes an append for logs and metrics.
type appendSize struct {
	records, bytes int
	largestKey     string
	largestBytes   int
}

// sizeOf returns the size of the records of an append, each as the store counts it.
func sizeOf(records []pool.Record) appendSize {
	s := appendSize{records: len(records)}
	for _, r := range records {
		size := r.Size()
		s.bytes += pool.RecordOverhead + size
		if size > s.largestBytes {
			s.largestKey, s.largestBytes = r.Key, size
		}
	}
	return s
}

// logRefusedAppend logs an append that the store refused, with its largest record: a record or an append that
// exceeds a limit is refused at each attempt.
func (o *ownership) logRefusedAppend(f *inFlightAppend, records []pool.Record, err error) {
	now := o.pc.node.now()
	if !errors.Is(err, ErrRefused) || (f.refusalLoggedAt != 0 && now-f.refusalLoggedAt < refusalLogInterval) {
		return
	}
	f.refusalLoggedAt = now
	size, opts := sizeOf(records), &o.pc.node.opts
	o.pc.log.Warn().Err(err).Uint64("epoch", o.claim.Epoch).Uint64("sequence", f.sequence).
		Int("records", size.records).Int("bytes", size.bytes).Int("max_append", opts.MaxAppend).
		Str("largest_key", size.largestKey).Int("largest_bytes", size.largestBytes).Int("max_record", opts.MaxRecord).Msg("append.refused")
}

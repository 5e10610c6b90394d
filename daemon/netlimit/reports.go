package netlimit

import (
	"net"
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the least time between two log lines about the same reason.
const logInterval = 10 * time.Second

// Reports logs connections that a bound has closed, with at most one line each 10 s for each reason. Its calls must not
// overlap.
type Reports struct {
	Log      zerolog.Logger
	byReason map[string]*report
}

// report is what the log is told about one reason.
type report struct {
	at     time.Time // of the last line
	closed int       // connections since that line
}

// Add reports that the bound of a size has closed the connection of a peer.
func (r *Reports) Add(reason string, limit int64, peer net.Addr) {
	if r.byReason == nil {
		r.byReason = map[string]*report{}
	}
	about := r.byReason[reason]
	if about == nil {
		about = &report{}
		r.byReason[reason] = about
	}
	about.closed++
	if !about.at.IsZero() && time.Since(about.at) < logInterval {
		return
	}
	r.Log.Warn().Str("reason", reason).Int64("limit", limit).Stringer("peer", peer).Int("closed", about.closed).Msg("connections.closed")
	*about = report{at: time.Now()}
}

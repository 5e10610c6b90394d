package sched

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// Timeouts and sizes of the loops that read and write the log.
const (
	logPollWait       = time.Second
	logRetryDelay     = 200 * time.Millisecond
	logCallTimeout    = 3 * time.Second
	maxLogCallTimeout = 24 * time.Second
	logPageRecords    = 1000
	controlLogStream  = "control"

	// snapshotStream is separate from the control stream, so that snapshots are
	// read only by the schedulers that need one.
	snapshotStream        = "control.snapshots"
	snapshotPageRecords   = 16
	snapshotCallTimeout   = 20 * time.Second
	snapshotsPerRetention = 4
)

// readDone is the result of a read; the core's next read is returned on next.
type readDone struct {
	control.LogRead
	next chan logstream.ReadRequest
}

// snapshotRequest requests the full state from the control goroutine.
type snapshotRequest struct{ reply chan snapshotResult }

type snapshotResult struct {
	snapshot logstream.Snapshot
	ok       bool
}

// followLog executes the core's reads of the log, one at a time.
func (s *Scheduler) followLog(ctx context.Context) error {
	read := logstream.ReadRequest{Snapshots: true}
	timeout := callTimeout(logCallTimeout)
	for ctx.Err() == nil {
		start := daemon.Clock()
		page, err := s.readLog(ctx, read, timeout)
		timeout = timeout.next(err)
		done := readDone{control.LogRead{Read: read, StartedAt: start, Page: page, Err: err}, make(chan logstream.ReadRequest, 1)}
		s.post(ctx, done)
		if err != nil {
			s.process.Log.Warn().Err(err).Bool("snapshots", read.Snapshots).Msg("log.read_failed")
			sleep(ctx, logRetryDelay)
		}
		select {
		case read = <-done.next:
		case <-ctx.Done():
		}
	}
	return nil
}

// callTimeout is the timeout of the next call to the log. It is short, so that a silent
// connection is detected soon. With a fixed timeout a log that is slower than that could
// never be read again, so each call that times out doubles it.
type callTimeout time.Duration

func (t callTimeout) next(err error) callTimeout {
	if errors.Is(err, context.DeadlineExceeded) {
		return min(2*t, callTimeout(maxLogCallTimeout))
	}
	return callTimeout(logCallTimeout)
}

func (s *Scheduler) readLog(ctx context.Context, r logstream.ReadRequest, timeout callTimeout) (infra.Page, error) {
	if r.Snapshots {
		call, cancel := context.WithTimeout(ctx, snapshotCallTimeout)
		defer cancel()
		return s.client.Read(call, snapshotStream, r.After, snapshotPageRecords, 0)
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(timeout))
	defer cancel()
	// A read that doesn't wait for new records returns at once, so that the
	// scheduler of an idle cell learns early that it has read everything.
	var wait time.Duration
	if r.Wait {
		wait = logPollWait
	}
	return s.client.Read(call, controlLogStream, r.After, logPageRecords, wait)
}

func (s *Scheduler) appendLoop(ctx context.Context) error {
	timeout := callTimeout(logCallTimeout)
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-s.appends:
			call, cancel := context.WithTimeout(ctx, time.Duration(timeout))
			err := s.client.Append(call, controlLogStream, a.Batch)
			cancel()
			timeout = timeout.next(err)
			s.countAppend(a.Cause)
			if err != nil {
				s.process.Log.Warn().Err(err).Int("records", len(a.Batch)).Msg("log.append_failed")
			}
			s.post(ctx, control.AppendDone{Err: err})
		}
	}
}

// storeLoop appends snapshots to the log.
func (s *Scheduler) storeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case request := <-s.snapshotStores:
			mark, appends, err := s.storeSnapshot(ctx, request)
			if err != nil {
				s.process.Log.Warn().Err(err).Msg("snapshot.store_failed")
			} else {
				s.process.Log.Info().Uint64("covers", uint64(mark.Covers)).Int("bytes", mark.Bytes).Msg("snapshot.stored")
			}
			s.post(ctx, control.SnapshotStored{Mark: mark, Appends: appends, Err: err})
		}
	}
}

// storeSnapshot appends the chunks of a snapshot with pauses between them, so that a large
// snapshot doesn't starve other writers of the log. It returns how many appends it tried.
func (s *Scheduler) storeSnapshot(ctx context.Context, request control.StoreSnapshot) (logstream.Mark, int, error) {
	data, err := logstream.EncodeSnapshot(request.Snapshot)
	if err != nil {
		return logstream.Mark{}, 0, err
	}
	covers := request.Snapshot.Offset
	chunks, err := logstream.EncodeChunks(s.process.ID, s.process.Incarnation, covers, data)
	if err != nil {
		return logstream.Mark{}, 0, err
	}
	for i, c := range chunks {
		if i > 0 {
			sleep(ctx, request.Pause)
		}
		call, cancel := context.WithTimeout(ctx, snapshotCallTimeout)
		err := s.client.Append(call, snapshotStream, [][]byte{c})
		cancel()
		s.countAppend(logstream.CauseSnapshot)
		if err != nil {
			return logstream.Mark{}, i + 1, err
		}
	}
	return logstream.Mark{Covers: covers, Chunks: len(chunks), Bytes: len(data)}, len(chunks), nil
}

func (s *Scheduler) countAppend(cause string) {
	s.process.Metrics.Tagged(map[string]string{"cause": cause}).Counter("log_appends").Inc(1)
}

// fetchLoop fetches state from peers.
func (s *Scheduler) fetchLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case addrs := <-s.stateFetches:
			s.post(ctx, control.PeerStates{States: s.fetchNewest(addrs)})
		}
	}
}

// fetchNewest requests the offsets of all peers concurrently and fetches the full state
// from the newest peer only. At the largest supported size the states of all peers would
// be hundreds of megabytes.
func (s *Scheduler) fetchNewest(addrs []string) []control.PeerState {
	offsets := make([]infra.Offset, len(addrs))
	var wait sync.WaitGroup
	for i, addr := range addrs {
		wait.Go(func() {
			reply, err := requestSnapshot(s.dial, addr, true)
			if err != nil {
				s.process.Log.Debug().Err(err).Str("peer", addr).Msg("peer.state_unavailable")
			}
			offsets[i] = reply.Offset
		})
	}
	wait.Wait()
	newest := 0
	for i := range offsets {
		if offsets[i] > offsets[newest] {
			newest = i
		}
	}
	if offsets[newest] == 0 {
		return nil
	}
	reply, err := requestSnapshot(s.dial, addrs[newest], false)
	if err != nil {
		return nil
	}
	snapshot, err := logstream.DecodeSnapshot(reply.Data)
	if err != nil {
		s.process.Log.Warn().Err(err).Str("peer", addrs[newest]).Msg("peer.state_damaged")
		return nil
	}
	return []control.PeerState{{From: addrs[newest], Snapshot: snapshot}}
}

func requestSnapshot(dial schedclient.Dialer, addr string, offsetOnly bool) (api.SnapshotReply, error) {
	client := schedclient.NewWith(addr, dial)
	defer client.Close()
	return client.Snapshot(offsetOnly, peerTimeout)
}

package machines

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

var (
	ConfigTopic  = node.Topic{Name: "config"}
	WorkersTopic = node.Topic{Name: "workers"}
)

// configKey is the key of the configuration.
const configKey = "config"

// dedupWindow is the number of a writer's last appends that are deduplicated when repeated.
const dedupWindow = 5

// store holds streams of keyed records in memory.
type store struct {
	streams map[node.Topic]*stream
}

type stream struct {
	records []node.Stored
	first   int64
	newest  map[string]node.Stored
	writers map[string]*writerState
	grown   chan struct{}
	freeAt  time.Time // when the queued appends will be done
}

type writerState struct {
	epoch   uint64
	next    uint64
	offsets []int64 // of the last appends
	known   bool
}

func newStore() *store { return &store{streams: map[node.Topic]*stream{}} }

func (s *store) stream(t node.Topic) *stream {
	st := s.streams[t]
	if st == nil {
		st = &stream{newest: map[string]node.Stored{}, writers: map[string]*writerState{}, grown: make(chan struct{})}
		s.streams[t] = st
	}
	return st
}

func (s *store) put(t node.Topic, records ...pool.Record) int64 { return s.stream(t).put(records) }

func (st *stream) end() int64 { return st.first + int64(len(st.records)) }

func (st *stream) put(records []pool.Record) int64 {
	at := st.end()
	for _, r := range records {
		rec := node.Stored{Offset: st.end(), Record: r}
		st.records = append(st.records, rec)
		if len(r.Value) == 0 {
			delete(st.newest, r.Key)
		} else {
			st.newest[r.Key] = rec
		}
	}
	close(st.grown)
	st.grown = make(chan struct{})
	return at
}

// append applies the checks for a writer: fencing by epoch, deduplication and order.
func (st *stream) append(records []pool.Record, w *node.Writer) (int64, error) {
	if w == nil {
		return st.put(records), nil
	}
	state := st.writers[w.Name]
	if state == nil {
		state = &writerState{}
		st.writers[w.Name] = state
	}
	switch {
	case state.known && w.Epoch < state.epoch:
		return 0, node.ErrFenced
	case !state.known || w.Epoch > state.epoch:
		state.epoch, state.offsets, state.known = w.Epoch, nil, true
	case w.Sequence < state.next && state.next-w.Sequence <= uint64(len(state.offsets)):
		return state.offsets[len(state.offsets)-int(state.next-w.Sequence)], nil
	case w.Sequence != state.next:
		return 0, node.SequenceError{Expected: state.next}
	}
	at := st.put(records)
	state.next = w.Sequence + 1
	state.offsets = append(state.offsets, at)
	if len(state.offsets) > dedupWindow {
		state.offsets = state.offsets[1:]
	}
	return at, nil
}

// DropHistory trims all streams: only the newest record of each key remains.
func (w *World) DropHistory() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, st := range w.store.streams {
		st.first, st.records = st.end(), nil
	}
}

// StoreFault is the fault of the store as seen by one instance.
type StoreFault int

// Faults of the store.
const (
	StoreUp StoreFault = iota
	// StoreBusy refuses all calls.
	StoreBusy
	// StoreSilent neither executes nor answers calls. A call that arrives meanwhile never gets
	// an answer; a read that was already waiting gets its answer when the fault ends.
	StoreSilent
	// StoreReset breaks all connections, also those of waiting reads.
	StoreReset
	// StoreLossy executes all calls and loses some answers.
	StoreLossy
	// StoreLate executes some appends seconds later, without an answer.
	StoreLate
)

// applyFault applies the instance's fault to a call. It reports whether the call is
// executed now, and whether its answer arrives.
func (v *View) applyFault(ctx context.Context) (executed, answered bool, err error) {
	if !pause(ctx, networkDelay+v.storeDelay()) {
		return false, false, node.ErrInDoubt
	}
	switch v.StoreFault() {
	case StoreBusy:
		return false, false, node.ErrRefused
	case StoreSilent:
		<-ctx.Done()
		return false, false, node.ErrInDoubt
	case StoreReset:
		return false, false, node.ErrInDoubt
	case StoreLossy:
		return true, !v.w.Chance(lossProbability), nil
	}
	return true, true, nil
}

// lossProbability is the probability that a lossy store loses an answer.
const lossProbability = 0.35

// maxAppendQueue is the queueing delay at a stream above which appends are refused.
const maxAppendQueue = 2 * time.Second

// SlowAppends makes each stream execute appends one after another, each taking the given
// time.
func (w *World) SlowAppends(each time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appendTime = each
}

// waitForStream waits until the stream has executed the appends before this one. It
// returns false if the queue is too long.
func (w *World) waitForStream(to node.Topic) bool {
	w.mu.Lock()
	st := w.store.stream(to)
	now := time.Now()
	if st.freeAt.Before(now) {
		st.freeAt = now
	}
	wait := st.freeAt.Sub(now)
	if w.appendTime == 0 || wait > maxAppendQueue {
		free := w.appendTime == 0
		w.mu.Unlock()
		return free
	}
	st.freeAt = st.freeAt.Add(w.appendTime)
	wait += w.appendTime
	w.mu.Unlock()
	time.Sleep(wait)
	return true
}

// maxReadDelay is the longest wait for the shared read bandwidth; reads beyond it are refused.
const maxReadDelay = time.Second

// LimitReads limits the total rate of all reads, in bytes per second; 0: unlimited.
func (w *World) LimitReads(bytesPerS int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readRate = bytesPerS
}

// BytesRead returns the total size of the records that reads have returned.
func (w *World) BytesRead() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytesRead
}

// throttleRead waits until the page has been transferred at the shared read rate. It returns false
// without waiting if the reads queued before would take longer than maxReadDelay.
func (w *World) throttleRead(page []node.Stored) bool {
	w.mu.Lock()
	size := 0
	for _, rec := range page {
		size += len(rec.Key) + len(rec.Value)
	}
	if w.readRate == 0 {
		w.bytesRead += size
		w.mu.Unlock()
		return true
	}
	now := time.Now()
	if w.readsDoneAt.Before(now) {
		w.readsDoneAt = now
	}
	if w.readsDoneAt.Sub(now) > maxReadDelay {
		w.mu.Unlock()
		return false
	}
	w.bytesRead += size
	w.readsDoneAt = w.readsDoneAt.Add(time.Duration(size) * time.Second / time.Duration(w.readRate))
	wait := w.readsDoneAt.Sub(now)
	w.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
	return true
}

// Append implements node.Store.
func (v *View) Append(ctx context.Context, to node.Topic, records []pool.Record, writer *node.Writer) (int64, error) {
	return v.append(ctx, to, records, func(st *stream) (int64, error) { return st.append(records, writer) })
}

// AppendAt implements node.Store.
func (v *View) AppendAt(ctx context.Context, to node.Topic, records []pool.Record, at int64) (int64, error) {
	return v.append(ctx, to, records, func(st *stream) (int64, error) {
		if st.end() != at {
			return 0, node.EndError{End: st.end()}
		}
		return st.put(records), nil
	})
}

// afterFunc is time.AfterFunc, but without a timer if there is nothing to wait for, for the same reason.
func afterFunc(d time.Duration, f func()) {
	if d > 0 {
		time.AfterFunc(d, f)
		return
	}
	go f()
}

func (v *View) append(ctx context.Context, to node.Topic, records []pool.Record, put func(*stream) (int64, error)) (int64, error) {
	v.awaitResume()
	defer v.awaitResume()
	executed, answered, err := v.applyFault(ctx)
	if !executed {
		return 0, err
	}
	if !v.w.acceptsSize(records) {
		return 0, node.ErrRefused
	}
	if v.StoreFault() == StoreLate && v.w.Chance(lossProbability) {
		late := time.Second + time.Duration(v.w.IntN(5000))*time.Millisecond
		afterFunc(late, func() {
			v.w.mu.Lock()
			defer v.w.mu.Unlock()
			_, _ = put(v.w.store.stream(to)) // no caller waits for the result
		})
		<-ctx.Done()
		return 0, node.ErrInDoubt
	}
	if !v.w.waitForStream(to) {
		return 0, node.ErrRefused
	}
	v.w.mu.Lock()
	at, err := put(v.w.store.stream(to))
	v.w.mu.Unlock()
	if !answered || ctx.Err() != nil {
		<-ctx.Done()
		return 0, node.ErrInDoubt
	}
	return at, err
}

// Newest implements node.Store.
func (v *View) Newest(ctx context.Context, from node.Topic, after string) ([]node.Stored, bool, int64, error) {
	v.awaitResume()
	defer v.awaitResume()
	if executed, answered, err := v.applyFault(ctx); !executed || !answered {
		return nil, false, 0, orInDoubt(err)
	}
	page, more, end := v.w.newestPage(from, after)
	if !v.w.throttleRead(page) {
		return nil, false, 0, node.ErrRefused
	}
	return page, more, end, nil
}

// newestPage returns a page of the newest records per key, starting after the given key.
func (w *World) newestPage(from node.Topic, after string) (page []node.Stored, more bool, end int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := w.store.stream(from)
	for key, rec := range st.newest {
		if key > after {
			page = append(page, rec)
		}
	}
	slices.SortFunc(page, func(a, b node.Stored) int { return cmp.Compare(a.Key, b.Key) })
	more = len(page) > w.PageSize
	return page[:min(w.PageSize, len(page))], more, st.end()
}

// Read implements node.Store.
func (v *View) Read(ctx context.Context, from node.Topic, offset int64, wait time.Duration) ([]node.Stored, int64, error) {
	v.awaitResume()
	defer v.awaitResume()
	if executed, answered, err := v.applyFault(ctx); !executed || !answered {
		return nil, 0, orInDoubt(err)
	}
	// The timeout isn't a timer's channel, as it may expire while this waits for something else; see after.
	timeout := make(chan struct{})
	if wait > 0 {
		defer time.AfterFunc(wait, func() { close(timeout) }).Stop()
	} else {
		close(timeout)
	}
	for {
		fault, faultEnds := v.currentFault()
		page, end, grown, err := v.w.readNow(from, offset)
		elapsed := timeout
		switch {
		case fault == StoreSilent: // the answer is delayed until the fault ends
			grown, elapsed = nil, nil
		case err != nil:
			return nil, end, err
		case len(page) > 0:
			if !v.w.throttleRead(page) {
				return nil, 0, node.ErrRefused
			}
			return page, end, nil
		}
		select {
		case <-grown:
		case <-elapsed:
			return nil, end, nil
		case <-faultEnds:
			if v.StoreFault() == StoreReset {
				return nil, 0, node.ErrInDoubt
			}
		case <-ctx.Done():
			return nil, 0, node.ErrInDoubt
		}
	}
}

// readNow returns the records from an offset on, the end of the stream, and a channel that
// is closed when the stream grows.
func (w *World) readNow(from node.Topic, offset int64) (page []node.Stored, end int64, grown <-chan struct{}, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	st := w.store.stream(from)
	if offset < st.first {
		return nil, 0, nil, node.ErrTrimmed
	}
	if offset < st.end() {
		page = slices.Clone(st.records[offset-st.first:])
	}
	return page, st.end(), st.grown, nil
}

func orInDoubt(err error) error {
	if err == nil {
		return node.ErrInDoubt
	}
	return err
}

// acceptsSize reports whether the store accepts an append of this size.
func (w *World) acceptsSize(records []pool.Record) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	total, accepted := 0, true
	for _, r := range records {
		total += pool.RecordOverhead + r.Size()
		accepted = accepted && r.Size() <= w.MaxRecord
	}
	if accepted = accepted && total <= w.MaxAppend; !accepted {
		w.refusedSizes++
	}
	return accepted
}

// SetMaxRecord changes the size of the largest record that the store accepts, in bytes.
func (w *World) SetMaxRecord(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.MaxRecord = bytes
}

// SizesRefused returns how many appends were refused because of their size or that of a record.
func (w *World) SizesRefused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusedSizes
}

// pause waits. It returns false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-after(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// after is time.After, but without a timer if there is nothing to wait for: an expired
// timer is run by the goroutine that checks it, and two goroutines that do so at once in a
// synctest bubble crash the race detector.
func after(d time.Duration) <-chan time.Time {
	if d > 0 {
		return time.After(d)
	}
	now := make(chan time.Time, 1)
	now <- time.Now()
	return now
}

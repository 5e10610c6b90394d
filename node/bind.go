package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// closeTimeout bounds one attempt to close another pool for queues: a request to its owner, an
	// append, and a read.
	closeTimeout = 2 * time.Second
	// closePollInterval is the delay between two checks whether the other pool is closed.
	closePollInterval = 20 * time.Millisecond
)

// errStillOpen means that another pool still accepts jobs of a queue.
var errStillOpen = errors.New("a former pool of the queue is not closed yet")

// bindResult is the outcome of an attempt to open the pool for queues: those that are open now,
// those that a newer configuration has bound to another pool, and why the others failed.
type bindResult struct {
	open  []queueState
	newer []QueueRef
	err   error
}

// requestConfiguredQueues requests opening the pool for the queues that a configuration routes to
// it.
func (o *ownership) requestConfiguredQueues(cfg *Config) {
	for _, r := range cfg.Routes {
		if partOf(r.Queue.Service, o.pc.node.opts.Parts) == o.pc.topic.Part {
			o.queues.want(QueueRef{Name: r.Queue.Name, Service: r.Queue.Service, Version: cfg.Version})
		}
	}
	o.startBinding()
}

// startBinding starts opening the pool for the wanted queues, unless an attempt is running, has
// just failed, or the pool is being handed over.
func (o *ownership) startBinding() {
	if o.queues.binding || len(o.queues.wanted) == 0 || o.pc.node.now() < o.queues.retryAt || o.pc.successor != "" {
		return
	}
	refs := o.queues.nextWanted()
	o.queues.binding = true
	go func() { o.send(o.pc.bind(o.ctx, refs)) }()
}

// handleBindResult applies the outcome of an attempt to open the pool for queues.
func (o *ownership) handleBindResult(e bindResult) {
	o.queues.binding = false
	if e.err != nil {
		o.queues.retryAt = o.pc.node.now() + bindRetryDelay
		o.pc.log.Warn().Err(e.err).Int("wanted", len(o.queues.wanted)).Msg("queues.not_bound")
	}
	for _, ref := range e.newer {
		o.queues.newer[ref.Name] = ref
		o.removeWanted(ref.Name, ref.Version)
		o.pc.log.Info().Str("queue", ref.Name).Int64("version", ref.Version).Str("service", ref.Service).Msg("queue.elsewhere")
	}
	o.storeQueueStates(e.open)
	o.startBinding()
}

// storeQueueStates applies queue states and stores them. They precede in the stream all jobs that
// this owner accepts afterwards.
func (o *ownership) storeQueueStates(states []queueState) {
	var records []pool.Record
	for _, s := range states {
		o.removeWanted(s.Queue, s.Version)
		if !o.queues.set(s) {
			continue
		}
		records = append(records, s.record())
		o.pc.log.Info().Str("queue", s.Queue).Bool("open", s.Open).Int64("version", s.Version).Str("service", s.Service).
			Ints("former", s.Former).Msg("queue.bound")
	}
	if len(records) > 0 {
		o.saves.add(pendingSave{kind: queueSave, records: records})
	}
}

func (o *ownership) removeWanted(queue string, version int64) {
	if o.queues.wanted[queue].Version <= version {
		delete(o.queues.wanted, queue)
	}
}

// lookUpQueue is poolController.lookUpQueue for the pool's owner. If the queue isn't open and no
// newer version is known, it starts opening the pool for it.
func (o *ownership) lookUpQueue(ref QueueRef) (queueState, error) {
	state, known := o.queues.states[ref.Name]
	if known && state.Open {
		return state, nil
	}
	newest := o.queues.newer[ref.Name]
	if known && state.Version >= newest.Version {
		newest = QueueRef{Name: ref.Name, Service: state.Service, Version: state.Version}
	}
	if newest.Name != "" && newest.Version >= ref.Version {
		return state, &MovedError{To: newest}
	}
	if ref.Version > 0 {
		o.queues.want(ref)
		o.startBinding()
	}
	return state, errQueueNotOpen
}

// closeQueues makes the pool's owner reject further jobs of queues, and reports whether this
// instance is the owner.
func (pc *poolController) closeQueues(refs []QueueRef) bool {
	if pc.own == nil || !pc.own.loaded || pc.successor != "" {
		return false
	}
	states := make([]queueState, 0, len(refs))
	for _, ref := range refs {
		states = append(states, queueState{Queue: ref.Name, Version: ref.Version, Service: ref.Service})
	}
	pc.own.storeQueueStates(states)
	pc.own.rewriteUnreadable(refs)
	return true
}

// rewriteUnreadable stores the states of queues again whose records have been overwritten with an
// entry that can't be read.
func (o *ownership) rewriteUnreadable(refs []QueueRef) {
	for _, ref := range refs {
		if state, known := o.queues.states[ref.Name]; known && o.pc.replica.invalid[pool.QueueKey(ref.Name)] {
			o.saves.add(pendingSave{kind: queueSave, records: []pool.Record{state.record()}})
		}
	}
}

// bind binds queues to the pool and closes all other pools that may hold jobs of them.
func (pc *poolController) bind(ctx context.Context, refs []QueueRef) bindResult {
	list, err := pc.node.bindQueues(ctx, pc.topic.Part, refs)
	if err != nil {
		return bindResult{err: err}
	}
	var result bindResult
	toClose := map[int][]QueueRef{}
	for _, b := range list {
		if b.part() != pc.topic.Part {
			result.newer = append(result.newer, b.ref())
			continue
		}
		for _, part := range b.former() {
			toClose[part] = append(toClose[part], b.ref())
		}
	}
	notClosed := map[int]error{}
	for part, closing := range toClose {
		if err := pc.node.closeInPool(ctx, part, closing); err != nil {
			notClosed[part] = err
		}
	}
	for _, b := range list {
		if b.part() != pc.topic.Part {
			continue
		}
		state := queueState{Queue: b.Queue, Version: b.Version, Open: true, Service: b.Service, Former: b.former()}
		if err := firstError(notClosed, state.Former); err != nil {
			result.err = errors.Wrap(err, b.Queue)
			continue
		}
		result.open = append(result.open, state)
	}
	return result
}

func firstError(byPart map[int]error, parts []int) error {
	for _, part := range parts {
		if err := byPart[part]; err != nil {
			return err
		}
	}
	return nil
}

// closeInPool closes another pool for queues, and waits until this instance has read its stream up
// to the record that says so.
func (n *Node) closeInPool(ctx context.Context, part int, refs []QueueRef) error {
	n.ensureController(n.runCtx, part)
	pc := n.controller(part)
	until := withTimeout(ctx, closeTimeout)
	asked := false
	for {
		open := pc.openQueues(until, refs)
		switch {
		case until.Err() != nil:
			return errStillOpen
		case len(open) == 0:
			return nil
		case !asked:
			asked = pc.requestClose(until, open)
		}
		pc.wakeReader()
		sleep(until, closePollInterval)
	}
}

// openQueues returns the queues for which the pool isn't closed as far as this instance has read.
func (pc *poolController) openQueues(ctx context.Context, refs []QueueRef) []QueueRef {
	var open []QueueRef
	_ = pc.do(ctx, func() { // the caller checks whether the context has ended
		pc.followOnDemand()
		for _, ref := range refs {
			if !pc.isClosed(ref.Name, ref.Version) {
				open = append(open, ref)
			}
		}
	})
	return open
}

// requestClose asks the pool's owner to close the pool for queues, and reports whether an owner
// answered.
func (pc *poolController) requestClose(ctx context.Context, refs []QueueRef) bool {
	var owner bool
	var addr string
	if err := pc.do(ctx, func() { owner, addr = pc.closeQueues(refs), pc.ownerAddr() }); err != nil || owner {
		return owner
	}
	return pc.askOwner(addr, func(at string) (string, error) {
		r := new(CloseReply) // not shared: a call that has timed out may still write to it
		if err := pc.node.peers.call(ctx, at, "CloseQueues", CloseArgs{Part: pc.topic.Part, Queues: refs}, r, peerTimeout); err != nil {
			return "", err
		}
		return r.Owner, nil
	})
}

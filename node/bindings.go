package node

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// bindingsTopicName is the topic that records for each queue which pool accepts its jobs.
const bindingsTopicName = "keyed.queue-bindings"

// binding says which pool accepts a queue's jobs as of a version of the configuration.
type binding struct {
	Queue   string `json:"queue"`
	Version int64  `json:"version"`
	Service string `json:"service"`
	// Parts lists the parts of all pools that have ever been bound to the queue; the last one is
	// bound by this version.
	Parts []int `json:"parts"`
}

func (b binding) part() int { return b.Parts[len(b.Parts)-1] }

func (b binding) ref() QueueRef {
	return QueueRef{Name: b.Queue, Service: b.Service, Version: b.Version}
}

// former returns the parts of all other pools that may hold jobs of the queue.
func (b binding) former() []int {
	return slices.DeleteFunc(slices.Clone(b.Parts), func(part int) bool { return part == b.part() })
}

// moveTo binds the queue to another pool, or to the same one by a newer version.
func (b binding) moveTo(ref QueueRef, part int) binding {
	parts := slices.DeleteFunc(slices.Clone(b.Parts), func(p int) bool { return p == part })
	return binding{Queue: ref.Name, Version: ref.Version, Service: ref.Service, Parts: append(parts, part)}
}

func decodeBinding(rec Stored, parts int) (binding, error) {
	var b binding
	if rec.Unreadable != nil {
		return b, rec.Unreadable
	}
	if err := json.Unmarshal(rec.Value, &b); err != nil {
		return b, errors.Wrap(err, "binding of a queue")
	}
	outside := func(part int) bool { return part < 0 || part >= parts }
	if pool.QueueKey(b.Queue) != rec.Key || b.Queue == "" || b.Service == "" || b.Version < 0 || len(b.Parts) == 0 || slices.ContainsFunc(b.Parts, outside) {
		return b, errors.New("binding of a queue: missing or invalid queue, service, version or parts")
	}
	return b, nil
}

// bindings holds all stored bindings.
type bindings struct {
	byQueue map[string]binding
	// invalid are the keys of bindings that can't be read.
	invalid map[string]bool
	end     int64
}

// readBindings reads all current bindings from the store.
func (n *Node) readBindings(ctx context.Context) (bindings, error) {
	f := &follower{store: n.store, topic: Topic{Name: bindingsTopicName}, now: n.now}
	b := f.readNewest(ctx, 0)
	if b.err != nil {
		return bindings{}, b.err
	}
	all := bindings{byQueue: map[string]binding{}, invalid: map[string]bool{}, end: b.next}
	for _, rec := range b.records {
		one, err := decodeBinding(rec, n.opts.Parts)
		if err != nil {
			n.unreadable.report(bindingsTopicName, rec.Key, rec.Offset, err)
			all.invalid[rec.Key] = true
			continue
		}
		all.byQueue[one.Queue] = one
	}
	return all, nil
}

// bindQueues binds queues to a pool and returns their bindings. Queues that a newer version has
// bound to another pool keep their binding. Concurrent changes are serialized: each append requires
// that nothing was stored since the bindings were read, and is retried otherwise.
func (n *Node) bindQueues(ctx context.Context, part int, refs []QueueRef) ([]binding, error) {
	for {
		all, err := n.readBindings(ctx)
		if err != nil {
			return nil, err
		}
		result, changed, err := n.rebind(ctx, all, part, refs)
		if err != nil || len(changed) == 0 {
			return result, err
		}
		_, err = n.store.AppendAt(withTimeout(ctx, appendTimeout), Topic{Name: bindingsTopicName}, changed, all.end)
		if !errors.As(err, new(EndError)) {
			return result, err
		}
	}
}

// rebind returns the bindings of queues, and the records of those that have to be stored.
func (n *Node) rebind(ctx context.Context, all bindings, part int, refs []QueueRef) (result []binding, changed []pool.Record, err error) {
	for _, ref := range refs {
		old, known := all.byQueue[ref.Name]
		if known && old.Version >= ref.Version {
			result = append(result, old)
			continue
		}
		if !known && all.invalid[pool.QueueKey(ref.Name)] {
			// The unreadable binding listed the former pools, so any pool may hold jobs of the
			// queue.
			if old.Parts, err = n.poolsInUse(withTimeout(ctx, absenceTimeout)); err != nil {
				return nil, nil, err
			}
		}
		b := old.moveTo(ref, part)
		result = append(result, b)
		changed = append(changed, pool.Record{Key: pool.QueueKey(ref.Name), Value: pool.Encode(b)})
	}
	return result, changed, nil
}

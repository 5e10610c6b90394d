package machines

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

// StrangeService is a service that no configuration names. It falls to the same part of
// four as Service, so that the same owner reads of it.
const StrangeService = "polishing-2"

// strangers are entries that another writer may leave where workers are listed. They
// name no worker to use: as bytes, as fields, or by what these say.
var strangers = []func(good pool.WorkerInfo) []byte{
	func(pool.WorkerInfo) []byte { return []byte("\x00\xff\xfe no entry") },
	func(pool.WorkerInfo) []byte { return []byte("{") },
	func(pool.WorkerInfo) []byte { return []byte("null") },
	func(pool.WorkerInfo) []byte { return []byte("[]") },
	func(pool.WorkerInfo) []byte { return []byte("{}") },
	func(pool.WorkerInfo) []byte { return []byte(`{"ID":5,"Service":["grinding"],"Capacity":"much"}`) },
	func(good pool.WorkerInfo) []byte { good.Addr = ""; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Service = ""; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Capacity.CPU = -1; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Service = StrangeService; return pool.Encode(good) },
}

// Strangers is how many kinds of such entries there are.
func Strangers() int { return len(strangers) }

// Spoil puts an entry of another writer in place of a worker's, or under an ID that no
// worker has.
func (w *World) Spoil(id string, kind int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	info := pool.WorkerInfo{ID: id, Addr: id, Service: Service, Zone: "z", Rack: "r0", Kind: "a", Labels: []string{"a", "r0"},
		Capacity: pool.Resources{CPU: 8000, Mem: 16000}}
	if x := w.workers[id]; x != nil {
		if !x.alive {
			return // its own entry goes soon
		}
		if x.spoiledAt.IsZero() {
			x.spoiledAt = time.Now()
		}
		info = x.info()
	}
	w.store.put(WorkersTopic, pool.Record{Key: id, Value: strangers[kind%len(strangers)](info)})
}

// Restore takes an entry of another writer back: the worker's own follows it, if there
// is such a worker.
func (w *World) Restore(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restore(id)
}

func (w *World) restore(id string) {
	x := w.workers[id]
	switch {
	case x == nil:
		w.store.put(WorkersTopic, pool.Record{Key: id})
	case x.alive && !x.spoiledAt.IsZero():
		x.spoiledAt = time.Time{}
		w.store.put(WorkersTopic, pool.Record{Key: id, Value: pool.Encode(x.info())})
	}
}

// RestoreAll takes all entries of other writers back.
func (w *World) RestoreAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.order {
		w.restore(x.id)
	}
}

// SpoilConfig puts something that is no configuration in the configuration's place.
func (w *World) SpoilConfig(kind int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: strangers[kind%len(strangers)](pool.WorkerInfo{})})
}

// RestoreConfig writes the newest configuration once more.
func (w *World) RestoreConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: w.config})
}

// decodeWorker refuses what is no worker's own entry.
func decodeWorker(r pool.Record) (pool.WorkerInfo, error) {
	var info pool.WorkerInfo
	if err := json.Unmarshal(r.Value, &info); err != nil {
		return pool.WorkerInfo{}, err
	}
	if info.ID != r.Key || info.Addr == "" || info.Service == "" || !(pool.Resources{}).Within(info.Capacity) {
		return pool.WorkerInfo{}, errors.New("no worker's own entry")
	}
	return info, nil
}

// decodeConfig refuses what is no configuration.
func decodeConfig(r pool.Record) (*node.Config, error) {
	var cfg node.Config
	if err := json.Unmarshal(r.Value, &cfg); err != nil {
		return nil, err
	}
	if cfg.Version < 1 || len(cfg.Services) == 0 {
		return nil, errors.New("no configuration")
	}
	return &cfg, nil
}

// Running is how many runs a worker has.
func (w *World) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers[id].runs)
}

// Put stores a record as another writer does, and returns its offset.
func (w *World) Put(to node.Topic, key string, value []byte) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.store.put(to, pool.Record{Key: key, Value: value})
}

// Topics returns the topics that hold anything.
func (w *World) Topics() []node.Topic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.SortedFunc(maps.Keys(w.store.streams), func(a, b node.Topic) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Part, b.Part))
	})
}

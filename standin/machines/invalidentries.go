package machines

import (
	"bytes"
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
)

// UnconfiguredService is a service that is missing in the configuration. It hashes to the
// same of four partitions as Service, so that the same owner reads its entries.
const UnconfiguredService = "polishing-2"

// invalidEntries are entries that another writer may leave in the list of workers. None
// describes a usable worker: they are malformed, have wrong types or have invalid values.
var invalidEntries = []func(good pool.WorkerInfo) []byte{
	func(pool.WorkerInfo) []byte { return []byte("\x00\xff\xfe no entry") },
	func(pool.WorkerInfo) []byte { return []byte("{") },
	func(pool.WorkerInfo) []byte { return []byte("null") },
	func(pool.WorkerInfo) []byte { return []byte("[]") },
	func(pool.WorkerInfo) []byte { return []byte("{}") },
	func(pool.WorkerInfo) []byte { return []byte(`{"ID":5,"Service":["grinding"],"Capacity":"much"}`) },
	func(good pool.WorkerInfo) []byte { good.Addr = ""; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Service = ""; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Capacity.CPU = -1; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Service = UnconfiguredService; return pool.Encode(good) },
	func(pool.WorkerInfo) []byte { return bytes.Repeat([]byte("["), 100_000) },
	func(good pool.WorkerInfo) []byte {
		return withLabels(good, strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000))
	},
	func(good pool.WorkerInfo) []byte { return withLabels(good, "1e400") },
	func(good pool.WorkerInfo) []byte { good.Born = math.MaxInt64; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Capacity.Mem = math.MaxInt64; return pool.Encode(good) },
	func(good pool.WorkerInfo) []byte { good.Addr = "127.0.0.1:70000"; return pool.Encode(good) },
}

// withLabels returns an entry with any value in place of the labels.
func withLabels(good pool.WorkerInfo, value string) []byte {
	good.Labels = []string{"odd"}
	return bytes.Replace(pool.Encode(good), []byte(`["odd"]`), []byte(value), 1)
}

// Bounds of valid entries.
const (
	maxBorn   = 1 << 42
	maxAmount = 1 << 32
)

// InvalidEntryKinds returns the number of kinds of invalid entries.
func InvalidEntryKinds() int { return len(invalidEntries) }

// PutInvalidEntry replaces a worker's entry by an invalid one of another writer, or adds
// one under an ID that no worker has.
func (w *World) PutInvalidEntry(id string, kind int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	info := pool.WorkerInfo{ID: id, Addr: id, Service: Service, Zone: "z", Rack: "r0", Kind: "a", Labels: []string{"a", "r0"},
		Capacity: pool.Resources{CPU: 8000, Mem: 16000}}
	if x := w.workers[id]; x != nil {
		if !x.alive {
			return // its own entry is removed soon
		}
		if x.invalidSince.IsZero() {
			x.invalidSince = time.Now()
		}
		info = x.info()
	}
	w.store.put(WorkersTopic, pool.Record{Key: id, Value: invalidEntries[kind%len(invalidEntries)](info)})
}

// PutChangedEntry replaces a live worker's entry by one of another writer that describes a usable worker, but
// not this one.
func (w *World) PutChangedEntry(id string, change func(*pool.WorkerInfo)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.workers[id]
	if x == nil || !x.alive {
		return // its own entry is removed soon
	}
	if x.invalidSince.IsZero() {
		x.invalidSince = time.Now()
	}
	info := x.info()
	change(&info)
	w.store.put(WorkersTopic, pool.Record{Key: id, Value: pool.Encode(info)})
}

// workerAt returns the worker at an address; nil: there is none.
func (w *World) workerAt(addr string) *worker {
	for _, x := range w.workers {
		if x.addr() == addr {
			return x
		}
	}
	return nil
}

// Restore undoes PutInvalidEntry and PutChangedEntry: it writes the worker's own entry again, or removes the
// entry if there is no such worker.
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
	case x.alive && !x.invalidSince.IsZero():
		x.invalidSince = time.Time{}
		w.store.put(WorkersTopic, pool.Record{Key: id, Value: pool.Encode(x.info())})
	}
}

// RestoreAll restores the entries of all workers.
func (w *World) RestoreAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.order {
		w.restore(x.id)
	}
}

// PutInvalidConfig replaces the configuration by an invalid record.
func (w *World) PutInvalidConfig(kind int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: invalidEntries[kind%len(invalidEntries)](pool.WorkerInfo{})})
}

// RestoreConfig writes the newest configuration again.
func (w *World) RestoreConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.put(ConfigTopic, pool.Record{Key: configKey, Value: w.config})
}

// decodeWorker rejects records that are not a worker's own valid entry.
func decodeWorker(r pool.Record) (pool.WorkerInfo, error) {
	var info pool.WorkerInfo
	if err := json.Unmarshal(r.Value, &info); err != nil {
		return pool.WorkerInfo{}, err
	}
	if info.ID != r.Key || !isAddress(info.Addr) || info.Service == "" || info.Born > maxBorn ||
		!(pool.Resources{}).Within(info.Capacity) || !info.Capacity.Within(pool.Resources{CPU: maxAmount, Mem: maxAmount, GPU: maxAmount}) {
		return pool.WorkerInfo{}, errors.New("not a valid entry of this worker")
	}
	return info, nil
}

// isAddress reports whether an address may be a worker's: its ID, or a host and a port.
func isAddress(addr string) bool {
	_, port, found := strings.Cut(addr, ":")
	_, err := strconv.ParseUint(port, 10, 16)
	return addr != "" && (!found || err == nil)
}

// storedConfig is a configuration as it is stored, with the keys of the organisations.
type storedConfig struct {
	node.Config
	Entries []organisation.Entry
}

// DecodeOrganisations returns the organisations of a stored configuration, with their keys; nil: there are
// none.
func DecodeOrganisations(r pool.Record) []organisation.Entry {
	var cfg storedConfig
	if json.Unmarshal(r.Value, &cfg) != nil {
		return nil // DecodeConfig returns the error
	}
	return cfg.Entries
}

// decodeConfig rejects records that are not a valid configuration.
func decodeConfig(r pool.Record) (*node.Config, error) {
	var cfg storedConfig
	if err := json.Unmarshal(r.Value, &cfg); err != nil {
		return nil, err
	}
	if cfg.Version < 1 || len(cfg.Services) == 0 {
		return nil, errors.New("not a valid configuration")
	}
	set, err := organisation.NewSet(cfg.Entries)
	if err != nil {
		return nil, err
	}
	cfg.Organisations = set
	return &cfg.Config, nil
}

// Running returns the number of a worker's runs.
func (w *World) Running(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.workers[id].runs)
}

// Put appends a record as another writer would, and returns its offset.
func (w *World) Put(to node.Topic, key string, value []byte) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.store.put(to, pool.Record{Key: key, Value: value})
}

// Topics returns the topics that exist in the store.
func (w *World) Topics() []node.Topic {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.SortedFunc(maps.Keys(w.store.streams), func(a, b node.Topic) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Part, b.Part))
	})
}

package pool

import (
	"bytes"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// trackedPartCount is the number of parts into which the list of tracked workers is split if it doesn't fit
// into one record. With 17,000 workers, a part has about 270 and takes 25 KB.
const trackedPartCount = 64

// minTrackedWorkerSize is what a worker takes in the list at least, in bytes.
const minTrackedWorkerSize = len(`{"id":"","a":"","s":""}`)

// trackedRecords returns the records that store the tracked workers. A list that has outgrown a record is
// stored in parts from then on. Versions that don't read parts know only the workers that the platform lists.
func (c *Core) trackedRecords() []Record {
	list := c.trackedWorkerList()
	if len(c.trackedParts) == 0 && (c.settings.MaxRecord <= 0 || len(list)*minTrackedWorkerSize <= c.settings.MaxRecord) {
		if single := (Record{Key: TrackedWorkersKey, Value: Encode(list)}); c.fits(single) {
			return []Record{single}
		}
	}
	parts := map[string][]TrackedWorker{}
	for _, t := range list {
		part := trackedPart(t.ID)
		parts[part] = append(parts[part], t)
	}
	if c.trackedParts == nil {
		c.trackedParts = map[string][]byte{}
	}
	var records []Record
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		if value := Encode(parts[part]); !bytes.Equal(value, c.trackedParts[part]) {
			c.trackedParts[part] = value
			records = append(records, Record{Key: trackedPartPrefix + part, Value: value})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(c.trackedParts)) {
		if parts[part] == nil {
			delete(c.trackedParts, part)
			records = append(records, Record{Key: trackedPartPrefix + part})
		}
	}
	// The single record is emptied last, so that each worker is in a record at any time.
	return append(records, Record{Key: TrackedWorkersKey, Value: Encode([]TrackedWorker{})})
}

// trackedPart returns the part of the list that a worker belongs to.
func trackedPart(worker string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(worker)) // a hash never returns an error
	return strconv.Itoa(int(h.Sum32() % trackedPartCount))
}

func (c *Core) trackedWorkerList() []TrackedWorker {
	list := []TrackedWorker{}
	for _, w := range c.workerList {
		if h, ok := c.trackedWorkers[w.ID]; ok {
			list = append(list, h)
			if w.trackedSave == 0 {
				w.trackedSave = c.saveSeq
			}
		}
	}
	return list
}

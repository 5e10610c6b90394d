package placement

import (
	"sort"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Digest returns a summary of the shard's free capacity.
func (s *Shard) Digest() Digest {
	d := Digest{Shard: s.unit, Epoch: s.epoch}
	for _, w := range s.order {
		if !w.listed {
			continue
		}
		d.Workers++
		d.Zone = w.Zone
		d.Total = d.Total.Add(w.Capacity)
		d.Largest = larger(d.Largest, w.Capacity)
		if w.acceptsTasks() {
			d.Free = d.Free.Add(larger(w.free(), infra.Resources{}))
		}
	}
	return d
}

// WorkerStatus is one worker as its owner sees it.
type WorkerStatus struct {
	ID         string          `json:"id"`
	Rack       string          `json:"rack"`
	Zone       string          `json:"zone"`
	Capacity   infra.Resources `json:"capacity"`
	Free       infra.Resources `json:"free"`
	Listed     bool            `json:"listed"`
	Reconciled bool            `json:"reconciled"`
	// Suspect workers get one task at a time; Quarantine explains why a worker
	// is or was last quarantined.
	Suspect    bool     `json:"suspect,omitempty"`
	Quarantine string   `json:"quarantine,omitempty"`
	Tasks      []string `json:"tasks"`
}

// Status lists the shard's workers.
func (s *Shard) Status() []WorkerStatus {
	list := make([]WorkerStatus, 0, len(s.order))
	for _, w := range s.order {
		st := WorkerStatus{ID: w.ID, Rack: w.Rack, Zone: w.Zone, Capacity: w.Capacity, Free: w.free(),
			Listed: w.listed, Reconciled: w.reconciled, Suspect: w.health.suspect, Quarantine: w.health.reason, Tasks: make([]string, 0, len(w.slots))}
		for _, sl := range w.slots {
			st.Tasks = append(st.Tasks, sl.task.ID)
		}
		sort.Strings(st.Tasks)
		list = append(list, st)
	}
	return list
}

package cell

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// observeTimeout limits each query to a process, which may be frozen.
const observeTimeout = 2 * time.Second

var observer = &http.Client{Timeout: observeTimeout}

// schedulerDump is the part of a scheduler's dump that is used here.
type schedulerDump struct {
	LogDown bool       `json:"logDown"`
	Shards  []unitDump `json:"shards"`
	Homes   []unitDump `json:"homes"`
}

type unitDump struct {
	Unit    string           `json:"unit"`
	Epoch   infra.Offset     `json:"epoch"`
	Jobs    []string         `json:"jobs"`
	Workers []map[string]any `json:"workers"`
}

// owner returns the scheduler that owns, in the newest epoch, a unit for which holds
// returns true.
func (c *Cell) owner(holds func(unitDump) bool) (string, bool) {
	best, newest := "", infra.Offset(0)
	for _, p := range c.Pairs {
		var d schedulerDump
		if getJSON(observer, "http://"+p.OpsAddr+"/dump", &d) != nil {
			continue
		}
		for _, u := range append(d.Shards, d.Homes...) {
			if holds(u) && u.Epoch >= newest {
				best, newest = p.Sched.Name, u.Epoch
			}
		}
	}
	return best, best != ""
}

// AllSeeLogDown reports whether at least one scheduler answers, and all that answer
// consider the log unavailable.
func (c *Cell) AllSeeLogDown() bool {
	answers := 0
	for _, p := range c.Pairs {
		var d schedulerDump
		if getJSON(observer, "http://"+p.OpsAddr+"/dump", &d) != nil {
			continue
		}
		if !d.LogDown {
			return false
		}
		answers++
	}
	return answers > 0
}

// HomeOwner returns the scheduler that owns the home of an open job.
func (c *Cell) HomeOwner(job string) (string, bool) {
	return c.owner(func(u unitDump) bool {
		for _, j := range u.Jobs {
			if j == job {
				return true
			}
		}
		return false
	})
}

// ShardOwner returns the scheduler that owns a rack's shard.
func (c *Cell) ShardOwner(rack string) (string, bool) {
	return c.owner(func(u unitDump) bool { return u.Unit == "shard/"+rack })
}

// Job returns a job's status from the first entry that knows it.
func (c *Cell) Job(id string) (placement.JobStatus, error) {
	var err error
	for _, p := range c.Pairs {
		st := placement.JobStatus{}
		if err = getJSON(observer, "http://"+p.EntryAddr+"/v1/jobs/"+id, &st); err == nil && st.ID == id {
			return st, nil
		}
	}
	return placement.JobStatus{}, errors.Errorf("no entry knows job %s: %v", id, err)
}

// WorkerOf returns the worker that runs a task of a job.
func (c *Cell) WorkerOf(job string, index int) (string, bool) {
	st, err := c.Job(job)
	if err != nil || index >= len(st.Tasks) {
		return "", false
	}
	t := st.Tasks[index]
	return t.Worker, t.State == "running" && t.Worker != ""
}

// Select returns the IDs of the workers that match a selector: an ID, rack=R or zone=Z.
func (c *Cell) Select(selector string) []string {
	var ids []string
	for _, w := range c.Workers {
		if selector == w.ID || selector == "rack="+w.Rack || selector == "zone="+w.Zone {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// RackOf returns the rack of a worker.
func (c *Cell) RackOf(worker string) string {
	for _, w := range c.Workers {
		if w.ID == worker {
			return w.Rack
		}
	}
	return ""
}

// Procs returns all processes of the cell.
func (c *Cell) Procs() []*Proc {
	procs := append([]*Proc{c.Platform}, c.Runners...)
	for _, p := range c.Pairs {
		procs = append(procs, p.Sched, p.Entry)
	}
	return procs
}

// Tails returns the last lines of every process's log.
func (c *Cell) Tails(lines int, read func(path string) ([]byte, error)) string {
	var b strings.Builder
	for _, p := range c.Procs() {
		if p == nil {
			continue
		}
		data, err := read(p.Log)
		if err != nil || len(data) == 0 {
			continue
		}
		all := strings.Split(strings.TrimSpace(string(data)), "\n")
		fmt.Fprintf(&b, "--- %s\n%s\n", p.Name, strings.Join(all[max(0, len(all)-lines):], "\n"))
	}
	return b.String()
}

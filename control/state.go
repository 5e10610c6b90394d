package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
)

// Version is incremented whenever the result of State changes.
func (c *Core) Version() uint64 { return c.version }

// Offset is the offset up to which the log has been read. It grows without a new Version if a
// record does not affect State, such as those of jobs and of claims of requests.
func (c *Core) Offset() infra.Offset { return c.view.Offset() }

// stateKinds are the record kinds that affect the result of State besides the offset.
var stateKinds = append(settings.NewTree().Kinds(), ownership.NewTable().Kinds()...)

// State returns the cell's state as this scheduler knows it.
func (c *Core) State(now time.Duration) api.State {
	s := api.State{Version: c.version, Scheduler: c.cfg.ID, Offset: c.view.Offset(), LogDown: c.LogDown(now),
		Ready: c.ready, Instances: c.instances, Holders: map[ownership.Unit]ownership.Holder{}}
	s.Keys = c.tree.Keys()
	for _, name := range c.tree.Teams() {
		v, _ := c.tree.Team(name)
		s.Teams = append(s.Teams, api.TeamVersion{Name: name, Version: v})
	}
	for _, u := range c.units {
		s.Holders[u] = c.table.Holder(u)
	}
	return s
}

// DumpVersion is the format version of the dump.
const DumpVersion = 1

// ShardDump describes an owned shard in a dump.
type ShardDump struct {
	Unit    ownership.Unit           `json:"unit"`
	Epoch   infra.Offset             `json:"epoch"`
	Workers []placement.WorkerStatus `json:"workers"`
}

// HomeDump describes an owned job home in a dump.
type HomeDump struct {
	Unit  ownership.Unit `json:"unit"`
	Epoch infra.Offset   `json:"epoch"`
	Jobs  []string       `json:"jobs"`
}

// Dump is a scheduler's complete control state for operators and tools.
type Dump struct {
	DumpVersion   int          `json:"dumpVersion"`
	Member        string       `json:"member"`
	Offset        infra.Offset `json:"offset"`
	CaughtUp      bool         `json:"caughtUp"`
	Log           LogDump      `json:"log"`
	LogDown       bool         `json:"logDown"`
	Leaving       bool         `json:"leaving"`
	Live          []string     `json:"live"`
	Appends       uint64       `json:"appends"`
	Skipped       uint64       `json:"skippedRecords"`
	LastSkip      string       `json:"lastSkippedReason,omitempty"`
	QueuedRecords int          `json:"queuedRecords"`
	InFlight      int          `json:"inFlightRecords"`
	Teams         []string     `json:"teams"`
	Shards        []ShardDump  `json:"shards"`
	Homes         []HomeDump   `json:"homes"`
}

// Dump returns the state of the core.
func (c *Core) Dump(now time.Duration) Dump {
	d := Dump{DumpVersion: DumpVersion, Member: c.self, Offset: c.view.Offset(), CaughtUp: c.follower.CaughtUp(),
		LogDown: c.LogDown(now), Leaving: c.members.Leaving(), Live: c.members.Live(now),
		Appends: c.committer.Appends(), Teams: c.tree.Teams()}
	d.Log = c.logDump()
	d.Skipped, d.LastSkip = c.view.Skipped()
	d.QueuedRecords, d.InFlight = c.committer.Pending()
	for _, u := range c.ownedShards() {
		d.Shards = append(d.Shards, ShardDump{Unit: u, Epoch: c.shards[u].Epoch(), Workers: c.shards[u].Status()})
	}
	for _, u := range c.ownedHomes() {
		d.Homes = append(d.Homes, HomeDump{Unit: u, Epoch: c.homes[u].Epoch(), Jobs: c.homes[u].Jobs()})
	}
	return d
}

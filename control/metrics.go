package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Metrics are the metrics of a scheduler's shards and homes.
type Metrics struct {
	// Used and Total are the resources of the workers of the owned shards.
	Used, Total infra.Resources
	Workers     int
	Shards      int
	Homes       int
	// Teams are the totals by team of the jobs in the owned homes.
	Teams map[string]placement.TeamTotals
	// Starts are the jobs that have started since the last call.
	Starts []placement.StartWait
}

// Metrics returns the current metrics. It removes the recorded starts from the homes.
func (c *Core) Metrics(now time.Duration) Metrics {
	m := Metrics{Teams: map[string]placement.TeamTotals{}}
	for _, u := range c.ownedShards() {
		d := c.shards[u].Digest()
		m.Shards++
		m.Workers += d.Workers
		m.Total = m.Total.Add(d.Total)
		m.Used = m.Used.Add(d.Total.Sub(d.Free))
	}
	for _, u := range c.ownedHomes() {
		m.Homes++
		m.Starts = append(m.Starts, c.homes[u].TakeStarts()...)
		c.homes[u].AddTotals(now, m.Teams)
	}
	return m
}

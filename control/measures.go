package control

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// Measures is what a scheduler's shards and homes do, for monitoring.
type Measures struct {
	// Used and Total are of the workers of the owned shards.
	Used, Total infra.Resources
	Workers     int
	Shards      int
	Homes       int
	// Teams are the totals of the owned homes' jobs.
	Teams map[string]placement.TeamTotals
	// Starts are the jobs that have started since the last look.
	Starts []placement.StartWait
}

// Measures returns the measures; it takes the starts out of the homes.
func (c *Core) Measures(now time.Duration) Measures {
	m := Measures{Teams: map[string]placement.TeamTotals{}}
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

package sched

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/placement"
)

// metricsInterval is the interval between two updates of the metrics. An update iterates
// over the open jobs of the owned homes.
const metricsInterval = time.Second

// Buckets of the histograms. A step takes microseconds, a wait up to hours.
var (
	stepBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Microsecond, 4, 9)
	waitBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2.5, 17)
)

// meter publishes the core's metrics. Only the control goroutine uses it.
type meter struct {
	scope tally.Scope
	next  time.Time
	teams map[string]bool
}

func newMeter(scope tally.Scope) *meter { return &meter{scope: scope, teams: map[string]bool{}} }

// publishIfDue publishes the metrics if metricsInterval has passed since the last time.
func (m *meter) publishIfDue(wall time.Time, now time.Duration, core *control.Core) {
	if wall.Before(m.next) {
		return
	}
	m.next = wall.Add(metricsInterval)
	m.publish(core.Metrics(now))
}

func (m *meter) publish(v control.Metrics) {
	m.scope.Gauge("owned_shards").Update(float64(v.Shards))
	m.scope.Gauge("owned_homes").Update(float64(v.Homes))
	m.scope.Gauge("workers").Update(float64(v.Workers))
	resources(m.scope, "workers_used", v.Used)
	resources(m.scope, "workers_total", v.Total)
	for _, s := range v.Starts {
		m.scope.Tagged(map[string]string{"team": s.Team, "urgent": strconv.FormatBool(s.Urgent)}).Histogram("start_wait_seconds", waitBuckets).RecordDuration(s.Waited)
	}
	for name := range v.Teams {
		m.teams[name] = true
	}
	// The gauges of a team whose last job has ended must go to zero instead of
	// keeping their last values.
	for name := range m.teams {
		m.team(name, v.Teams[name])
	}
}

func (m *meter) team(name string, t placement.TeamTotals) {
	scope := m.scope.Tagged(map[string]string{"team": name})
	scope.Gauge("team_tasks_waiting").Update(float64(t.Waiting))
	scope.Gauge("team_tasks_running").Update(float64(t.Running))
	scope.Gauge("team_longest_wait_seconds").Update(t.LongestWait.Seconds())
	resources(scope, "team_used", t.Used)
}

func resources(scope tally.Scope, name string, r infra.Resources) {
	scope.Gauge(name + "_milli_cpu").Update(float64(r.MilliCPU))
	scope.Gauge(name + "_memory_mib").Update(float64(r.MemoryMiB))
	scope.Gauge(name + "_accelerators").Update(float64(r.Accelerators))
}

// countRequest counts the calls of each team by kind. They are the part of the
// scheduler's load that a team can influence.
func (s *Scheduler) countRequest(q api.Question) {
	kind, team := "other", ""
	switch q := q.(type) {
	case api.Publish:
		kind, team = "publish", q.Change.Team
	case api.Submit:
		kind, team = "submit", q.Job.Team
	case api.Cancel:
		kind = "cancel"
	case api.Claim:
		kind, team = "claim", q.Claim.Team
	case api.Finish:
		kind, team = "finish", q.Finish.Team
	}
	s.process.Metrics.Tagged(map[string]string{"kind": kind, "team": team}).Counter("questions").Inc(1)
}

package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

// An owner has given one task up and quarantines another; an instance that doesn't own the pool knows
// of neither.
func TestCrashesListsTasksAndWorkers(t *testing.T) {
	tasks := []pool.TaskCrashes{
		{Job: "d2e1", Queue: "quotes", State: "given up", Workers: []pool.CrashedWorker{{Worker: "i-1", LivedMillis: 0}, {Worker: "i-2", LivedMillis: 3}, {Worker: "i-3", LivedMillis: 1, Isolated: true}}},
		{Job: "a4e3", Queue: "quotes", Step: 1, Task: 4, State: "quarantined", Uncounted: true, Workers: []pool.CrashedWorker{{Worker: "i-1", LivedMillis: 900}, {Worker: "i-4", LivedMillis: 2100, Outage: true}}},
	}
	var addrs []string
	for id, p := range map[string]node.PoolDump{"edge-1": {Pool: 7, Epoch: 3, Owner: "edge-2"}, "edge-2": {Pool: 7, Epoch: 3, Owned: true, Crashes: tasks}} {
		f := newFakeEntry(t)
		f.answer("GET /dump", 200, nodeDump{Process: daemon.Status{ID: id}, Dump: node.Dump{Pools: []node.PoolDump{p}}})
		addrs = append(addrs, f.addr)
	}
	r := kwctl(t, "", "", append([]string{"crashes"}, addrs...)...)
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"POOL JOB TASK QUEUE STATE WORKERS",
		"7 d2e1 0.0.0 quotes given up i-1 after 0 ms, i-2 after 3 ms, i-3 after 1 ms",
		"7 a4e3 0.1.4 quotes quarantined i-1 after 900 ms, i-4 after 2100 ms (outage), maybe one more",
	})
}

// One worker has started again under its ID, and the list of workers doesn't show it yet; another
// reports no incarnation. Guards against workers whose learned speed operators can't see.
func TestCrashesListsIncarnations(t *testing.T) {
	f := newFakeEntry(t)
	f.answer("GET /dump", 200, nodeDump{Process: daemon.Status{ID: "edge-2"}, Dump: node.Dump{Pools: []node.PoolDump{{Pool: 7, Epoch: 3, Owned: true, Workers: []pool.WorkerReport{
		{Worker: "i-1", Rack: "r1", Incarnation: 1781685974622, ListedIncarnation: 1781685900000, Restarts: 2, Runs: 3, Slowness: 1.87, SpeedRuns: 12, Slow: true},
		{Worker: "i-2", Silent: true},
	}}}}})
	r := kwctl(t, "", "", "crashes", "-workers", f.addr)
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"POOL WORKER RACK STARTED RESTARTS RUNS SLOWNESS STATE",
		"7 i-1 r1 2026-06-17T08:46:14.622Z 2 3 1.87 (12 runs) slow, listed as another incarnation",
		"7 i-2 - unknown 0 0 - silent",
	})
}

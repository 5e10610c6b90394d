package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
)

// refusedQuote holds the details of a refusal from a recorded day.
var refusedQuote = pool.EstimateDetails{Bottleneck: pool.CapacityBottleneck, WaitMillis: 3392, RunTimeMillis: 2349, LimitMillis: 6168, SinceFirstTryMillis: 726,
	BacklogCoreSeconds: 488, CapacityCores: 832, RetryAfterMillis: 1661}

// ownersDump is the dump of an instance that owns pool 3, in which the queue "quotes" refuses
// jobs, "reports" has received none, and "maps" has no workers. It knows the owner of pool 1.
func ownersDump() nodeDump {
	ago := int64(12)
	return nodeDump{Process: daemon.Status{ID: "edge-1"}, Dump: node.Dump{Version: 8, Pools: []node.PoolDump{
		{Pool: 3, Owner: "edge-1", Epoch: 77, Owned: true, AdmissionReport: &pool.AdmissionReport{
			Queues: []pool.QueueAdmission{
				{Queue: "maps", Priority: 2, NoEstimateReason: "no worker of its service is listed, or all are leaving"},
				{Queue: "quotes", Priority: 0, NotStarted: 106, WorkAhead: pool.ResourceAmounts{Cores: 488}, CapacityRate: pool.ResourceAmounts{Cores: 832},
					WaitMillis: map[pool.Bottleneck]int64{pool.CapacityBottleneck: 3392, pool.AdviceBottleneck: 40, pool.DelayBottleneck: 210}, Bottleneck: pool.CapacityBottleneck,
					OfferedLoad: 3.408, OverloadThreshold: 1.5, NewestJob: &refusedQuote, RefusesNewest: true, Returning: 14, RefusedAgoMillis: &ago},
				{Queue: "reports", Priority: 1, CapacityRate: pool.ResourceAmounts{Cores: 416}, WaitMillis: map[pool.Bottleneck]int64{pool.CapacityBottleneck: 0, pool.AdviceBottleneck: 0, pool.StartsBottleneck: 0, pool.DelayBottleneck: 0}},
			},
			Refusals: []pool.Refusal{{Job: "b244", Queue: "quotes", AtUnixMillis: 1767348010500, EstimateDetails: refusedQuote}},
		}},
		{Pool: 1, Owner: "edge-2", OwnerAddress: "10.0.0.2:7010", Epoch: 12},
	}}}
}

func rows(text string) (list []string) {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		list = append(list, strings.Join(strings.Fields(line), " "))
	}
	return list
}

// For each queue the command shows the work ahead of the next job, the cores that process
// it, the bottleneck, and when a caller whose job is refused now is told to retry.
func TestRoomShowsBacklogAndRetryTime(t *testing.T) {
	f := newFakeEntry(t)
	f.answer("GET /dump", 200, ownersDump())
	r := kwctl(t, "", "", "room", f.addr)
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"pool 1 is owned by edge-2, as edge-1 knows; ask it for its head room",
		"pool 3, owned by edge-1 under epoch 77",
		"QUEUE PRIORITY NOT_BEGUN AHEAD_CORE_S ROOM_CORES ROOM_MS ADVICE_MS STARTS_MS DELAY_MS SCARCE HANDED_IN REFUSES RETURN_MS RETURNING",
		"maps 2 0 - - - - - - - - no: no worker of its service is listed, or all are leaving - -",
		"quotes 0 106 488.0 832.0 3392 40 0 210 room 3.41 yes 1661 14",
		"reports 1 0 0.0 416.0 0 0 0 0 - 0.00 - - 0",
	})
}

// Of the instances asked, one is down, and one still considers itself the owner of a pool
// that another has claimed. The others' state is shown, the owner with the newest epoch takes
// precedence, and the exit status shows that not all answered.
func TestRoomOfSeveralInstances(t *testing.T) {
	f, g := newFakeEntry(t), newFakeEntry(t)
	f.answer("GET /dump", 200, ownersDump())
	newer := ownersDump()
	newer.Process.ID = "edge-2"
	newer.Pools = []node.PoolDump{{Pool: 3, Owner: "edge-2", Epoch: 78, Owned: true, Unjudged: "this owner has not read the pool's state yet"},
		{Pool: 1, Error: "no answer of the pool's goroutine: context deadline exceeded"}}
	g.answer("GET /dump", 200, newer)
	r := kwctl(t, f.addr, "", "room", f.addr, g.addr, "127.0.0.1:1")
	assert.Equal(t, r.status, exitFailure)
	assert.Assert(t, strings.Contains(r.errs, "127.0.0.1:1: call entry"), r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"pool 1 is owned by edge-2, as edge-1 knows; ask it for its head room",
		"pool 3, owned by edge-2 under epoch 78",
		"takes all jobs: this owner has not read the pool's state yet",
	})
}

// Guards against an operator who sees that tasks wait after a takeover, and not for whom.
func TestRoomShowsPredecessors(t *testing.T) {
	f := newFakeEntry(t)
	d := ownersDump()
	d.Pools = []node.PoolDump{{Pool: 3, Owner: "edge-1", Epoch: 77, Owned: true, Predecessors: []node.PredecessorDump{{Owner: "edge-2", Epoch: 70, Electors: []string{"edge-2", "edge-3"}}}}}
	f.answer("GET /dump", 200, d)
	r := kwctl(t, f.addr, "", "room", f.addr)
	assert.DeepEqual(t, rows(r.out), []string{
		"pool 3, owned by edge-1 under epoch 77",
		"tasks of workers that it doesn't reach wait: the predecessor edge-2 (epoch 70) may be confirmed by edge-2, edge-3",
	})
}

// An instance that has just started may know only an owner's address, or no owner at all.
func TestRoomShowsKnownOwner(t *testing.T) {
	f := newFakeEntry(t)
	f.answer("GET /dump", 200, nodeDump{Process: daemon.Status{ID: "edge-3"}, Dump: node.Dump{Pools: []node.PoolDump{
		{Pool: 0}, {Pool: 1, OwnerAddress: "10.0.0.2:7010"}}}})
	r := kwctl(t, f.addr, "", "room")
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.DeepEqual(t, rows(r.out), []string{
		"pool 0 has no owner that edge-3 knows of",
		"pool 1 is owned by 10.0.0.2:7010, as edge-3 knows; ask it for its head room",
	})
}

// One refusal is explained from a dump that was saved earlier. For a job that is not in the
// dump, the error message points to the logs.
func TestRoomExplainsOneRefusal(t *testing.T) {
	data, err := json.Marshal(ownersDump())
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "dumps")
	assert.NilError(t, os.WriteFile(file, append([]byte(`{"process":{"id":"edge-9"},"pools":[]}`+"\n"), data...), 0o600))
	r := kwctl(t, "", "", "room", "-dump", file, "-job", "b244")
	assert.Equal(t, r.status, exitOK, r.errs)
	assert.Equal(t, r.out, "10:00:10.500 queue quotes: for want of room: would wait 3392 ms and run 2349 ms, has 6168 ms less the 726 since its first try; "+
		"488.0 core-seconds ahead at 832.0 cores; come back in 1661 ms\n")
	r = kwctl(t, "", "", "room", "-dump", file, "-job", "dead")
	assert.Equal(t, r.status, exitFailure)
	assert.Assert(t, strings.Contains(r.errs, "kwctl why -logs FILE dead"), r.errs)
}

func TestRoomErrors(t *testing.T) {
	f := newFakeEntry(t)
	f.answer("GET /dump", 200, map[string]any{"offset": 9}) // the dump of a process that is no kw-node
	broken := filepath.Join(t.TempDir(), "dumps")
	assert.NilError(t, os.WriteFile(broken, []byte(`{"pools":[]} {"pools":7}`), 0o600))
	for _, tt := range []struct {
		entry string
		args  []string
		want  string
	}{
		{"", nil, "which instance?"},
		{f.addr, nil, "no dump names a pool"},
		{"", []string{"-dump", broken}, "dump 2: json: cannot unmarshal number"},
		{"", []string{"-dump", filepath.Join(t.TempDir(), "none")}, "no such file"},
	} {
		r := kwctl(t, tt.entry, "", append([]string{"room"}, tt.args...)...)
		assert.Assert(t, r.status != exitOK)
		assert.Assert(t, strings.Contains(r.errs, tt.want), "%q not in %s", tt.want, r.errs)
	}
}

// The JSON output contains the complete state.
func TestRoomAsJSON(t *testing.T) {
	f := newFakeEntry(t)
	f.answer("GET /dump", 200, ownersDump())
	r := kwctl(t, f.addr, "", "room", "-o", "json")
	assert.Equal(t, r.status, exitOK, r.errs)
	var pools []poolView
	assert.NilError(t, json.Unmarshal([]byte(r.out), &pools))
	assert.DeepEqual(t, pools[1].PoolDump, ownersDump().Pools[0])
}

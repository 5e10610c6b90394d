package node

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

// dumpTimeout bounds the query to one pool. An owner with a backlog of events answers after its
// current planning run, which took at most 10 ms with hundreds of jobs waiting.
const dumpTimeout = time.Second

// Dump is the state of an instance, for operators.
type Dump struct {
	// Version is the version of the configuration; 0: none has been read yet.
	Version int64      `json:"version"`
	Pools   []PoolDump `json:"pools"`
	// Readers shows how far this instance has read the store.
	Readers []ReaderDump `json:"readers"`
}

// PoolDump is the state of one pool as an instance sees it.
type PoolDump struct {
	Pool int `json:"pool"`
	// Owner and OwnerAddress identify the instance that owns the pool, as far as this instance
	// knows.
	Owner        string `json:"owner,omitempty"`
	OwnerAddress string `json:"ownerAddress,omitempty"`
	Epoch        uint64 `json:"epoch"`
	// Copied is set if this instance has a copy of the pool's state.
	Copied bool `json:"copied"`
	// Owned is set if this instance is the owner. Only then are the fields below known.
	Owned bool `json:"owned"`
	// Electors are the instances that confirm the owner while the store doesn't.
	Electors []string `json:"electors,omitempty"`
	// Predecessors are the earlier owners that may still be confirmed. Until there are none, tasks of workers that the
	// owner doesn't reach aren't started again.
	Predecessors []PredecessorDump `json:"predecessors,omitempty"`
	// Unjudged says why the owner accepts all jobs at present without admission control; empty: it
	// applies admission control.
	Unjudged string `json:"unjudged,omitempty"`
	// The embedded fields show what a job that is submitted now can expect.
	*pool.AdmissionReport
	// Crashes lists the tasks under which workers have crashed.
	Crashes []pool.TaskCrashes `json:"crashes,omitempty"`
	// Workers lists the pool's workers with their incarnations.
	Workers []pool.WorkerReport `json:"workers,omitempty"`
	// Caps lists the caps of organisations with the pool's shares of them.
	Caps []pool.CapReport `json:"caps,omitempty"`
	// Error says why this instance knows nothing of the pool.
	Error string `json:"error,omitempty"`
}

// PredecessorDump is an earlier owner of a pool that its electors may still confirm.
type PredecessorDump struct {
	Owner    string   `json:"owner"`
	Epoch    uint64   `json:"epoch"`
	Electors []string `json:"electors"`
}

// Dump returns this instance's state for operators.
func (n *Node) Dump(ctx context.Context) Dump {
	d := Dump{Version: n.configVersion(), Pools: []PoolDump{}, Readers: n.readers.dump()}
	for _, pc := range n.allControllers() {
		d.Pools = append(d.Pools, pc.dump(ctx))
	}
	return d
}

// dump returns the pool's state, or an error in it. The answer is passed in a channel since the
// pool's goroutine may write it after the timeout.
func (pc *poolController) dump(ctx context.Context) PoolDump {
	answer := make(chan PoolDump, 1)
	if err := pc.do(withTimeout(ctx, dumpTimeout), func() { answer <- pc.poolDump() }); err != nil {
		return PoolDump{Pool: pc.topic.Part, Error: errors.Wrap(err, "no answer of the pool's goroutine").Error()}
	}
	return <-answer
}

// poolDump returns the pool's state. It runs on the pool's goroutine.
func (pc *poolController) poolDump() PoolDump {
	c := pc.replica.claim
	d := PoolDump{Pool: pc.topic.Part, Owner: c.Node, OwnerAddress: pc.ownerAddr(), Epoch: c.Epoch, Copied: pc.copyLoaded, Owned: pc.own != nil}
	if pc.own == nil {
		return d
	}
	d.Epoch = pc.own.claim.Epoch
	d.addElectors(pc.own.electorate)
	if d.Unjudged = pc.own.noAdmissionReason(); pc.own.loaded {
		report := pc.own.core.AdmissionReport(pc.node.now())
		report.Queues = slices.DeleteFunc(report.Queues, pc.belongsToOtherPool)
		d.AdmissionReport = &report
		d.Caps = pc.own.core.CapReports()
		d.Crashes, d.Workers = pc.own.core.CrashReport(), pc.own.core.WorkerReports()
	}
	return d
}

// addElectors adds an owner's electors and the predecessors that aren't known to be over.
func (d *PoolDump) addElectors(e *electorate) {
	if e == nil {
		return
	}
	rec, _ := e.record(claim{})
	d.Electors = instancesOf(rec.Electors)
	for _, f := range rec.Predecessors {
		d.Predecessors = append(d.Predecessors, PredecessorDump{Owner: f.Node, Epoch: f.Epoch, Electors: instancesOf(f.Electors)})
	}
}

func instancesOf(electors []elector) []string {
	var list []string
	for _, e := range electors {
		list = append(list, e.Node)
	}
	return list
}

// belongsToOtherPool reports whether another pool accepts a queue's jobs. A core is given all
// queues, and would report for those that none of their workers is listed.
func (pc *poolController) belongsToOtherPool(q pool.QueueAdmission) bool {
	return partOf(q.Service, pc.node.opts.Parts) != pc.topic.Part
}

package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner whose record goes on to name predecessors that are over, and electors that have ended, for as
// long as it stores something else all the time: its successor would wait for them.
func TestOwnersRecordIsStoredBesideOtherSaves(t *testing.T) {
	for name, change := range map[string]func(o *ownership){
		"predecessor": func(o *ownership) { o.handlePredecessorOver(predecessorOver{epoch: 1}) },
		"electors":    func(o *ownership) { o.electorsCheckedAt = 0; o.updateElectors() },
		// A refused append became a heartbeat that names new electors, and the former heartbeat is stored after it.
		"electors of an earlier append": func(o *ownership) {
			o.electorate.replace([]elector{o.pc.node.self()})
			o.electorate.markStored(2, o.pc.node.now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, o := newConfirmableOwner(t, idleStore{}, elector{"x", 1})
				o.electorate.setPredecessors([]predecessor{{claim{Node: "x", Life: 1, Epoch: 1}, []elector{{"x", 1}}}}, 1)
				before, _ := o.electorate.record(o.claim)
				stored := false
				assert.NilError(t, o.pc.do(t.Context(), func() {
					o.loaded = false // the tick isn't about the core
					o.heartbeatPending, o.lastHeartbeat, o.electorsCheckedAt = true, n.now(), n.now()+time.Minute
					change(o)
					o.handleSaveDone(saveDone{pendingSave: pendingSave{kind: heartbeat, electors: 1}}) // the record before the change
					for range 40 {
						time.Sleep(tickInterval)
						o.tick()
						batch, _ := o.saves.take(1 << 20)
						for _, s := range batch {
							c, err := checkRecord(Stored{Record: s.records[0]})
							assert.NilError(t, err)
							stored = stored || len(c.Predecessors) != len(before.Predecessors) || len(c.Electors) != len(before.Electors)
						}
						o.handleSaveDone(saveDone{pendingSave: pendingSave{kind: queueSave}})
					}
				}))
				assert.Assert(t, stored)
				o.cancel()
			})
		})
	}
}

package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against a copy that infers from the existence of a progress record that a job has begun, and against one that gives a
// number though it can't tell.
func TestCopyCountsJobsThatHaveNotBegun(t *testing.T) {
	progress := func(p pool.Progress) []byte { p.State = pool.Queued; return pool.Encode(p) }
	for name, test := range map[string]struct {
		progress []byte
		cancel   bool
		recorded bool // the owner records which jobs have begun
		state    pool.State
		count    int
		known    bool
	}{
		"no progress":                        {nil, false, true, pool.Queued, 1, true},
		"no progress, an older owner":        {nil, false, false, pool.Queued, 0, false},
		"a record of a job that waits":       {progress(pool.Progress{Begun: pool.NotBegun, Steps: []pool.StepProgress{{Uncounted: []int{0}}}}), false, true, pool.Queued, 1, true},
		"the same, cancelled":                {progress(pool.Progress{Begun: pool.NotBegun}), true, true, pool.Cancelled, 0, true},
		"a record of a job that runs":        {progress(pool.Progress{Begun: pool.HasBegun}), false, true, pool.Running, 0, true},
		"an older record with a run's end":   {progress(pool.Progress{Steps: []pool.StepProgress{{Done: "1"}}}), false, false, pool.Running, 0, true},
		"an older record that may wait":      {progress(pool.Progress{Steps: []pool.StepProgress{{Uncounted: []int{0}}}}), false, true, pool.Running, 0, false},
		"a record that can't be interpreted": {[]byte(`{"s":"queued","b":"x"}`), false, true, pool.Running, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			owner := ownerRecord{claim: claim{Node: "a", Addr: "a", Epoch: 1}, RecordsStarts: test.recorded}
			records := []pool.Record{{Key: pool.OwnerKey, Value: pool.Encode(owner)}, {Key: pool.JobKey("j"), Value: pool.Encode(pool.Job{ID: "j", HiddenQueue: "q", Service: "s"})}}
			if test.progress != nil {
				records = append(records, pool.Record{Key: pool.ProgressKey("j"), Value: test.progress})
			}
			if test.cancel {
				records = append(records, pool.Record{Key: pool.CancelKey("j"), Value: []byte("{}")})
			}
			r := newReplica()
			var stored []Stored
			for n, rec := range records {
				stored = append(stored, Stored{Record: rec, Offset: int64(n)})
			}
			r.apply(batch{records: stored, next: int64(len(stored))}, func(s Stored, err error) { t.Errorf("%s: %v", s.Key, err) })
			state, found := r.state("j")
			assert.Assert(t, found)
			assert.Equal(t, state, test.state)
			count, known := r.pending("q")
			assert.Equal(t, known, test.known)
			if known {
				assert.Equal(t, count, test.count)
			}
		})
	}
}

package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/settings"
)

// splitQuota is the way that was not taken: each home has its fixed part of the
// quota for good.
func splitQuota(h *Home, name string, quota infra.Resources) {
	t := h.team(name)
	t.quota = quota
	// Without a ledger, what is given back never returns.
	h.cfg.Quota.IdleFor = 24 * time.Hour
	t.level = infra.Resources{MilliCPU: quota.MilliCPU / ownership.HomeSlots, MemoryMiB: quota.MemoryMiB / ownership.HomeSlots}
}

func newQuotaWorld(seed uint64, loss int, delay time.Duration, quota int, static bool) *pairWorld {
	w := newPairWorld(seed, loss, delay, 1000)
	w.quota, w.static = times(small, quota), static
	for i := range ownership.HomeSlots {
		w.replaceHome(ownership.HomeUnit(i))
	}
	return w
}

// A team sees more of its tasks running than its quota. Its jobs hash to many homes
// that each may use a part. Reports and grants are lost, late and repeated; homes,
// the one with the ledger too, are replaced while paused or cut off. The sum over
// all workers must never exceed the quota, and in the end every job must have run.
func TestQuotaIsNeverExceeded(t *testing.T) {
	checks(t, 100)
	rapid.Check(t, func(t *rapid.T) {
		quota := rapid.IntRange(3, 12).Draw(t, "quota")
		w := newQuotaWorld(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{0, 10, 25}).Draw(t, "loss"),
			rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 400 * time.Millisecond}).Draw(t, "delay"), quota, false)
		w.runFor = 2 * time.Second
		for i := range rapid.IntRange(2, 10).Draw(t, "jobs") {
			kind := rapid.SampledFrom([]JobKind{Gang, Batch, Batch}).Draw(t, "kind")
			w.submit(JobSpec{ID: fmt.Sprintf("j%d", i), Kind: kind, Tasks: rapid.IntRange(1, 3).Draw(t, "tasks")})
		}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				w.tick()
			}
			if rapid.Bool().Draw(t, "ledger") {
				w.replaceHome(LedgerOf("workshop"))
			} else {
				injectPair(t, w)
			}
		}
		w.calm()
		for range 3000 {
			if w.settled() || len(w.broken) > 0 {
				break
			}
			w.tick()
		}
		if len(w.broken) > 0 {
			t.Fatalf("%d promises broken, the first: %s", len(w.broken), w.broken[0])
		}
		if !w.settled() {
			t.Fatalf("not settled: %s", w.describe())
		}
	})
}

// One home's flood has taken the whole quota before another home of the same team
// has a job. As the flood's tasks end, the second home must get its share, not the
// flood's next tasks.
func TestQuotaIsTakenBackFromAFlood(t *testing.T) {
	w := newQuotaWorld(1, 0, 5*time.Millisecond, 8, false)
	w.runFor = 2 * time.Second
	w.submit(JobSpec{ID: "flood", Kind: Batch, Tasks: 200})
	for range 60 {
		w.tick()
	}
	assert.Equal(t, w.used(), times(small, 8))
	w.submit(JobSpec{ID: "other", Kind: Batch, Tasks: 4})
	assert.Assert(t, ownership.HomeOf("flood") != ownership.HomeOf("other"))
	for range 120 {
		w.tick()
	}
	assert.Equal(t, w.jobs["other"].State, JobDone, "%s", w.describe())
}

// A gang needs the whole quota, and small jobs of the same team keep coming to
// other homes. The ledger must let them run dry for the older gang.
func TestQuotaForAGangIsNotPutOffForEver(t *testing.T) {
	w := newQuotaWorld(1, 0, 5*time.Millisecond, 8, false)
	w.runFor = time.Second
	for i := range 8 {
		w.submit(JobSpec{ID: fmt.Sprintf("first-%d", i), Kind: Batch, Tasks: 1})
	}
	w.tick()
	w.submit(JobSpec{ID: "gang", Kind: Gang, Tasks: 8})
	for i := range 600 {
		if i%5 == 0 {
			w.submit(JobSpec{ID: fmt.Sprintf("small-%d", i), Kind: Batch, Tasks: 1})
		}
		w.tick()
	}
	assert.Equal(t, w.jobs["gang"].State, JobDone, "%s", w.describe())
	assert.Equal(t, len(w.broken), 0, "%v", w.broken)
}

// A job that needs more at once than the team's whole quota must say so, and must
// not keep the rest of the team waiting.
func TestQuotaTooSmallForAGangIsSaid(t *testing.T) {
	w := newQuotaWorld(1, 0, 5*time.Millisecond, 4, false)
	w.submit(JobSpec{ID: "gang", Kind: Gang, Tasks: 5})
	w.submit(JobSpec{ID: "next", Kind: Batch, Tasks: 4})
	for range 300 {
		w.tick()
	}
	st, _ := newest(w.homes[ownership.HomeOf("gang")]).Status(w.now, "gang")
	assert.Equal(t, st.Wait.Reason, WaitOverQuota)
	assert.Equal(t, w.jobs["next"].State, JobDone)
}

// BenchmarkQuota measures, for a quota of 128 tasks, which part of it a team with
// enough work uses on average, by a ledger, by fixed parts and with all jobs in one home,
// and what it costs.
func BenchmarkQuota(b *testing.B) {
	for _, way := range []string{"ledger", "fixed", "one-home"} {
		for _, c := range []struct{ jobs, tasks int }{{1, 300}, {8, 40}, {64, 5}, {300, 1}} {
			b.Run(fmt.Sprintf("%s/jobs=%d/tasks=%d", way, c.jobs, c.tasks), func(b *testing.B) {
				var used, messages, starts float64
				for b.Loop() {
					used, messages, starts = quotaRun(way, c.jobs, c.tasks)
				}
				b.ReportMetric(used, "quota-used")
				b.ReportMetric(messages/max(starts, 1), "messages/start")
			})
		}
	}
}

// quotaRun keeps twice the quota waiting and returns the mean use over a minute
// after the first ten seconds.
func quotaRun(way string, jobs, tasks int) (used, messages, starts float64) {
	const quota = 128
	w := newQuotaWorld(1, 0, 2*time.Millisecond, quota, way != "ledger")
	one := ownership.HomeUnit(0)
	if way == "one-home" {
		newest(w.homes[one]).both(func(h *Home) { h.team("workshop").level = w.quota })
	}
	w.runFor = 4 * time.Second
	samples := 0
	for tick := range 1400 {
		open, n := 0, 0
		for _, j := range w.jobs {
			if j.State == JobOpen {
				open++
			}
		}
		for ; open < jobs && n < jobs; n++ {
			id := fmt.Sprintf("j%d", w.submitted)
			for k := 0; way == "one-home" && ownership.HomeOf(id) != one; k++ {
				id = fmt.Sprintf("j%d-%d", w.submitted, k)
			}
			w.submit(JobSpec{ID: id, Kind: Batch, Tasks: tasks})
			open++
		}
		w.tick()
		if tick >= 200 {
			used += float64(w.used().MilliCPU) / float64(w.quota.MilliCPU)
			samples++
		}
	}
	return used / float64(samples), float64(w.quotaMessages), float64(w.referee.starts)
}

// A gang waits for more of the quota than this home has, and small tasks of the
// same team fit what it has. Let ahead, they would use up each part that comes free.
func TestQuotaIsKeptForAnOlderGangOfTheSameHome(t *testing.T) {
	b := newBench(t, 1, huge)
	b.team("workshop", settings.Team{Quota: times(small, 4)})
	b.home.teams["workshop"].level = times(small, 2)
	b.submit(JobSpec{ID: "gang", Kind: Gang, Tasks: 4})
	b.submit(JobSpec{ID: "early", Kind: Batch, Tasks: 1})
	assert.DeepEqual(t, jobsOf(take[Place](b)), []string{"early"})
	b.wait(DefaultHomeConfig.ReserveAfter)
	take[Place](b)
	b.submit(JobSpec{ID: "late", Kind: Batch, Tasks: 1})
	assert.Equal(t, len(take[Place](b)), 0)
	assert.Equal(t, b.status("late").Wait.Reason, WaitQuota)
}

// A team may use more than its quota while others leave room. What is above its
// own part must be marked, so that it gives way first when it is taken back.
func TestBorrowedTasksAreMarked(t *testing.T) {
	b := newBench(t, 1, huge)
	b.team("workshop", settings.Team{Quota: times(small, 2), Borrow: times(small, 2)})
	b.handle(QuotaAsk{Home: b.home.unit, Ledger: LedgerOf("workshop"), LedgerEpoch: 70})
	l := &ledgerTeam{quota: times(small, 2), borrow: times(small, 2)}
	b.handle(QuotaGrant{Home: b.home.unit, Ledger: LedgerOf("workshop"), Team: "workshop", HomeEpoch: benchEpoch, LedgerEpoch: 70,
		Sequence: 1, Level: times(small, 4), Own: l.ownPart(times(small, 4))})
	b.submit(JobSpec{ID: "j", Kind: Batch, Tasks: 5})
	var borrowed []bool
	for _, p := range take[Place](b) {
		borrowed = append(borrowed, p.Borrowed)
	}
	assert.DeepEqual(t, borrowed, []bool{false, false, true, true})
}

// A home is replaced while its tasks run and nothing of the team waits. The new
// home must name the team in its report all the same: else the ledger counts its
// tasks as not there and gives the quota out again.
func TestReportNamesWhatAPredecessorStarted(t *testing.T) {
	b := &bench{t: t, home: NewHome(ownership.HomeUnit(1), benchEpoch, DefaultHomeConfig), now: time.Second, units: []ownership.Unit{"shard/a"}}
	b.home.SetShards(b.units)
	b.team("workshop", settings.Team{Quota: times(small, 4)})
	b.home.AddJob(b.now, Job{Spec: JobSpec{ID: "j", Team: "workshop", Kind: Batch, Tasks: 1, Need: small}, Accepted: benchEpoch - 1, State: JobOpen})
	b.step()
	b.handle(Collected{Home: b.home.unit, Shard: "shard/a", HomeEpoch: benchEpoch,
		Attempts: []Changed{{Attempt: Attempt{Job: "j", Epoch: benchEpoch - 10, Number: 1}, State: AttemptRunning, Shard: "shard/a"}}})
	b.handle(QuotaAsk{Home: b.home.unit, Ledger: LedgerOf("workshop"), LedgerEpoch: 70})
	reports := take[QuotaReport](b)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, len(reports[0].Teams), 1)
	assert.Equal(t, reports[0].Teams[0].Used, small)
}

package node_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// restartDelay is how long a crashed worker is away.
const restartDelay = 1500 * time.Millisecond

// newCrashCluster returns a cluster of three instances and eight workers that return after a crash.
func newCrashCluster(t *testing.T, advised bool) *cluster {
	c := newCluster(t, 1, advised, "a", "b", "c")
	c.world.SetRestartDelay(restartDelay)
	for n := range 8 {
		c.addWorker(n)
	}
	time.Sleep(3 * time.Second)
	return c
}

func (c *cluster) anyMember() *member {
	if up := c.up(); len(up) > 0 {
		return up[0]
	}
	return nil
}

// submitJob submits a job of one step through any instance.
func (c *cluster) submitJob(id, payload string, step pool.StepSpec) {
	c.t.Helper()
	assert.Assert(c.t, c.submit(pool.Job{ID: id, Payload: payload, Steps: []pool.StepSpec{step}}, c.anyMember))
}

func (c *cluster) assertState(id string, want pool.State) {
	c.t.Helper()
	state, verdict := c.state(id, c.anyMember())
	assert.Equal(c.t, verdict, node.Accepted)
	assert.Equal(c.t, state, want, c.logs.linesContaining(id)+"\n"+c.logs.linesContaining("worker.crashed"))
}

func crashStep(count int) pool.StepSpec {
	return pool.StepSpec{Count: count, Need: pool.Resources{CPU: 1000, Mem: 500}, EstimateMs: 500}
}

// Guards against a task that crashes its workers and is started again without end, and against
// sound tasks beside it that are given up with it.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	gang, longRunning := crashStep(2), crashStep(3)
	gang.Gang, longRunning.LongRunning = true, true
	for name, step := range map[string]pool.StepSpec{"single": crashStep(1), "wide": crashStep(6), "gang": gang, "long-running": longRunning} {
		for _, advised := range []bool{false, true} {
			for _, after := range []time.Duration{10 * time.Millisecond, 2 * time.Second, 7 * time.Second} {
				t.Run(fmt.Sprintf("%s, advised %t, after %v", name, advised, after), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := newCrashCluster(t, advised)
						defer c.close()
						for n := range 10 {
							c.submitJob(jobID(100+n), machines.Work(3*time.Second, false, false), crashStep(2))
						}
						watcher := crashStep(2)
						watcher.LongRunning = true
						c.submitJob("000000000000aaaa", machines.Work(time.Second, false, false), watcher)
						c.submitJob("000000000000bbbb", machines.CrashingWork(10*time.Second, 0, after), step)
						time.Sleep(90 * time.Second)
						c.assertState("000000000000bbbb", pool.Failed)
						c.assertState("000000000000aaaa", pool.Running)
						for n := range 10 {
							c.assertState(jobID(100+n), pool.Completed)
						}
						c.check()
					})
				})
			}
		}
	}
}

// Guards against a noisy neighbour whose jobs crash their workers: sound jobs of other organisations end,
// the crashing ones are given up, and what was lost with a worker doesn't stay counted under a cap.
func TestCrashingJobsOfOneOrganisationLeaveOthersAlone(t *testing.T) {
	for _, advised := range []bool{false, true} {
		for _, ownerLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("advised %t, owner lost %t", advised, ownerLost), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := newCrashCluster(t, advised)
					defer c.close()
					c.setCaps(12, 24)
					time.Sleep(3 * time.Second)
					submit := func(id, org, payload string) {
						assert.Assert(t, c.submit(pool.Job{ID: id, Organisation: org, Payload: payload, Steps: []pool.StepSpec{crashStep(2)}}, c.anyMember))
					}
					for n := range 4 {
						submit(jobID(200+n), "o0", machines.CrashingWork(10*time.Second, 0, 500*time.Millisecond))
					}
					if ownerLost {
						time.AfterFunc(2*time.Second, func() { c.kill(c.owner()) })
					}
					for n := range 20 {
						submit(jobID(100+n), "o1", machines.Work(2*time.Second, false, false))
						time.Sleep(200 * time.Millisecond)
					}
					time.Sleep(90 * time.Second)
					assertState := func(id, org string, want pool.State) {
						state, verdict := c.anyMember().node.StateFor(c.ctx, org, machines.Service, id)
						assert.Equal(t, verdict, node.Accepted)
						assert.Equal(t, state, want, c.logs.linesContaining(id))
					}
					for n := range 4 {
						assertState(jobID(200+n), "o0", pool.Failed)
					}
					for n := range 20 {
						assertState(jobID(100+n), "o1", pool.Completed)
					}
					for _, p := range c.anyMember().node.Dump(c.ctx).Pools {
						for _, r := range p.Caps {
							assert.Equal(t, r.Used, organisation.Amounts{}, "%s uses its cap, and nothing runs", r.Organisation)
						}
					}
					c.check()
				})
			})
		}
	}
}

// Guards against crashes that are forgotten when the pool's owner, or all instances, end right
// after them. Only one is noticed by the owner whose start caused it: the first, the second after
// nobody has noticed the first, or none.
func TestCrashesAreCountedThroughTakeovers(t *testing.T) {
	for _, all := range []bool{false, true} { // all instances end
		for noticed := range 3 { // the crash that is noticed; 0: none
			for _, after := range []time.Duration{0, 300 * time.Millisecond} {
				t.Run(fmt.Sprintf("all %t, noticed %d, after %v", all, noticed, after), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { testCrashesThroughTakeovers(t, all, noticed, after) })
				})
			}
		}
	}
}

func testCrashesThroughTakeovers(t *testing.T, all bool, noticed int, after time.Duration) {
	c := newCrashCluster(t, false)
	defer c.close()
	c.submitJob("000000000000bbbb", machines.CrashingWork(time.Second, 0, 10*time.Millisecond), crashStep(1))
	task := pool.TaskID{Job: "000000000000bbbb"}
	for n := 1; n <= 8 && c.world.Since() < 3*time.Minute; n++ {
		for began := c.world.Since(); c.world.Referee.Crashes(task) < n && c.world.Since()-began < 20*time.Second; {
			time.Sleep(time.Millisecond)
		}
		if n == noticed {
			continue
		}
		time.Sleep(after)
		victims := c.names()
		if !all {
			victims = []string{c.ownerName()}
		}
		for _, name := range victims {
			c.kill(name)
		}
		time.Sleep(500 * time.Millisecond)
		for _, name := range victims {
			c.restart(name)
		}
	}
	time.Sleep(10 * time.Second)
	assert.Assert(t, c.world.Referee.Crashes(task) <= 5, "%d crashes\n%s", c.world.Referee.Crashes(task), c.logs.linesContaining("crash"))
	c.assertState("000000000000bbbb", pool.Failed)
	c.check()
}

// ownerName returns the instance that owns the pool of the workers.
func (c *cluster) ownerName() string {
	for _, m := range c.up() {
		for _, p := range m.node.Dump(c.ctx).Pools {
			if p.Owned {
				return m.name
			}
		}
	}
	return c.up()[0].name
}

// Guards against sound jobs that are shown as failed because a rack, or half of all workers, lose
// power over and over.
func TestRepeatedOutagesFailNoSoundJob(t *testing.T) {
	for _, rack := range []bool{true, false} {
		t.Run(fmt.Sprintf("rack %t", rack), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCrashCluster(t, false)
				defer c.close()
				watcher := crashStep(12)
				watcher.LongRunning = true
				c.submitJob("000000000000aaaa", machines.Work(time.Second, false, false), watcher)
				for n := range 6 {
					c.submitJob(jobID(100+n), machines.Work(8*time.Second, false, false), crashStep(3))
				}
				for n := range 12 {
					victims := c.world.Rack("r0")
					if !rack {
						victims = c.world.Workers()[n%2*4 : n%2*4+4]
					}
					c.world.Restart(restartDelay, victims...)
					time.Sleep(4 * time.Second)
				}
				time.Sleep(60 * time.Second)
				c.assertState("000000000000aaaa", pool.Running)
				for n := range 6 {
					c.assertState(jobID(100+n), pool.Completed)
				}
				c.check()
			})
		})
	}
}

// Guards against a start that relies on a capacity that has shrunk.
func TestShrunkCapacityIsRespected(t *testing.T) {
	for _, advised := range []bool{false, true} {
		t.Run(fmt.Sprintf("advised %t", advised), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := newCrashCluster(t, advised)
				defer c.close()
				for n := range 40 {
					step := crashStep(4)
					step.Gang, step.LongRunning = n%5 == 0, n%9 == 1
					c.submitJob(jobID(100+n), machines.Work(time.Duration(300+n*50)*time.Millisecond, false, false), step)
					workers := c.world.Workers()
					id := workers[n%len(workers)]
					full := pool.Resources{CPU: 8000, Mem: 16000, GPU: c.world.FullCapacity(id).GPU}
					if n%3 > 0 {
						full.CPU, full.Mem = full.CPU/(1+n%3), full.Mem/(1+n%4)
					}
					c.world.SetCapacity(id, full, time.Duration(n%4)*500*time.Millisecond)
					time.Sleep(700 * time.Millisecond)
				}
				for _, id := range c.world.Workers() {
					c.world.SetCapacity(id, c.world.FullCapacity(id), time.Second)
				}
				time.Sleep(30 * time.Second)
				c.check()
				assert.Equal(t, len(c.world.Referee.Unfinished()), 5, "only the long-running jobs have not ended")
			})
		})
	}
}

// Guards against log lines about a worker that don't say which one.
func TestLogOfCrashesNamesTheWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrashCluster(t, false)
		defer c.close()
		c.submitJob("000000000000bbbb", machines.CrashingWork(time.Second, 0, 10*time.Millisecond), crashStep(1))
		time.Sleep(30 * time.Second)
		lines := strings.Split(strings.TrimSpace(c.logs.linesContaining(`"worker.crashed"`)), "\n")
		assert.Assert(t, len(lines) >= 3, "%v", lines)
		for _, line := range lines {
			assert.Assert(t, strings.Contains(line, `"worker":"w`), line)
		}
	})
}

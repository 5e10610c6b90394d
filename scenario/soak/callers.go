package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// submitTries is how often a caller tries to submit a job.
	submitTries = 4
	// visibility is the time after its acceptance within which every instance without faults
	// knows a job.
	visibility = 3 * time.Second
)

// callers submit jobs while faults are injected, and query them until they end.
func (r *run) callers(ctx context.Context, group *sync.WaitGroup) {
	rng := r.newRand(2)
	startSmallJobs := func(n int) {
		for range n {
			j, c := r.smallJob(rng), r.newCaller(rng.Uint64())
			group.Go(func() { c.submitAndAwait(ctx, j) })
		}
	}
	startSmallJobs(firstJobs)
	for n := 0; r.world.Since() < r.FaultTime && ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(rng.IntN(300))*time.Millisecond)
		j, c := r.job(rng), r.newCaller(uint64(1000+n))
		group.Go(func() { c.submitAndAwait(ctx, j) })
		startSmallJobs(smallJobsPerJob)
	}
}

const (
	// firstJobs is the number of jobs with one short task that are submitted at the beginning,
	// and smallJobsPerJob the number submitted with each other job: with a slow store an
	// instance that starts needs several seconds to read the pages with all their records.
	firstJobs       = 200
	smallJobsPerJob = 6
)

func (r *run) smallJob(rng *rand.Rand) pool.Job {
	return pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service, Payload: machines.Work(100*time.Millisecond, false, false),
		Steps: []pool.StepSpec{{Count: 1, Need: pool.Resources{CPU: 100, Mem: 10}, EstimateMs: 100}}}
}

func jobID(rng *rand.Rand) string { return fmt.Sprintf("%016x", rng.Uint64()) }

// job draws a random job of up to three steps.
func (r *run) job(rng *rand.Rand) pool.Job {
	work := time.Duration(100+rng.IntN(2000)) * time.Millisecond
	j := pool.Job{ID: jobID(rng), Queue: queue, Service: machines.Service,
		Payload: machines.Work(work, rng.IntN(20) == 0, rng.IntN(5) == 0)}
	for i := range 1 + rng.IntN(3) {
		s := pool.StepSpec{Count: 1 + rng.IntN(5), Need: pool.Resources{CPU: 500 + rng.IntN(2500), Mem: 100 + rng.IntN(3000)}, EstimateMs: work.Milliseconds()}
		switch rng.IntN(4) {
		case 0:
			s.Gang, s.Count = true, 2
		case 1:
			s.PerWorker = 2
		case 2:
			s.Fills = true
		}
		if i > 0 && rng.IntN(3) > 0 {
			s.After = []int{i - 1}
		}
		s.Speculative = permitsCopies(j.ID)
		j.Steps = append(j.Steps, s)
	}
	return j
}

// permitsCopies reports whether the steps of a job permit copies: those of every second job. It follows from
// the ID, so that the other draws of a seed stay as they are.
func permitsCopies(job string) bool { return job[len(job)-1] < '8' }

// caller uses its connection to one instance until that instance is gone, and then chooses
// another. It ignores requests to close the connection: a process that shuts down answers
// on its open connections until it ends.
type caller struct {
	*run
	rng      *rand.Rand
	client   wirestand.Client
	instance *instance
}

func (r *run) newCaller(stream uint64) *caller {
	return &caller{run: r, rng: r.newRand(stream), client: r.newClient()}
}

// newClient returns a client with a connection of its own.
func (r *run) newClient() wirestand.Client {
	return wirestand.Client{HTTP: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, Route: r.route}
}

// entry returns the address of the instance that the caller uses.
func (c *caller) entry() string {
	if c.instance == nil {
		c.instance = c.instances[c.rng.IntN(len(c.instances))]
	}
	return c.instance.callers.addr()
}

// checkAnswer handles a result. After a call without an answer the instance counts as gone.
func (c *caller) checkAnswer(v node.Verdict) node.Verdict {
	if v == node.Unknown {
		c.instance = nil
	}
	return v
}

// submitAndAwait submits a job and queries it until it has ended.
func (c *caller) submitAndAwait(ctx context.Context, j pool.Job) {
	defer c.client.HTTP.CloseIdleConnections()
	j.Organisation, c.client.Key = c.organisationOf(j.ID), c.keyOf(j.ID)
	if !c.submit(ctx, j) {
		return
	}
	cancels := c.rng.IntN(10) == 0
	for n := 0; c.world.Since() < c.FaultTime+c.RecoveryTime && ctx.Err() == nil; n++ {
		sleep(ctx, visibility)
		if cancels && n == 1 {
			c.cancel(ctx, j.ID)
		}
		state, v := c.queryState(ctx, c.client, c.entry(), j.ID)
		if c.checkAnswer(v) == node.Accepted && state.Ended() {
			return
		}
	}
}

func (c *caller) submit(ctx context.Context, j pool.Job) bool {
	for range submitTries {
		c.world.Referee.Submitted(j, maxAttempts)
		try, cancel := context.WithTimeout(ctx, callTimeout)
		v := c.checkAnswer(c.client.Submit(try, c.entry(), j))
		cancel()
		c.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
		if v == node.Accepted {
			c.mu.Lock()
			c.accepted = append(c.accepted, acceptedJob{j.ID, c.world.Since()})
			c.mu.Unlock()
			return true
		}
		sleep(ctx, time.Second)
	}
	return false
}

func (c *caller) cancel(ctx context.Context, job string) {
	c.world.Referee.CancelRequested(job)
	try, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if c.checkAnswer(c.client.Cancel(try, c.entry(), job)) == node.Accepted {
		c.world.Referee.CancelAcknowledged(job)
	}
}

// queryState queries the state of an accepted job from an instance.
func (r *run) queryState(ctx context.Context, client wirestand.Client, addr, job string) (pool.State, node.Verdict) {
	try, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client.Key = r.keyOf(job)
	state, v, err := client.State(try, addr, job)
	switch {
	case err != nil:
		r.finding("BODY: %v", err)
	case v == node.NoSuchJob:
		r.finding("LOST: job %s was accepted, and %s says that it doesn't exist", job, r.nameOf(addr))
	case v == node.Accepted:
		r.world.Referee.Shown(job, state)
	}
	return state, v
}

func (r *run) nameOf(addr string) string {
	for _, i := range r.instances {
		if i.callers.addr() == addr {
			return i.config.Name
		}
	}
	return addr
}

// acceptedJob is a job whose acceptance a caller was told, with the time of the answer.
type acceptedJob struct {
	id string
	at time.Duration
}

// drawVisibleJob draws a random job that every instance must know, half of the time from
// the newest ones.
func (r *run) drawVisibleJob(rng *rand.Rand) (job string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.accepted
	for len(list) > 0 && r.world.Since()-list[len(list)-1].at < visibility {
		list = list[:len(list)-1]
	}
	if len(list) == 0 {
		return "", false
	}
	first := 0
	if rng.IntN(2) == 0 {
		first = max(0, len(list)-newestJobs)
	}
	return list[first+rng.IntN(len(list)-first)].id, true
}

const (
	// newestJobs is the number of jobs that count as newest: a restarted instance reads these
	// last.
	newestJobs = 10
	// queryInterval is the interval between two queries, over all instances.
	queryInterval = 4 * time.Millisecond
)

// queryInstance queries one instance for jobs that it must know, whether or not it reports
// that it is ready, until the run ends. A load balancer that hasn't noticed a restart yet
// sends callers there too.
func (r *run) queryInstance(ctx context.Context, i *instance, rng *rand.Rand) {
	client := r.newClient()
	defer client.HTTP.CloseIdleConnections()
	for ctx.Err() == nil {
		sleep(ctx, queryInterval*time.Duration(len(r.instances)))
		if job, ok := r.drawVisibleJob(rng); ok {
			r.queryState(ctx, client, i.callers.addr(), job)
		}
	}
}

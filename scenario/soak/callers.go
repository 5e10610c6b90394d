package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

const (
	// patience is how long a caller waits for an answer.
	patience = 3 * time.Second
	// tries is how often a caller hands a job in.
	tries = 4
	// visible is how soon after its acceptance every instance knows a job, if it
	// has no trouble.
	visible = 3 * time.Second
)

// callers hand jobs in while there is trouble, and ask for them until they end.
func (r *run) callers(ctx context.Context, group *sync.WaitGroup) {
	luck := r.luck(2)
	for n := 0; r.world.Since() < r.Trouble && ctx.Err() == nil; n++ {
		sleep(ctx, time.Duration(luck.IntN(300))*time.Millisecond)
		j, own := r.job(n, luck), rand.New(rand.NewPCG(r.Seed, uint64(1000+n)))
		group.Go(func() { r.caller(ctx, j, own) })
	}
}

// job draws a job of up to three steps.
func (r *run) job(n int, luck *rand.Rand) pool.Job {
	work := time.Duration(100+luck.IntN(2000)) * time.Millisecond
	j := pool.Job{ID: fmt.Sprintf("%016x", uint64(n)<<32|r.Seed&0xffff), Queue: queue, Service: machines.Service,
		Payload: machines.Work(work, luck.IntN(20) == 0, luck.IntN(5) == 0)}
	for i := range 1 + luck.IntN(3) {
		s := pool.StepSpec{Count: 1 + luck.IntN(5), Need: pool.Resources{CPU: 500 + luck.IntN(2500), Mem: 100 + luck.IntN(3000)}, EstimateMs: work.Milliseconds()}
		switch luck.IntN(4) {
		case 0:
			s.Gang, s.Count = true, 2
		case 1:
			s.PerWorker = 2
		case 2:
			s.Fills = true
		}
		if i > 0 && luck.IntN(3) > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func (r *run) caller(ctx context.Context, j pool.Job, luck *rand.Rand) {
	if !r.submit(ctx, j, luck) {
		return
	}
	cancels := luck.IntN(10) == 0
	for n := 0; r.world.Since() < r.Trouble+r.Calm && ctx.Err() == nil; n++ {
		sleep(ctx, visible)
		if cancels && n == 1 {
			r.cancel(ctx, j.ID, luck)
		}
		if r.hasEnded(ctx, j.ID, luck) {
			return
		}
	}
}

// entry is the address of any instance.
func (r *run) entry(luck *rand.Rand) string {
	return r.instances[luck.IntN(len(r.instances))].callers.addr()
}

func (r *run) submit(ctx context.Context, j pool.Job, luck *rand.Rand) bool {
	for range tries {
		r.world.Referee.Submitted(j, attempts)
		try, cancel := context.WithTimeout(ctx, patience)
		v := r.client.Submit(try, r.entry(luck), j)
		cancel()
		r.world.Referee.Answered(j.ID, v == node.Accepted, v == node.NotRun)
		if v == node.Accepted {
			r.mu.Lock()
			r.report.Accepted++
			r.mu.Unlock()
			return true
		}
		sleep(ctx, time.Second)
	}
	return false
}

func (r *run) cancel(ctx context.Context, job string, luck *rand.Rand) {
	r.world.Referee.CancelRequested(job)
	try, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if r.client.Cancel(try, r.entry(luck), job) == node.Accepted {
		r.world.Referee.CancelAcknowledged(job)
	}
}

// hasEnded asks for a job's state, and reports whether it has ended.
func (r *run) hasEnded(ctx context.Context, job string, luck *rand.Rand) bool {
	try, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	state, v, err := r.client.State(try, r.entry(luck), job)
	switch {
	case err != nil:
		r.finding("BODY: %v", err)
	case v == node.NoSuchJob:
		r.finding("LOST: job %s was accepted, and an instance says that it doesn't exist", job)
	case v == node.Accepted:
		r.world.Referee.Shown(job, state)
		return state.Ended()
	}
	return false
}

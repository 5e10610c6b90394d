// Package soak runs the real program as several processes on one machine, with the stand-in
// for the users' machines, and injects faults from outside: a proxy delays or resets
// connections or stalls them in one or both directions; signals kill, stop, pause and
// restart processes, one at a time and in turn while other faults are active; workers crash,
// the configuration changes, the store is slow and loses its history, orders are executed
// late. Callers keep their connections, and every instance is queried for accepted jobs from
// 3 s after their acceptance. A referee checks the guarantees by what callers and workers
// observe. A seed determines the faults, but not exactly when they take effect.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/cell"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Options configure a run.
type Options struct {
	Binary       string // path of the program
	Dir          string // directory for settings and logs
	Seed         uint64
	Instances    int
	Workers      int
	FaultTime    time.Duration // how long faults are injected
	RecoveryTime time.Duration // maximum time for all accepted jobs to end after that
	// EarlySIGHUP also sends SIGHUP to processes that have only just been started.
	EarlySIGHUP bool
	// SIGHUPEach sends SIGHUP to each process as soon as the kernel shows that it handles the
	// signal, and to such processes again later.
	SIGHUPEach bool
	// Moves makes configurations move the queue to another service and back throughout the run.
	// Half of the workers serve each.
	Moves bool
	// Removals makes configurations remove the queue, or its service too, and bring them back throughout the
	// run.
	Removals bool
	// ChangedEntries makes some of the other writers' entries those of another worker, or of a later incarnation.
	ChangedEntries bool
	// LateOrdersOutliveWorkers makes orders that are late reach a worker that has started again under its ID, and
	// workers do so all the while. It needs Crashes.
	LateOrdersOutliveWorkers bool
	// RepeatedJobs adds jobs of many occurrences.
	RepeatedJobs bool
	// OwnerFaults replaces the usual faults of instances: owners are paused, and cut off from the store and the other
	// instances while these are cut off from some workers.
	OwnerFaults bool
	// Partitions replaces the usual faults of instances by partitions of a shape around owners, see PartitionShapes;
	// empty: there are none.
	Partitions string
	// RestartedWorkers replaces the usual faults of instances: the workers of a rack start again under their IDs, the
	// owner is replaced, and these workers are cut off from all instances, in series that overlap.
	RestartedWorkers bool
	// ForgottenStarts replaces the usual faults of instances: owners are lost right after starts without an answer, workers
	// start again out of reach and carry these out, and each instance is asked for the number of waiting jobs.
	ForgottenStarts bool
	// LongestLeases are the longest leases of workers of which the seed selects one; empty: DefaultLongestLeases.
	LongestLeases []time.Duration
	// Crashes adds tasks that crash their workers, workers and racks that start again, half of the
	// workers under the ID that they had, and capacity that shrinks.
	Crashes bool
	// LargeJobs adds jobs of many tasks, of which more end on a worker than an answer lists, and lowers the
	// store's limits.
	LargeJobs bool
	// OlderBinary is the path of an older version of the program, which every second instance runs; empty:
	// none does.
	OlderBinary string
	// Organisations makes organisations with keys and caps submit the jobs.
	Organisations bool
}

// Report is the result of a run.
type Report struct {
	Findings []string
	Accepted int
	// LateStartsAfterEnd counts late orders that have started a task after its end was acknowledged, on workers
	// that no owner had fenced yet. They are no findings.
	LateStartsAfterEnd int
	// StartsAfterLapsedEnd counts the starts of tasks right after an end was acknowledged before which its worker's lease
	// had lapsed. They are no findings.
	StartsAfterLapsedEnd int
	Faults               []string // in order of injection
	// Bounds are the times of the deployment that the seed has selected.
	Bounds machines.Bounds
}

// DefaultLongestLeases are the longest leases of workers of which a seed selects one: one that is little longer than what
// owners grant, and one that is longer than any bound that follows from that.
var DefaultLongestLeases = []time.Duration{6 * time.Second, 10 * time.Second}

// stopTimes are the times to stop a run of which a seed selects one.
var stopTimes = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// Program is the package of the program under test.
const Program = "github.com/knapweedweir/knapweedweir/cmd/kw-node"

const (
	host   = "soak.example"
	prefix = "/jobs/"
	queue  = "jobs"
	// portsPerInstance is the number of ports on which an instance listens.
	portsPerInstance = 4
	// instancesPerBlock is the number of instances whose ports come from one block of 127.
	instancesPerBlock = 31
	// pageSize is the number of records in a page. It is small, so that the 600 or more records
	// of the store need 60 pages: with the slowest store an instance that starts reads them
	// for 7 s.
	pageSize = 10
	// maxAttempts is how often a task may fail.
	maxAttempts = 3
)

type run struct {
	Options
	world     *machines.World
	wire      *wirestand.Server
	instances []*instance
	ports     []*cell.Block
	peerAddrs []string
	// workersByProxy holds the worker that a proxy's address leads to.
	workersByProxy sync.Map
	route          node.Route
	// changes is held while the world is changed, which in turn acquires mu.
	changes sync.Mutex
	version int64 // of the configuration
	// removal is what the configurations lack at present, guarded by changes.
	removal removal
	// keysRemoved holds when the key of each former version was removed.
	keysRemoved map[int64]time.Time
	storeDelay  time.Duration // added to each answer of the store

	// unstableAt holds when instances were last killed, paused or started, by name, while ForgottenStarts is set.
	unstableAt sync.Map

	mu       sync.Mutex
	report   Report
	accepted []acceptedJob // guarded by mu
	// partitions are those in force, oldest first, guarded by mu.
	partitions []*partition
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{Options: o, world: machines.New(o.Seed), keysRemoved: map[int64]time.Time{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.close()
	if err := r.start(ctx); err != nil {
		return r.report, err
	}
	var callers, watchers sync.WaitGroup
	if !r.ForgottenStarts { // its jobs neither fail nor are cancelled: nothing prevents a late start of a task that has
		callers.Go(func() { r.callers(ctx, &callers) })
	}
	queryCtx, stopQueries := context.WithCancel(ctx)
	for n, i := range r.instances {
		rng := r.newRand(uint64(100 + n))
		watchers.Go(func() { r.queryInstance(queryCtx, i, rng) })
	}
	keyRNG := r.newRand(8)
	watchers.Go(func() { r.probeKeys(queryCtx, keyRNG) })
	go r.injectInvalidEntries(ctx)
	if r.OwnerFaults || r.RestartedWorkers || r.Partitions != "" {
		callers.Go(func() { r.submitLongJobs(ctx, &callers) })
	}
	if r.Moves {
		go r.moveQueue(ctx)
	}
	if r.Removals {
		go r.removeRoutes(ctx)
	}
	if r.RepeatedJobs {
		callers.Go(func() { r.submitRepeatedJobs(ctx, &callers) })
	}
	if r.LargeJobs {
		callers.Go(func() { r.submitLargeJobs(ctx, &callers) })
	}
	if r.Crashes {
		callers.Go(func() { r.injectCrashes(ctx, &callers) })
	}
	switch {
	case r.ForgottenStarts:
		for _, i := range r.instances {
			watchers.Go(func() { r.watchCount(queryCtx, i) })
		}
		r.injectForgottenStarts(ctx, func(j pool.Job) {
			c := r.newCaller(5000)
			callers.Go(func() { c.submitAndAwait(ctx, j) })
		})
	case r.Partitions != "":
		r.injectPartitions(ctx)
	case r.RestartedWorkers:
		r.injectRestarts(ctx)
	case r.OwnerFaults:
		r.injectOwnerFaults(ctx)
	default:
		r.injectFaults(ctx)
	}
	r.clearFaults()
	callers.Wait()
	r.awaitJobEnds(ctx)
	stopQueries()
	watchers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Accepted = len(r.accepted)
	r.report.LateStartsAfterEnd, r.report.StartsAfterLapsedEnd = r.world.Referee.LateStartsAfterEnd(), r.world.Referee.StartsAfterLapsedEnd()
	r.report.Findings = append(r.report.Findings, r.world.Referee.Findings...)
	if n := r.world.SizesRefused(); n > 0 && r.OlderBinary == "" {
		r.report.Findings = append(r.report.Findings, fmt.Sprintf("SIZE: the store refused %d appends because of their size", n))
	}
	for _, job := range r.world.Referee.Unfinished() {
		r.report.Findings = append(r.report.Findings, fmt.Sprintf("LOST: job %s was accepted and has not ended", job))
	}
	return r.report, nil
}

func (r *run) finding(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Findings = append(r.report.Findings, fmt.Sprintf("%v ", r.world.Since().Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// configure writes the next version of the configuration. Every second one has a second
// route and queue, so that each version changes the configuration in force.
func (r *run) configure() {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.keysRemoved[r.version] = time.Now()
	r.version++
	r.world.SetOrganisations(r.organisationEntries(r.version))
	c := node.Config{Version: r.version, Services: []string{machines.Service}, Routes: []node.Route{r.route}}
	if r.version%2 == 0 {
		more := r.route
		more.Prefix, more.Queue.Name = "/more"+prefix, "more"
		c.Routes = append(c.Routes, more)
	}
	if r.Moves {
		c.Services = append(c.Services, machines.OtherService)
		for i := range c.Routes {
			c.Routes[i].Queue.Service = c.Services[r.version/2%2]
		}
	}
	r.remove(&c)
	r.world.Configure(c)
}

// start starts the world and the instances, and waits until they are ready.
func (r *run) start(ctx context.Context) error {
	r.wire = wirestand.New(r.world)
	r.drawBounds()
	r.world.Advised = r.Seed%2 == 0 && !r.ForgottenStarts // which has one worker for the jobs that wait
	r.world.Referee.OrdersMayBeLost = true
	r.world.PageSize = pageSize
	r.world.LateOrdersOutliveWorkers = r.LateOrdersOutliveWorkers || r.ForgottenStarts
	r.world.LateOrdersAwaitRestarts = r.ForgottenStarts
	if r.ForgottenStarts {
		r.world.ReuseIDs(1)
	}
	if r.LargeJobs {
		r.world.MaxRecord, r.world.MaxAppend = largeJobsMaxRecord, largeJobsMaxAppend
	}
	q := pool.Queue{Name: queue, Service: machines.Service, Attempts: maxAttempts, Slack: 2, Target: time.Second}
	if r.world.Advised {
		q.Advice = &pool.AdviceTerms{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	}
	r.route = node.Route{Host: host, Prefix: prefix, Queue: q, NeedsKey: r.Organisations}
	go r.world.Run(ctx)
	r.configure()
	for n := range r.Workers {
		r.addWorker(n)
	}
	advice := r.wire.Advice()
	addrs, err := r.claimPorts()
	if err != nil {
		return err
	}
	for n := range r.Instances {
		r.peerAddrs = append(r.peerAddrs, addrs[n*portsPerInstance+2])
	}
	for n := range r.Instances {
		i, err := r.newInstance(n, addrs[n*portsPerInstance:], advice)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.awaitReady(ctx, readyTimeout+time.Duration(r.Instances)*readyTimeoutEach); err != nil {
			return err
		}
	}
	return nil
}

// drawBounds selects the bounds of the deployment that the settings of an instance state. It has a random source of its own,
// so that the faults of a seed don't depend on the choices.
func (r *run) drawBounds() {
	rng := r.newRand(18)
	leases := r.LongestLeases
	if len(leases) == 0 {
		leases = DefaultLongestLeases
	}
	r.world.Bounds.MaxLease = leases[rng.IntN(len(leases))]
	r.world.Bounds.StopTime = stopTimes[rng.IntN(len(stopTimes))]
	r.report.Bounds = r.world.Bounds
}

// claimPorts reserves the ports of all instances and returns their addresses.
func (r *run) claimPorts() ([]string, error) {
	var addrs []string
	for left := r.Instances; left > 0; left -= instancesPerBlock {
		block, err := cell.ClaimBlock(min(left, instancesPerBlock) * portsPerInstance)
		if err != nil {
			return nil, err
		}
		r.ports, addrs = append(r.ports, block), append(addrs, block.Addrs...)
	}
	return addrs, nil
}

func (r *run) newInstance(n int, addrs []string, advice string) (i *instance, err error) {
	i = &instance{binary: r.Binary, dir: r.Dir, earlySIGHUP: r.EarlySIGHUP, sighupEach: r.SIGHUPEach, onUnexpectedEnd: func(name string, s *os.ProcessState) {
		r.finding("END: %s ended by itself: %v", name, s)
	}}
	if r.OlderBinary != "" && n%2 == 1 {
		i.binary = r.OlderBinary
	}
	if i.access, err = r.newAccess(fmt.Sprintf("i%d", n), addrs[2]); err != nil {
		return nil, err
	}
	if i.store, err = newProxy(i.access.store.addr()); err != nil {
		return nil, err
	}
	if i.callers, err = newProxy(addrs[0]); err != nil {
		return nil, err
	}
	i.config = wirestand.Instance{Name: fmt.Sprintf("i%d", n), Callers: addrs[0], Ready: addrs[1], Peers: addrs[2], Metrics: addrs[3],
		Store: i.store.addr(), Advice: advice, HoldMaxMs: r.world.Bounds.MaxLease.Milliseconds(), StopMs: r.world.Bounds.StopTime.Milliseconds(),
		MaxRecord: r.world.MaxRecord, MaxAppend: r.world.MaxAppend}
	if r.LargeJobs {
		i.config.MaxFiles = largeJobsMaxFiles
	}
	return i, nil
}

func (r *run) addWorker(n int) {
	service := machines.Service
	if r.Moves && n/2%2 == 1 {
		service = machines.OtherService
	}
	r.world.AddWorkerTo(service, pool.Resources{CPU: 8000, Mem: 16000, GPU: n % 3 * 4}, []string{"a", "b"}[n%2], fmt.Sprintf("r%d", n%3))
}

func (r *run) clearFaults() {
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT)
		i.store.set(noFault)
		i.callers.set(noFault)
		if err := i.start(); err != nil {
			r.finding("START: %v", err)
		}
	}
	r.world.SetLateOrders(0)
	r.world.RestoreAll()
	r.heal()
}

// awaitJobEnds waits until all accepted jobs have ended.
func (r *run) awaitJobEnds(ctx context.Context) {
	for began := time.Now(); time.Since(began) < r.RecoveryTime && len(r.world.Referee.Unfinished()) > 0; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (r *run) close() {
	for _, i := range r.instances {
		i.end()
		i.store.close()
		i.callers.close()
		i.access.store.close()
		i.access.wire.Close()
	}
	if r.wire != nil {
		r.wire.Close()
	}
	for _, block := range r.ports {
		block.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.instances {
		for _, list := range []map[string]*proxy{i.access.workers, i.access.peers} {
			for _, p := range list {
				p.close()
			}
		}
	}
}

// newRand returns a random source of its own for each part of the run, so that the draws of
// one part don't depend on the speed of another.
func (r *run) newRand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, stream)) }

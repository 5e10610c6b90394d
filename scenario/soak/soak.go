// Package soak runs the real program as several processes on one machine, against
// the stand-in of the users' machines, and troubles them from outside: connections
// are delayed, broken, silenced or cut one way by a proxy; processes are killed,
// stopped, paused and started again by signals, one by one and in turn while other
// trouble goes on; workers crash, the configuration changes, the store is slow and
// loses its history, orders are carried out late. Callers stay on their connections,
// and every instance is asked for accepted jobs from 3 s after their acceptance on. A
// referee checks the users' promises from what callers and workers see. What happens
// follows a seed; when exactly it takes effect does not.
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

// Options of a run.
type Options struct {
	Binary    string // the program
	Dir       string // for settings and logs
	Seed      uint64
	Instances int
	Workers   int
	Trouble   time.Duration // how long faults come
	Calm      time.Duration // how long all that was accepted then has to end, at most
	// EarlyHangups has processes told to read their settings that have only just begun.
	EarlyHangups bool
	// HangupsOfEach has each process told so at the first moment at which the kernel shows
	// that it has said how it takes the signal, and any such process later.
	HangupsOfEach bool
	// Moves has configurations send the queue to another service and back all the while. Half of
	// the workers serve each.
	Moves bool
}

// Report is what a run has found.
type Report struct {
	Findings []string
	Accepted int
	Faults   []string // in their order
}

// Program is the package of the program under trial.
const Program = "github.com/knapweedweir/knapweedweir/cmd/kw-node"

const (
	host   = "soak.example"
	prefix = "/jobs/"
	queue  = "jobs"
	// portsEach is how many ports an instance listens on.
	portsEach = 4
	// instancesEach is how many instances take their ports from one block of 127.
	instancesEach = 31
	// pageSize is how many records a page holds, so few that the store's 600 records or
	// more are read in 60 pages: at the slowest an instance that starts needs 7 s for them.
	pageSize = 10
	// attempts is how often a task may fail.
	attempts = 3
)

type run struct {
	Options
	world     *machines.World
	wire      *wirestand.Server
	instances []*instance
	ports     []*cell.Block
	workers   map[string]*proxy // guarded by mu
	route     node.Route
	// changes is held while the world is changed, which asks for mu itself.
	changes   sync.Mutex
	version   int64         // of the configuration
	storeLate time.Duration // how much later the store answers

	mu       sync.Mutex
	report   Report
	accepted []acceptedJob // guarded by mu
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	r := &run{Options: o, world: machines.New(o.Seed), workers: map[string]*proxy{}}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer r.close()
	if err := r.begin(ctx); err != nil {
		return r.report, err
	}
	var callers, watchers sync.WaitGroup
	callers.Go(func() { r.callers(ctx, &callers) })
	watching, end := context.WithCancel(ctx)
	for n, i := range r.instances {
		luck := r.luck(uint64(100 + n))
		watchers.Go(func() { r.askEverywhere(watching, i, luck) })
	}
	go r.strangers(ctx)
	if r.Moves {
		go r.move(ctx)
	}
	r.trouble(ctx)
	r.heal()
	callers.Wait()
	r.awaitEnds(ctx)
	end()
	watchers.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Accepted = len(r.accepted)
	r.report.Findings = append(r.report.Findings, r.world.Referee.Findings...)
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

// configure writes the next version of the configuration. Every other one has a second
// queue, so that each changes what is in force.
func (r *run) configure() {
	r.changes.Lock()
	defer r.changes.Unlock()
	r.version++
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
	r.world.Configure(c)
}

// begin starts the world and the instances, and waits until they are ready.
func (r *run) begin(ctx context.Context) error {
	r.wire = wirestand.New(r.world)
	r.wire.Between = r.between
	r.world.Advised = r.Seed%2 == 0
	r.world.Referee.Troubled = true
	r.world.PageSize = pageSize
	q := pool.Queue{Name: queue, Service: machines.Service, Attempts: attempts, Slack: 2, Target: time.Second}
	if r.world.Advised {
		q.Advice = &pool.AdviceTerms{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, Validity: 1500 * time.Millisecond}
	}
	r.route = node.Route{Host: host, Prefix: prefix, Queue: q}
	go r.world.Run(ctx)
	r.configure()
	for n := range r.Workers {
		r.addWorker(n)
	}
	store, advice := r.wire.Store(), r.wire.Advice()
	addrs, err := r.claimPorts()
	if err != nil {
		return err
	}
	for n := range r.Instances {
		i, err := r.newInstance(n, addrs[n*portsEach:], store, advice)
		if err != nil {
			return err
		}
		r.instances = append(r.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for _, i := range r.instances {
		if err := i.awaitReady(ctx, readyWithin+time.Duration(r.Instances)*readyEach); err != nil {
			return err
		}
	}
	return nil
}

// claimPorts returns the addresses of all instances.
func (r *run) claimPorts() ([]string, error) {
	var addrs []string
	for left := r.Instances; left > 0; left -= instancesEach {
		block, err := cell.ClaimBlock(min(left, instancesEach) * portsEach)
		if err != nil {
			return nil, err
		}
		r.ports, addrs = append(r.ports, block), append(addrs, block.Addrs...)
	}
	return addrs, nil
}

func (r *run) newInstance(n int, addrs []string, store, advice string) (i *instance, err error) {
	i = &instance{binary: r.Binary, dir: r.Dir, early: r.EarlyHangups, each: r.HangupsOfEach, died: func(name string, s *os.ProcessState) {
		r.finding("END: %s ended by itself: %v", name, s)
	}}
	if i.store, err = newProxy(store); err != nil {
		return nil, err
	}
	if i.callers, err = newProxy(addrs[0]); err != nil {
		return nil, err
	}
	i.set = wirestand.Instance{Name: fmt.Sprintf("i%d", n), Callers: addrs[0], Ready: addrs[1], Peers: addrs[2], Metrics: addrs[3],
		Store: i.store.addr(), Advice: advice, HoldMaxMs: machines.HoldMax.Milliseconds(), StopMs: machines.StopTime.Milliseconds()}
	return i, nil
}

func (r *run) addWorker(n int) {
	service := machines.Service
	if r.Moves && n/2%2 == 1 {
		service = machines.OtherService
	}
	r.world.AddWorkerTo(service, pool.Resources{CPU: 8000, Mem: 16000, GPU: n % 3 * 4}, []string{"a", "b"}[n%2], fmt.Sprintf("r%d", n%3))
}

// between puts a proxy in front of a worker.
func (r *run) between(worker, addr string) string {
	p, err := newProxy(addr)
	if err != nil {
		panic(err) // no port is free
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers[worker] = p
	return p.addr()
}

func (r *run) heal() {
	for _, i := range r.instances {
		i.signal(syscall.SIGCONT)
		i.store.set(passes)
		i.callers.set(passes)
		if err := i.start(); err != nil {
			r.finding("START: %v", err)
		}
	}
	r.world.SetLateOrders(0)
	r.world.RestoreAll()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.workers {
		p.set(passes)
	}
}

// awaitEnds waits until all that was accepted has ended.
func (r *run) awaitEnds(ctx context.Context) {
	for began := time.Now(); time.Since(began) < r.Calm && len(r.world.Referee.Unfinished()) > 0; {
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
	}
	if r.wire != nil {
		r.wire.Close()
	}
	for _, block := range r.ports {
		block.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.workers {
		p.close()
	}
}

// luck returns a source of chance of its own, so that what one part draws doesn't
// depend on how fast another is.
func (r *run) luck(part uint64) *rand.Rand { return rand.New(rand.NewPCG(r.Seed, part)) }

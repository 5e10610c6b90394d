package node

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// peersTopicName is the topic that lists the instances and their addresses.
	peersTopicName = "keyed.instances"
	// announceInterval is how often an instance writes its entry again, in case one is lost.
	announceInterval = 10 * time.Second
	// peersReadWait is how long a read of the list waits for a record. The instance's own next
	// entry arrives earlier.
	peersReadWait   = announceInterval + time.Second
	peerDialTimeout = 300 * time.Millisecond
	// peerTimeout bounds a call to a peer; peers answer in 3 ms.
	peerTimeout = 700 * time.Millisecond
	// aliveTimeout bounds the check whether a peer is alive.
	aliveTimeout = 250 * time.Millisecond
	// watchDuration is how long a call that detects the end of a peer's process stays open.
	watchDuration = 10 * time.Second
	// minCores is assumed for a machine that doesn't report its processor share, in cores.
	minCores = 0.01
	// redialPause is how long no connection to an unreachable peer is tried.
	redialPause = 500 * time.Millisecond
)

var (
	// errPeerUnreachable means that a call never reached the peer.
	errPeerUnreachable = errors.New("the peer can't be reached")
	// errConnRefused means that no process listens at the peer's address.
	errConnRefused = errors.Wrap(errPeerUnreachable, "connection refused")
	// errCallTimeout means that no response has arrived yet.
	errCallTimeout = errors.New("no answer in time")
	// errPeerSilent means that the outcome is unknown: the peer may have done what it was asked.
	errPeerSilent = errors.New("the peer did not answer in time")
)

type peerEntry struct {
	name string // the record's key
	Addr string `json:"addr"`
	Life int64  `json:"life"`
	// ElectorID identifies the process as an elector; 0: it is of an older version. It is the process's Life at first.
	ElectorID int64 `json:"elector,omitempty"`
	// Cores is the machine's processor share, in cores.
	Cores float64 `json:"power"`
	// LinkRate is the machine's network bandwidth, in bytes per second; 0: unknown.
	LinkRate int `json:"link,omitempty"`
	// Pools are the pools that the instance owns. Instances without a copy of a pool find its owner
	// here.
	Pools []ownedPool `json:"pools,omitempty"`
}

// ownedPool is a pool and the claim by which an instance owns it.
type ownedPool struct {
	Part       int    `json:"part"`
	Epoch      uint64 `json:"epoch"`
	Generation int    `json:"gen"`
}

// peers holds the list of instances and the connections to them.
type peers struct {
	node  *Node
	mu    sync.Mutex
	byKey map[string]peerEntry
	conns map[string]*peerConn
	gone  map[process]bool // processes known to have ended
	// addrOf is each instance's newest address, also of one that has left the list: its process may still run.
	addrOf map[string]string
	// maxima holds the highest Cores and LinkRate of all entries. updateEntries computes it.
	maxima peerEntry
	// renewedAt is when each instance's newest entry was read, readable or not, and asOf a time such that all entries are
	// known that were stored before.
	renewedAt map[string]time.Duration
	asOf      time.Duration
	// electorSince is since when each instance's entries that were read were all of the elector in the newest.
	electorSince map[string]time.Duration
	// announcedAt is when the newest entry of this instance was sent that the store has accepted; 0: there is none.
	announcedAt atomic.Int64
	electorID   atomic.Int64 // see peerEntry.ElectorID
	// ownElectorSince is since when this process votes as that elector. It belongs to announce.
	ownElectorSince time.Duration
	// loaded is set once the list has been read.
	loaded atomic.Bool
	// changed wakes announce after a change of this instance's entry.
	changed chan struct{}
}

// process identifies one run of an instance's process.
type process struct {
	node        string
	incarnation int64
}

func newPeers(n *Node) *peers {
	p := &peers{node: n, byKey: map[string]peerEntry{}, conns: map[string]*peerConn{}, gone: map[process]bool{}, addrOf: map[string]string{}, renewedAt: map[string]time.Duration{}, electorSince: map[string]time.Duration{},
		changed: make(chan struct{}, 1)}
	p.electorID.Store(n.incarnation)
	p.ownElectorSince = n.now()
	return p
}

func (p *peers) run(ctx context.Context) {
	go p.announce(ctx)
	f := &follower{store: p.node.store, topic: Topic{Name: peersTopicName}, now: p.node.now, wait: peersReadWait,
		pause: func() time.Duration { return readPause }, readers: &p.node.readers, log: p.node.log}
	f.run(ctx, p.handleBatch)
}

// self returns this instance's entry.
func (p *peers) self() peerEntry {
	opts := p.node.opts
	return peerEntry{name: opts.Name, Addr: opts.PeerAddr, Life: p.node.incarnation, ElectorID: p.electorID.Load(), Cores: opts.Cores, LinkRate: opts.LinkRate, Pools: p.node.ownedPools()}
}

func (p *peers) announce(ctx context.Context) {
	for ctx.Err() == nil && !p.node.stopping.Load() {
		if !p.renewElectorID(ctx) {
			sleep(ctx, maxReadRetryPause)
			continue
		}
		sent := p.node.now()
		entry := pool.Record{Key: p.node.opts.Name, Value: pool.Encode(p.self())}
		_, err := p.node.store.Append(withTimeout(ctx, appendTimeout), Topic{Name: peersTopicName}, []pool.Record{entry}, nil)
		if err != nil {
			sleep(ctx, readRetryPause)
			continue
		}
		if p.votesHaveExpired() {
			continue // this process was stopped meanwhile: the entry must not renew votes that a successor takes for over
		}
		p.announcedAt.Store(int64(sent))
		waitFor(ctx, announceInterval, p.changed)
	}
}

// votesHaveExpired reports whether no entry of this process as its present elector was accepted for voteDuration.
func (p *peers) votesHaveExpired() bool {
	return p.node.now()-max(p.ownElectorSince, time.Duration(p.announcedAt.Load())) >= voteDuration
}

// renewElectorID makes this process another elector if its votes have expired: a successor may take them for over, so an entry
// that is accepted later must not make them count again. In an outage of the store that affects all, the process stays the
// elector that it was, and renewElectorID returns false.
func (p *peers) renewElectorID(ctx context.Context) bool {
	if !p.votesHaveExpired() {
		return true
	}
	if _, _, _, err := p.node.store.Newest(withTimeout(ctx, storeProbeTimeout), Topic{Name: peersTopicName}, ""); err != nil {
		return false
	}
	p.ownElectorSince = p.node.now()
	p.electorID.Store(max(p.electorID.Load()+1, time.Now().UnixNano()))
	p.node.log.Info().Dur("age", p.announceAge()).Msg("elector.replaced")
	return true
}

// announceNow makes announce write this instance's entry without waiting for the next interval.
func (p *peers) announceNow() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// leave removes this instance from the list.
func (p *peers) leave(ctx context.Context) {
	if _, err := p.node.store.Append(withTimeout(ctx, appendTimeout), Topic{Name: peersTopicName},
		[]pool.Record{{Key: p.node.opts.Name}}, nil); err != nil {
		p.node.log.Warn().Err(err).Msg("peers.leave_failed")
	}
}

func (p *peers) handleBatch(b batch) {
	if b.err != nil {
		return // keep the list as it was
	}
	p.updateEntries(b)
	p.loaded.Store(true)
	for _, pc := range p.node.allControllers() {
		go pc.send(pc.ctx, func() {
			pc.learnOwner(p.ownerOf(pc.topic.Part)) // lists that are read together may arrive here in any order
			pc.updateCopy(pc.ctx)
		})
	}
}

// ownerOf returns the newest claim of a pool in the list of instances, or the zero claim.
func (p *peers) ownerOf(part int) claim {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest claim
	for _, e := range p.byKey {
		for _, owned := range e.Pools {
			if owned.Part == part && owned.Epoch > newest.Epoch {
				newest = claim{Node: e.name, Addr: e.Addr, Life: e.Life, Epoch: owned.Epoch, Generation: owned.Generation}
			}
		}
	}
	return newest
}

// updateEntries applies a batch to the list of instances.
func (p *peers) updateEntries(b batch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.byKey
	if b.reset {
		p.byKey = map[string]peerEntry{}
	}
	for _, rec := range b.records {
		p.renewedAt[rec.Key] = p.node.now()
		if len(rec.Value) == 0 && rec.Unreadable == nil {
			delete(p.byKey, rec.Key)
			continue
		}
		e, err := decodePeer(rec)
		if err != nil {
			p.node.unreadable.report(peersTopicName, rec.Key, rec.Offset, err)
			if old, known := before[rec.Key]; known {
				p.byKey[rec.Key] = old // the instance will write its entry again soon
			}
			p.electorSince[rec.Key] = p.node.now() // it may be any elector's
			continue
		}
		if b.reset || before[rec.Key].elector() != e.elector() { // earlier entries weren't read, or are another elector's
			p.electorSince[rec.Key] = p.node.now()
		}
		p.byKey[rec.Key], p.addrOf[rec.Key] = e, e.Addr
	}
	p.asOf = max(p.asOf, b.asOf)
	p.maxima = peerEntry{}
	for _, e := range p.byKey {
		p.maxima.Cores, p.maxima.LinkRate = max(p.maxima.Cores, e.Cores), max(p.maxima.LinkRate, e.LinkRate)
	}
}

// maxPlausibleCores bounds the processor share in an instance's entry, in cores: four times the
// largest machine on the market. A higher value would make all other instances count as too weak
// for a pool.
const maxPlausibleCores = 4 * 1024

// maxPlausibleLinkRate bounds the link rate in an instance's entry, in bytes per second: 1 Tbit/s.
const maxPlausibleLinkRate = 125_000_000_000

func decodePeer(rec Stored) (peerEntry, error) {
	e := peerEntry{name: rec.Key}
	if rec.Unreadable != nil {
		return e, rec.Unreadable
	}
	if err := json.Unmarshal(rec.Value, &e); err != nil {
		return e, err
	}
	if slices.ContainsFunc(e.Pools, func(o ownedPool) bool { return o.Part < 0 || o.Epoch == 0 || o.Generation < 0 }) {
		return e, errors.New("entry of an instance with an invalid pool")
	}
	if rec.Key == "" || e.Addr == "" || e.Life <= 0 || e.ElectorID < 0 || e.Cores < 0 || e.Cores > maxPlausibleCores || e.LinkRate < 0 || e.LinkRate > maxPlausibleLinkRate {
		return e, errors.New("invalid entry of an instance")
	}
	return e, nil
}

// alive returns the other instances that are not known to be down, ordered by address.
func (p *peers) alive() []peerEntry {
	now := p.node.now()
	return p.others(func(e peerEntry) bool {
		c := p.conns[e.Addr]
		return c == nil || now >= c.blockedUntil()
	})
}

// others returns the other instances whose processes aren't known to have ended, ordered by address. It calls selected with p
// locked.
func (p *peers) others(selected func(peerEntry) bool) []peerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []peerEntry
	for _, e := range p.byKey {
		if e.name != p.node.opts.Name && e.Addr != p.node.opts.PeerAddr && !p.gone[process{e.name, e.Life}] && selected(e) {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b peerEntry) int { return cmp.Compare(a.Addr, b.Addr) })
	return list
}

// hasRestarted reports whether an instance lists a later process than the given one.
func (p *peers) hasRestarted(old process) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[old.node].Life > old.incarnation // an incarnation is the process's start time
}

// mayVote reports whether a process can be an elector: it is the newest one of its instance, isn't known to have ended,
// and has renewed its entry lately.
func (p *peers) mayVote(e elector) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry := p.byKey[e.Node]
	return entry.elector() == e && !p.gone[process{e.Node, entry.Life}] && p.asOf-p.renewedAt[e.Node] < maxElectorSilence
}

// elector returns the process of an entry as an elector.
func (e peerEntry) elector() elector { return elector{e.name, cmp.Or(e.ElectorID, e.Life)} }

// isReplaced reports whether an instance lists a later elector than the given one.
func (p *peers) isReplaced(e elector) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[e.Node].elector().ID > e.ID
}

// isListed reports whether an instance has an entry in the list. Those that leave as planned remove theirs.
func (p *peers) isListed(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[name].Addr != ""
}

// voteExpired reports whether an elector has certainly not renewed its entry for voteDuration, nor since the given time.
func (p *peers) voteExpired(e elector, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	renewed := p.renewedAt[e.Node]
	if entry, listed := p.byKey[e.Node]; listed && entry.elector() != e {
		renewed = p.electorSince[e.Node] // by another process
	}
	return p.asOf-max(renewed, since) > voteExpiry
}

// announceAge returns how long ago this instance's newest accepted entry was sent.
func (p *peers) announceAge() time.Duration {
	if at := p.announcedAt.Load(); at != 0 {
		return p.node.now() - time.Duration(at)
	}
	return math.MaxInt64
}

// ownVote returns as what this process votes, and the age of its newest accepted entry.
func (p *peers) ownVote() (id int64, age time.Duration) {
	age = p.announceAge() // first: the entry of a later elector may be accepted in between
	return p.electorID.Load(), age
}

// callInstance is call with the instance's name.
func (p *peers) callInstance(ctx context.Context, name, method string, args, reply any) error {
	p.mu.Lock()
	addr := p.addrOf[name]
	p.mu.Unlock()
	if addr == "" {
		return errors.Wrapf(errPeerUnreachable, "instance %s has never been listed", name)
	}
	return p.call(ctx, addr, method, args, reply, peerTimeout)
}

// addrs returns the addresses of the other instances that are not known to be down.
func (p *peers) addrs() []string {
	var list []string
	for _, e := range p.alive() {
		list = append(list, e.Addr)
	}
	return list
}

func (p *peers) conn(addr string) *peerConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conns[addr]
	if c == nil {
		c = &peerConn{dialToken: make(chan struct{}, 1), now: p.node.now, dial: p.node.opts.Dial}
		p.conns[addr] = c
	}
	return c
}

// call sends a request to a peer and waits for the response. After an error the reply must not be
// read, as a late response is still written to it.
func (p *peers) call(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	return p.callWhileAlive(ctx, addr, method, args, reply, timeout, timeout)
}

// callWhileAlive sends a request to a peer and waits for the response. If none has arrived after
// the timeout but the peer answers a check that it is alive, it waits up to longest in all.
func (p *peers) callWhileAlive(ctx context.Context, addr, method string, args, reply any, timeout, longest time.Duration) error {
	c := p.conn(addr)
	client, err := c.connect(addr)
	if err != nil {
		return err
	}
	sent := p.node.now()
	call := client.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1))
	err = p.await(ctx, c, client, call, timeout)
	if errors.Is(err, errCallTimeout) && longest > timeout && p.call(ctx, addr, "Life", Empty{}, &LifeReply{}, aliveTimeout) == nil {
		err = p.await(ctx, c, client, call, longest-timeout)
	}
	if errors.Is(err, errCallTimeout) {
		c.dropIfSilent(client, sent)
		return errPeerSilent
	}
	return err
}

func (p *peers) await(ctx context.Context, c *peerConn, client *rpc.Client, call *rpc.Call, timeout time.Duration) error {
	switch _, end := waitFor(ctx, timeout, call.Done); end {
	case waitElapsed:
		return errCallTimeout
	case waitCanceled:
		return ctx.Err()
	}
	if _, answered := call.Error.(rpc.ServerError); call.Error != nil && !answered {
		c.drop(client)
		return errors.Wrap(errPeerSilent, call.Error.Error())
	}
	c.markAnswered()
	return call.Error
}

// advise sends a request to the advice service, one at a time.
func (n *Node) advise(ctx context.Context, a pool.Advise) pool.Advised {
	n.adviceSlot <- struct{}{}
	defer func() { <-n.adviceSlot }()
	return n.callAdvisor(ctx, a)
}

// callAdvisor sends one request to the advice service, for this instance or for a peer.
func (n *Node) callAdvisor(ctx context.Context, a pool.Advise) pool.Advised {
	answer := n.advisor.Advise(withTimeout(ctx, a.Cost+adviceTimeoutMargin), a)
	if answer.Unreadable != nil {
		n.unreadable.report(sourceAdvice, stepKey(a.Step), noOffset, answer.Unreadable)
		answer.Unreadable = nil // it is reported here; net/rpc could not send it to a peer
	}
	return answer
}

func stepKey(s pool.StepID) string { return fmt.Sprintf("%s.%d.%d", s.Job, s.K, s.Step) }

func (p *peers) advise(ctx context.Context, addr string, a pool.Advise) AdviseReply {
	var r AdviseReply
	if err := p.call(ctx, addr, "Advise", AdviseArgs{Ask: a}, &r, a.Cost+2*adviceTimeoutMargin); err != nil {
		// A late response may still be written to r while others read it, so r must not be returned
		// after an error.
		return AdviseReply{Answer: pool.Advised{Failed: true}}
	}
	return r
}

// maxCores returns the processor share of the strongest machine, including this one.
func (p *peers) maxCores() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.node.opts.Cores, minCores, p.maxima.Cores)
}

// maxLinkRate returns the highest known link rate, including this machine's; 0: none is known.
func (p *peers) maxLinkRate() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.node.opts.LinkRate, p.maxima.LinkRate)
}

// handOver asks instances in order to claim a pool, and returns the address of the first that does.
// The number of pools that each owns may be outdated here, so instances that own another pool
// refuse; only if none accepts, they are asked to claim a second pool.
func (p *peers) handOver(ctx context.Context, part int, epoch uint64, list []successor) string {
	for _, again := range []bool{false, true} {
		for _, to := range list {
			args := TakeArgs{Part: part, Epoch: epoch, Second: again || to.ownedPools > 0}
			if p.call(ctx, to.addr, "Take", args, &Empty{}, peerTimeout) == nil {
				p.node.log.Info().Int("pool", part).Str("to", to.addr).Bool("weak", to.weak).Int("owns", to.ownedPools).Msg("pool.handed_over")
				return to.addr
			}
		}
	}
	return ""
}

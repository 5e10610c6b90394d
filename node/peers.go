package node

import (
	"context"
	"encoding/json"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/pool"
)

const (
	// peersTopic lists the instances and where they reach each other.
	peersTopicName = "keyed.instances"
	// announceEvery repeats an instance's entry, should the first one be lost.
	announceEvery   = 10 * time.Second
	peerDialTimeout = 300 * time.Millisecond
	// peerTimeout bounds a question to a peer; peers answer in 3 ms.
	peerTimeout = 700 * time.Millisecond
	// aliveTimeout bounds the question whether a peer lives.
	aliveTimeout = 250 * time.Millisecond
	// redialPause is how long a peer that can't be reached is left alone.
	redialPause = 500 * time.Millisecond
)

var (
	// errNoPeer means that a question never reached the peer.
	errNoPeer = errors.New("the peer can't be reached")
	// errRefused means that no process listens at the peer's address.
	errRefused = errors.Wrap(errNoPeer, "connection refused")
	// errOverdue means that an answer has not come yet.
	errOverdue = errors.New("the answer is overdue")
	// errPeerSilent means that a peer may have done what it was asked.
	errPeerSilent = errors.New("the peer did not answer in time")
)

type peerEntry struct {
	Addr string `json:"addr"`
	Life int64  `json:"life"`
}

// peers are the other instances.
type peers struct {
	node  *Node
	mu    sync.Mutex
	byKey map[string]peerEntry
	links map[string]*link
	gone  map[process]bool // processes that no longer answer
}

// process is one life of an instance.
type process struct {
	node string
	life int64
}

// link is the connection to one peer.
type link struct {
	dialing  chan struct{} // holds a token while a caller dials
	mu       sync.Mutex
	client   *rpc.Client
	until    time.Duration // no dial before
	answered time.Duration // the newest answer
	now      func() time.Duration
	dial     Dialer
}

func newPeers(n *Node) *peers {
	return &peers{node: n, byKey: map[string]peerEntry{}, links: map[string]*link{}, gone: map[process]bool{}}
}

func (p *peers) run(ctx context.Context) {
	go p.announce(ctx)
	f := &follower{store: p.node.store, topic: Topic{Name: peersTopicName}, wait: 10 * readWait,
		pause: func() time.Duration { return followerPause }}
	f.run(ctx, p.take)
}

func (p *peers) announce(ctx context.Context) {
	entry := pool.Record{Key: p.node.set.Name, Value: pool.Encode(peerEntry{Addr: p.node.set.PeerAddr, Life: p.node.life})}
	for ctx.Err() == nil && !p.node.stopping.Load() {
		_, err := p.node.store.Append(withTimeout(ctx, appendTimeout), Topic{Name: peersTopicName}, []pool.Record{entry}, nil)
		if err != nil {
			sleep(ctx, followRetry)
			continue
		}
		sleep(ctx, announceEvery)
	}
}

// leave takes this instance off the list.
func (p *peers) leave(ctx context.Context) {
	if _, err := p.node.store.Append(withTimeout(ctx, appendTimeout), Topic{Name: peersTopicName},
		[]pool.Record{{Key: p.node.set.Name}}, nil); err != nil {
		p.node.log.Warn().Err(err).Msg("peers.leave_failed")
	}
}

func (p *peers) take(b batch) {
	if b.err != nil {
		return // the list stays as it was
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.reset {
		p.byKey = map[string]peerEntry{}
	}
	for _, rec := range b.records {
		var e peerEntry
		if len(rec.Value) == 0 || json.Unmarshal(rec.Value, &e) != nil {
			delete(p.byKey, rec.Key)
			continue
		}
		p.byKey[rec.Key] = e
	}
}

// addrs returns the other instances that answer, as far as is known.
func (p *peers) addrs() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.node.now()
	var list []string
	for name, e := range p.byKey {
		if name == p.node.set.Name || e.Addr == p.node.set.PeerAddr {
			continue
		}
		if l := p.links[e.Addr]; l != nil && now < l.blockedUntil() {
			continue
		}
		list = append(list, e.Addr)
	}
	slices.Sort(list)
	return list
}

func (p *peers) link(addr string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[addr]
	if l == nil {
		l = &link{dialing: make(chan struct{}, 1), now: p.node.now, dial: p.node.set.Dial}
		p.links[addr] = l
	}
	return l
}

func (l *link) blockedUntil() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.until
}

// connect returns the connection, or dials a new one. One caller dials at a time.
func (l *link) connect(addr string) (*rpc.Client, error) {
	l.dialing <- struct{}{}
	defer func() { <-l.dialing }()
	if client, err := l.current(); client != nil || err != nil {
		return client, err
	}
	conn, err := l.dial(addr, peerDialTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.until = l.now() + redialPause
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, errRefused
		}
		return nil, errors.Wrap(errNoPeer, err.Error())
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (l *link) current() (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil && l.now() < l.until {
		return nil, errNoPeer
	}
	return l.client, nil
}

func (l *link) heard() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answered = l.now()
}

// overdue condemns a connection that brought no answer at all since a call was
// sent. One that answers others is only slow at this call.
func (l *link) overdue(c *rpc.Client, sent time.Duration) {
	l.mu.Lock()
	silent := l.answered < sent
	l.mu.Unlock()
	if silent {
		l.condemn(c)
	}
}

// condemn drops a connection: it may have gone silent for good while a new one
// would work.
func (l *link) condemn(c *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == c {
		l.client = nil
	}
	_ = c.Close() // its callers get rpc.ErrShutdown, which says as much
}

// call asks a peer and waits for its answer.
func (p *peers) call(ctx context.Context, addr, method string, args, reply any, timeout time.Duration) error {
	return p.callWhileAlive(ctx, addr, method, args, reply, timeout, timeout)
}

// callWhileAlive asks a peer and waits for its answer; for longer than the timeout,
// up to longest, if the peer answers other questions.
func (p *peers) callWhileAlive(ctx context.Context, addr, method string, args, reply any, timeout, longest time.Duration) error {
	l := p.link(addr)
	client, err := l.connect(addr)
	if err != nil {
		return err
	}
	sent := p.node.now()
	call := client.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1))
	err = p.await(ctx, l, client, call, timeout)
	if errors.Is(err, errOverdue) && longest > timeout && p.call(ctx, addr, "Life", Empty{}, &LifeReply{}, aliveTimeout) == nil {
		err = p.await(ctx, l, client, call, longest-timeout)
	}
	if errors.Is(err, errOverdue) {
		l.overdue(client, sent)
		return errPeerSilent
	}
	return err
}

func (p *peers) await(ctx context.Context, l *link, client *rpc.Client, call *rpc.Call, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		if _, answered := call.Error.(rpc.ServerError); call.Error != nil && !answered {
			l.condemn(client)
			return errors.Wrap(errPeerSilent, call.Error.Error())
		}
		l.heard()
		return call.Error
	case <-timer.C:
		return errOverdue
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Arguments and replies between instances.
type (
	// StateArgs asks for a job's state.
	StateArgs struct {
		Part int
		Job  string
	}
	// StateReply is the owner's answer.
	StateReply struct {
		State pool.State
		Found bool
		Sure  bool
	}
	// PendingArgs asks how many jobs of a queue have not begun.
	PendingArgs struct {
		Part  int
		Queue string
	}
	// PendingReply is the owner's answer.
	PendingReply struct{ Count int }
	// AdviseArgs asks a peer to ask the advice service.
	AdviseArgs struct{ Ask pool.Advise }
	// AdviseReply is what the service said.
	AdviseReply struct {
		Answer pool.Advised
		Busy   bool // with another question
	}
	// StoreArgs asks a peer to store a record, for one that the store turns away.
	StoreArgs struct {
		Part   int
		Record pool.Record
	}
	// SubmitReply tells that a record is stored, or who owns its pool.
	SubmitReply struct {
		Stored bool
		Owner  string // empty if nobody is known
	}
	// TakeArgs asks a peer to claim a pool that its owner leaves.
	TakeArgs struct {
		Part  int
		Epoch uint64
	}
	// OwnerArgs asks whether an instance works as a pool's owner.
	OwnerArgs struct{ Part int }
	// LifeReply tells which process answers, and whether it owns the pool that
	// it was asked about and the store takes what it writes.
	LifeReply struct {
		Life  int64
		Works bool
	}
	// Empty is nothing.
	Empty struct{}
)

// Peer is what an instance does for the others.
type Peer struct{ n *Node }

// State answers for a pool that this instance owns.
func (s Peer) State(a StateArgs, r *StateReply) error {
	u := s.n.unit(a.Part)
	if u == nil {
		return errNotOwner
	}
	var owner bool
	err := u.ask(withTimeout(context.Background(), peerTimeout), func() {
		r.State, r.Found, owner, r.Sure = u.jobState(a.Job)
	})
	if err == nil && !owner {
		return errNotOwner
	}
	return err
}

// Pending answers for a pool that this instance owns.
func (s Peer) Pending(a PendingArgs, r *PendingReply) error {
	u := s.n.unit(a.Part)
	if u == nil {
		return errNotOwner
	}
	var owner bool
	err := u.ask(withTimeout(context.Background(), peerTimeout), func() { r.Count, owner = u.pending(a.Queue) })
	if err == nil && !owner {
		return errNotOwner
	}
	return err
}

// Advise asks the advice service, unless this instance is asking already.
func (s Peer) Advise(a AdviseArgs, r *AdviseReply) error {
	select {
	case s.n.adviseNow <- struct{}{}:
		defer func() { <-s.n.adviseNow }()
	default:
		r.Busy = true
		return nil
	}
	r.Answer = s.n.advisor.Advise(withTimeout(context.Background(), a.Ask.Cost+adviceSlack), a.Ask)
	return nil
}

// Store stores a record.
func (s Peer) Store(a StoreArgs, _ *Empty) error {
	return s.n.throughStore(context.Background(), a.Part, a.Record)
}

// Submit stores a record as the owner of its pool, or tells who owns it.
func (s Peer) Submit(a StoreArgs, r *SubmitReply) error {
	u := s.n.unit(a.Part)
	if u == nil {
		return nil
	}
	err := u.submitAndWait(context.Background(), a.Record)
	if errors.Is(err, errNotOwner) {
		return u.ask(withTimeout(context.Background(), aliveTimeout), func() {
			if addr := u.ownerAddr(); addr != s.n.set.PeerAddr {
				r.Owner = addr
			}
		})
	}
	r.Stored = err == nil
	return err
}

// Take claims a pool that its owner leaves.
func (s Peer) Take(a TakeArgs, _ *Empty) error {
	u := s.n.unit(a.Part)
	if u == nil || s.n.stopping.Load() {
		return errNotOwner
	}
	return u.ask(withTimeout(context.Background(), peerTimeout), func() {
		if u.own == nil && !u.claiming && u.replica.claim.Epoch <= a.Epoch {
			u.replica.claim.Epoch = a.Epoch
			u.claim(context.Background(), "its owner is stopping")
		}
	})
}

// Owner tells which process answers, and whether it works as the pool's owner.
func (s Peer) Owner(a OwnerArgs, r *LifeReply) error {
	r.Life = s.n.life
	u := s.n.unit(a.Part)
	if u == nil {
		return nil
	}
	return u.ask(withTimeout(context.Background(), aliveTimeout), func() {
		r.Works = u.own != nil && !u.own.turnedAway
	})
}

// Life tells which process answers.
func (s Peer) Life(_ Empty, r *LifeReply) error {
	r.Life = s.n.life
	return nil
}

// Serve answers peers until the listener is closed.
func (n *Node) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", Peer{n}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

// advise asks the advice service, one question at a time.
func (n *Node) advise(ctx context.Context, a pool.Advise) pool.Advised {
	n.adviseNow <- struct{}{}
	defer func() { <-n.adviseNow }()
	return n.advisor.Advise(withTimeout(ctx, a.Cost+adviceSlack), a)
}

func (p *peers) advise(ctx context.Context, addr string, a pool.Advise) AdviseReply {
	var r AdviseReply
	if err := p.call(ctx, addr, "Advise", AdviseArgs{Ask: a}, &r, a.Cost+2*adviceSlack); err != nil {
		r.Answer.Failed = true
	}
	return r
}

// handOver asks the peers in turn to claim a pool, and returns who does.
func (p *peers) handOver(ctx context.Context, part int, epoch uint64) string {
	for _, addr := range p.addrs() {
		if p.call(ctx, addr, "Take", TakeArgs{Part: part, Epoch: epoch}, &Empty{}, peerTimeout) == nil {
			p.node.log.Info().Int("pool", part).Str("to", addr).Msg("pool.handed_over")
			return addr
		}
	}
	return ""
}

// probe finds out whether a silent owner's process is gone, or only slow.
func (n *Node) probe(ctx context.Context, u *unit, c claim) {
	var r LifeReply
	err := n.peers.call(ctx, c.Addr, "Owner", OwnerArgs{Part: u.topic.Part}, &r, aliveTimeout)
	switch {
	case err == nil && r.Life == c.Life && r.Works:
		u.send(ctx, func() { u.ownerWorks = n.now() })
	case err == nil && r.Life != c.Life, errors.Is(err, errRefused):
		n.peers.mu.Lock()
		n.peers.gone[process{c.Node, c.Life}] = true
		n.peers.mu.Unlock()
	}
}

func (n *Node) isGone(c claim) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return n.peers.gone[process{c.Node, c.Life}]
}

package node

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// While the store doesn't confirm an ownership, the pool's electors do: a few processes of instances that the owner's
// record in the store names. Most of them have to answer the owner that they know of no newer claim. A new owner takes its
// predecessor for replaced once so many of the predecessor's electors know the new claim, or have ended, that the others
// are no majority. Any two majorities of one list share a process, so after that nothing confirms the predecessor.
//
// Electors are processes and not instances: a process that starts again knows nothing of the claims that it was told. One
// that the store hasn't accepted an entry of for voteDuration goes on as another elector, so that a successor needn't
// wait for it: its former votes are over for good.

const (
	// maxElectors limits the electors of a pool, the owner included.
	maxElectors = 9
	// electorCheckInterval is how often an owner looks for electors that have to be replaced.
	electorCheckInterval = time.Second
	// electorChangePeriod is how long after the store has accepted other electors it has to accept an append, before
	// the former ones needn't confirm the ownership any more: a new owner may have read the owner's record right before.
	electorChangePeriod = 10 * time.Second
	// voteDuration is how long after its last accepted entry among the instances the answer of an elector counts unless
	// all electors answer. An outage of the store in which electors die stops the owner after that time, and a new owner
	// waits that long if most electors are gone for good.
	voteDuration = 2 * time.Minute
	// maxElectorSilence is the time without a new entry after which an owner names another elector.
	maxElectorSilence = 3 * announceInterval
	// voteExpiry is how long after the newest entry that was read of an elector a new owner takes its answer for
	// without effect: longer than voteDuration by clocks of different rates, and by the age of the entries that the
	// store returns.
	voteExpiry = voteDuration*103/100 + 5*time.Second
	// maxListedElectors bounds the electors in an owner's record, in case another program has written it.
	maxListedElectors = 64
)

// elector is a process of an instance, as owners' records name it.
type elector struct {
	Node string `json:"n"`
	// ID is the peerEntry.ElectorID of the process; for instances of older versions, which never vote, its Life.
	ID int64 `json:"id"`
}

func compareElectors(a, b elector) int {
	return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.ID, b.ID))
}

// majority returns how many of n electors are most of them.
func majority(n int) int { return n/2 + 1 }

// predecessor is an owner that its electors may still confirm.
type predecessor struct {
	claim
	Electors []elector `json:"electors"`
}

// ownerRecord is the record of a pool's owner in the store.
type ownerRecord struct {
	claim
	// Electors confirm the ownership while the store doesn't; empty: the owner is of an older version.
	Electors []elector `json:"electors,omitempty"`
	// Predecessors are the earlier owners that may still be confirmed.
	Predecessors []predecessor `json:"predecessors,omitempty"`
	// PredecessorsAsOf is the epoch up to which other earlier owners are over. A claim doesn't know of those that were stored
	// after it was made.
	PredecessorsAsOf uint64 `json:"predecessorsAsOf,omitempty"`
	// RecordsStarts is set once the store holds all starts that may still be carried out, of this owner and earlier ones.
	// Owners of older versions record none.
	RecordsStarts bool `json:"starts,omitempty"`
}

// electorList is a list of electors, and since when the store is known to hold it.
type electorList struct {
	electors []elector
	stored   bool
	storedAt time.Duration
}

// electorate holds the electors of an ownership and the predecessors that aren't known to be over.
type electorate struct {
	mu    sync.Mutex
	lists []electorList // oldest first; those before the newest are in force for a while
	// version is that of the newest list: the number of lists that there were.
	version      int
	predecessors []predecessor
	// predecessorsAsOf is as in ownerRecord.
	predecessorsAsOf uint64
	recordsStarts    bool // as in ownerRecord
}

func newElectorate(c ownerRecord, storedAt time.Duration) *electorate {
	return &electorate{recordsStarts: c.RecordsStarts, lists: []electorList{{electors: c.Electors, stored: true, storedAt: storedAt}}, version: 1, predecessors: c.Predecessors, predecessorsAsOf: c.PredecessorsAsOf}
}

// record returns the owner's record and the version of the electors in it.
func (e *electorate) record(c claim) (ownerRecord, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return ownerRecord{claim: c, Electors: e.lists[len(e.lists)-1].electors, Predecessors: e.predecessors, PredecessorsAsOf: e.predecessorsAsOf, RecordsStarts: e.recordsStarts}, e.version
}

// newest returns the newest list, and whether the store is known to hold it.
func (e *electorate) newest() ([]elector, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.lists[len(e.lists)-1]
	return l.electors, l.stored
}

// replace makes the next record name other electors.
func (e *electorate) replace(electors []elector) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lists = append(e.lists, electorList{electors: electors})
	e.version++
}

// markStored records that the store holds the electors of a version, and reports whether these are the newest. If they
// aren't, the newest may be stored too, by an append before this one.
func (e *electorate) markStored(version int, now time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := len(e.lists) - 1 - (e.version - version)
	if i >= 0 && !e.lists[i].stored {
		e.lists[i].stored, e.lists[i].storedAt = true, now
	}
	return version == e.version
}

// inForce returns the lists of which each has to confirm the ownership: all that a new owner may have found in the store.
// There was none when the store last accepted an append.
func (e *electorate) inForce(accepted time.Duration) [][]elector {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.lists) > 1 && e.lists[1].stored && accepted-e.lists[1].storedAt > electorChangePeriod {
		e.lists = e.lists[1:]
	}
	var lists [][]elector
	for _, l := range e.lists {
		lists = append(lists, l.electors)
	}
	return lists
}

// setRecordsStarts makes the next records say that the store holds all starts that may still be carried out.
func (e *electorate) setRecordsStarts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordsStarts = true
}

// removePredecessor removes a predecessor that is over, and returns how many are left.
func (e *electorate) removePredecessor(epoch uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.predecessors = slices.DeleteFunc(slices.Clone(e.predecessors), func(f predecessor) bool { return f.Epoch == epoch })
	return len(e.predecessors)
}

// setPredecessors sets the predecessors, which are all that aren't known to be over up to an epoch.
func (e *electorate) setPredecessors(list []predecessor, asOf uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.predecessors, e.predecessorsAsOf = list, asOf
}

// self returns this process as an elector.
func (n *Node) self() elector { return elector{n.opts.Name, n.peers.electorID.Load()} }

// chooseElectors returns the electors of the pool while this instance owns it: the present ones that still run, as far as
// is known, and the instances that come next as owners, those last that can't be reached at present.
func (pc *poolController) chooseElectors(present []elector) []elector {
	peers := pc.node.peers
	electors := []elector{pc.node.self()}
	add := func(e elector) {
		if len(electors) < maxElectors && !slices.ContainsFunc(electors, func(other elector) bool { return other.Node == e.Node }) && peers.mayVote(e) {
			electors = append(electors, e)
		}
	}
	for _, e := range present {
		add(e)
	}
	all := peers.others(func(peerEntry) bool { return true })
	for _, list := range [][]peerEntry{peers.alive(), all} {
		slices.SortStableFunc(list, func(a, b peerEntry) int {
			if pc.candidate(a).before(pc.candidate(b)) {
				return -1
			}
			return 1 // names are unique
		})
		for _, p := range list {
			add(p.elector())
		}
	}
	return electors
}

// updateElectors replaces electors that have ended or left.
func (o *ownership) updateElectors() {
	now := o.pc.node.now()
	present, stored := o.electorate.newest()
	if !stored || now-o.electorsCheckedAt < electorCheckInterval || o.appendsFailing {
		return
	}
	o.electorsCheckedAt = now
	if next := o.pc.chooseElectors(present); !slices.Equal(next, present) {
		o.electorate.replace(next)
		o.recordChanged = true
	}
}

// newestClaims holds the highest epoch of a claim of each pool that this process was told of or has read.
type newestClaims struct {
	mu     sync.Mutex
	epochs map[int]uint64 // by part
}

func (c *newestClaims) note(part int, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epochs == nil {
		c.epochs = map[int]uint64{}
	}
	c.epochs[part] = max(c.epochs[part], epoch)
}

func (c *newestClaims) epoch(part int) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epochs[part]
}

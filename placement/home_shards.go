package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// shardEntry is what the home knows about one shard: its last digest, less what
// the home has requested since.
type shardEntry struct {
	Digest
	known bool
	// reportedAt is when the shard last reported its free capacity, by a digest
	// or a refusal.
	reportedAt time.Duration
	// version is increased by each digest; a refusal is valid for one version.
	version uint64
}

// shardTable holds the shards that a home may ask. Its digests are always
// somewhat stale; they only decide which shards are asked first.
type shardTable struct {
	list  []shardEntry
	index map[ownership.Unit]int
	// reporting are the indexes of the shards that have reported their
	// capacity.
	reporting []int
	total     infra.Resources
	seed      uint64
}

func newShardTable(seed uint64) shardTable {
	return shardTable{index: map[ownership.Unit]int{}, seed: seed}
}

func (r *shardTable) setShards(shards []ownership.Unit) {
	old, oldIndex := r.list, r.index
	r.list, r.index, r.total = make([]shardEntry, len(shards)), make(map[ownership.Unit]int, len(shards)), infra.Resources{}
	r.reporting = nil
	for i, s := range shards {
		r.list[i].Shard = s
		r.index[s] = i
		if k, ok := oldIndex[s]; ok {
			r.list[i] = old[k]
		}
		// Refusals are recorded by index: the new version keeps them from
		// applying to the shard that has the index now.
		r.list[i].version++
		if r.list[i].known {
			r.reporting = append(r.reporting, i)
		}
		r.total = r.total.Add(r.list[i].Total)
	}
}

// setDigest stores a digest and reports whether it shows more free capacity
// than before.
func (r *shardTable) setDigest(now time.Duration, d Digest) bool {
	i, ok := r.index[d.Shard]
	if !ok {
		return false
	}
	k := &r.list[i]
	grew := !k.known || d.Free.MilliCPU > k.Free.MilliCPU || d.Free.MemoryMiB > k.Free.MemoryMiB ||
		d.Free.Accelerators > k.Free.Accelerators
	r.total = r.total.Add(d.Total).Sub(k.Total)
	r.markReported(i, now)
	k.Digest = d
	k.version++
	return grew
}

// markReported records that a shard has reported its capacity.
func (r *shardTable) markReported(i int, now time.Duration) {
	if !r.list[i].known {
		r.list[i].known = true
		r.reporting = append(r.reporting, i)
	}
	r.list[i].reportedAt = now
}

// setCapacity sets the size of a shard's workers from the platform's list,
// because in a large cell most shards send no digest to a given home.
func (r *shardTable) setCapacity(s ownership.Unit, largest infra.Resources) {
	if i, ok := r.index[s]; ok && !r.list[i].known {
		r.list[i].Largest = largest
	}
}

// setEpoch stores the newest owner of a shard and reports whether it has
// replaced another owner.
func (r *shardTable) setEpoch(s ownership.Unit, epoch infra.Offset) bool {
	i, ok := r.index[s]
	if !ok || epoch <= r.list[i].Epoch {
		return false
	}
	replaced := r.list[i].Epoch != 0
	r.list[i].Epoch = epoch
	return replaced
}

func (r *shardTable) epoch(s ownership.Unit) infra.Offset {
	if i, ok := r.index[s]; ok {
		return r.list[i].Epoch
	}
	return 0
}

// deduct lowers a shard's known free capacity by what was requested from it.
func (r *shardTable) deduct(i int, need infra.Resources) { r.list[i].Free = r.list[i].Free.Sub(need) }

// restore undoes deduct, unless a newer digest has replaced the value since.
func (r *shardTable) restore(t *homeTask) {
	if i, ok := r.index[t.shard]; ok && r.list[i].version == t.digestVersion {
		r.list[i].Free = r.list[i].Free.Add(t.need)
	}
}

// random is the splitmix64 generator. Its state belongs to the home, so that
// equal events lead to equal actions.
func (r *shardTable) random(n int) int {
	r.seed += 0x9e3779b97f4a7c15
	z := r.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(n))
}

// Limits of the search for a shard: up to maxProbes random shards are examined
// to find wantedCandidates that fit; if none fits, all shards are examined.
const (
	maxProbes        = 8
	wantedCandidates = 2
)

// search describes the shard that is wanted.
type search struct {
	need infra.Resources
	// ignoreFree also accepts shards without enough free capacity whose workers
	// are large enough. staleOnly accepts only such shards that have reported
	// nothing since the given time.
	ignoreFree bool
	staleOnly  bool
	since      time.Duration
	refused    map[int]uint64
	// avoidShards are shards where the task has failed; others are preferred.
	avoidShards []ownership.Unit
	// tasksPerShard counts the job's tasks on each shard if they should be
	// spread.
	tasksPerShard map[ownership.Unit]int
}

// choose returns the index of the better of two random shards that fit, so that
// homes with the same stale digests don't all ask the same shard. It returns
// noIndex if no shard fits.
func (r *shardTable) choose(s search) int {
	n := len(r.list)
	at := func(k int) int { return k }
	if !s.staleOnly && !s.ignoreFree {
		n = len(r.reporting)
		at = func(k int) int { return r.reporting[k] }
	}
	if n == 0 {
		return noIndex
	}
	best, found := noIndex, 0
	for k := 0; n > maxProbes && k < maxProbes && found < wantedCandidates; k++ {
		i := at(r.random(n))
		if !r.fits(i, s) {
			continue
		}
		if found++; best == noIndex || r.better(i, best, s) {
			best = i
		}
	}
	if best != noIndex && !r.needsFullScan(best, s) {
		return best
	}
	start := r.random(n)
	for k := range n {
		i := at((start + k) % n)
		if r.fits(i, s) && (best == noIndex || r.better(i, best, s)) {
			best = i
		}
	}
	return best
}

func (r *shardTable) fits(i int, s search) bool {
	k := &r.list[i]
	if s.staleOnly {
		return (!k.known || k.reportedAt < s.since) && s.need.Fits(k.Largest)
	}
	if s.refused[i] == k.version {
		return false
	}
	if s.ignoreFree {
		return s.need.Fits(k.Largest)
	}
	return k.known && s.need.Fits(k.Free) && s.need.Fits(k.Largest)
}

// needsFullScan reports whether all shards should be examined for a better one:
// the task has failed on this shard, or it would occupy workers with
// accelerators that it does not need.
func (r *shardTable) needsFullScan(i int, s search) bool {
	return contains(s.avoidShards, r.list[i].Shard) || (s.need.Accelerators == 0 && r.list[i].Total.Accelerators > 0)
}

func (r *shardTable) better(i, j int, s search) bool {
	a, b := &r.list[i], &r.list[j]
	if x, y := contains(s.avoidShards, a.Shard), contains(s.avoidShards, b.Shard); x != y {
		return y
	}
	if x, y := s.tasksPerShard[a.Shard], s.tasksPerShard[b.Shard]; x != y {
		return x < y
	}
	if s.need.Accelerators == 0 {
		if x, y := a.Total.Accelerators > 0, b.Total.Accelerators > 0; x != y {
			return y
		}
	}
	return a.Free.MilliCPU > b.Free.MilliCPU
}

func contains[T comparable](list []T, x T) bool {
	for _, l := range list {
		if l == x {
			return true
		}
	}
	return false
}

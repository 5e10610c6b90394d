package placement

import (
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/ownership"
)

// room is what the home knows of one shard: its last digest, less what the home
// has asked of it since.
type room struct {
	Digest
	known bool
	// heardAt is when the shard last told of its room, by a digest or a refusal.
	heardAt time.Duration
	// version counts the digests: a refusal counts until the next one.
	version uint64
}

// rooms is the shards a home may ask. Digests are stale by nature; they only say
// where to ask first.
type rooms struct {
	list  []room
	index map[ownership.Unit]int
	// heard are the indexes of the shards that have told of their room.
	heard []int
	total infra.Resources
	seed  uint64
}

func newRooms(seed uint64) rooms {
	return rooms{index: map[ownership.Unit]int{}, seed: seed}
}

func (r *rooms) setShards(shards []ownership.Unit) {
	old, oldIndex := r.list, r.index
	r.list, r.index, r.total = make([]room, len(shards)), make(map[ownership.Unit]int, len(shards)), infra.Resources{}
	r.heard = nil
	for i, s := range shards {
		r.list[i].Shard = s
		r.index[s] = i
		if k, ok := oldIndex[s]; ok {
			r.list[i] = old[k]
		}
		// A refusal that was noted by position must not count for the shard
		// that has that position now.
		r.list[i].version++
		if r.list[i].known {
			r.heard = append(r.heard, i)
		}
		r.total = r.total.Add(r.list[i].Total)
	}
}

// setDigest notes a digest and reports whether it shows more room than before.
func (r *rooms) setDigest(now time.Duration, d Digest) bool {
	i, ok := r.index[d.Shard]
	if !ok {
		return false
	}
	k := &r.list[i]
	grew := !k.known || d.Free.MilliCPU > k.Free.MilliCPU || d.Free.MemoryMiB > k.Free.MemoryMiB ||
		d.Free.Accelerators > k.Free.Accelerators
	r.total = r.total.Add(d.Total).Sub(k.Total)
	r.hear(i, now)
	k.Digest = d
	k.version++
	return grew
}

// hear notes that a shard has told of its room.
func (r *rooms) hear(i int, now time.Duration) {
	if !r.list[i].known {
		r.list[i].known = true
		r.heard = append(r.heard, i)
	}
	r.list[i].heardAt = now
}

// setCapacity notes what the platform's list says of a shard's workers, as most
// shards of a large cell tell a home nothing of themselves.
func (r *rooms) setCapacity(s ownership.Unit, largest infra.Resources) {
	if i, ok := r.index[s]; ok && !r.list[i].known {
		r.list[i].Largest = largest
	}
}

// setEpoch notes the newest owner of a shard and reports whether it has replaced
// another.
func (r *rooms) setEpoch(s ownership.Unit, epoch infra.Offset) bool {
	i, ok := r.index[s]
	if !ok || epoch <= r.list[i].Epoch {
		return false
	}
	replaced := r.list[i].Epoch != 0
	r.list[i].Epoch = epoch
	return replaced
}

func (r *rooms) epoch(s ownership.Unit) infra.Offset {
	if i, ok := r.index[s]; ok {
		return r.list[i].Epoch
	}
	return 0
}

// take lowers a shard's known room by what was asked of it.
func (r *rooms) take(i int, need infra.Resources) { r.list[i].Free = r.list[i].Free.Sub(need) }

// giveBack undoes take, unless a digest has told since what is really free.
func (r *rooms) giveBack(t *homeTask) {
	if i, ok := r.index[t.shard]; ok && r.list[i].version == t.roomVersion {
		r.list[i].Free = r.list[i].Free.Add(t.need)
	}
}

// random is splitmix64: a generator of the home's own, so that the same events
// give the same actions.
func (r *rooms) random(n int) int {
	r.seed += 0x9e3779b97f4a7c15
	z := r.seed
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	z ^= z >> 31
	return int(z % uint64(n))
}

// Bounds of the search for a shard: up to probes random looks for enough
// candidates; when they find none, all shards are looked at.
const (
	probes     = 8
	candidates = 2
)

// search is what a shard is looked for.
type search struct {
	need infra.Resources
	// anyCapable also takes shards without room now, whose workers are large
	// enough. unheard takes only such of which nothing was heard since.
	anyCapable bool
	unheard    bool
	since      time.Duration
	refused    map[int]uint64
	// avoid names shards where the task has failed; others go first.
	avoid []ownership.Unit
	// placed counts the job's tasks per shard, where they should be spread.
	placed map[ownership.Unit]int
}

// choose returns the index of the better of two random shards that fit, so that
// homes with the same stale digests don't all ask the same shard.
func (r *rooms) choose(s search) int {
	n := len(r.list)
	at := func(k int) int { return k }
	if !s.unheard && !s.anyCapable {
		n = len(r.heard)
		at = func(k int) int { return r.heard[k] }
	}
	if n == 0 {
		return noIndex
	}
	best, found := noIndex, 0
	for k := 0; n > probes && k < probes && found < candidates; k++ {
		i := at(r.random(n))
		if !r.fits(i, s) {
			continue
		}
		if found++; best == noIndex || r.better(i, best, s) {
			best = i
		}
	}
	if best != noIndex && !r.poor(best, s) {
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

func (r *rooms) fits(i int, s search) bool {
	k := &r.list[i]
	if s.unheard {
		return (!k.known || k.heardAt < s.since) && s.need.Fits(k.Largest)
	}
	if s.refused[i] == k.version {
		return false
	}
	if s.anyCapable {
		return s.need.Fits(k.Largest)
	}
	return k.known && s.need.Fits(k.Free) && s.need.Fits(k.Largest)
}

// poor reports whether a shard found at random is worth a look at all others:
// the task has failed there, or it would sit on accelerators it does not use.
func (r *rooms) poor(i int, s search) bool {
	return contains(s.avoid, r.list[i].Shard) || (s.need.Accelerators == 0 && r.list[i].Total.Accelerators > 0)
}

func (r *rooms) better(i, j int, s search) bool {
	a, b := &r.list[i], &r.list[j]
	if x, y := contains(s.avoid, a.Shard), contains(s.avoid, b.Shard); x != y {
		return y
	}
	if x, y := s.placed[a.Shard], s.placed[b.Shard]; x != y {
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

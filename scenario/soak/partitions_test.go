package soak

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

// Guards against a partition whose end heals links that another one still cuts.
func TestLinksOfTwoPartitionsHaveTheNewerFault(t *testing.T) {
	links := newLinks(t, 3)
	first := &partition{faults: map[*proxy]fault{links[0]: stalls, links[1]: stalls}}
	second := &partition{faults: map[*proxy]fault{links[1]: resets, links[2]: resets}}
	r := &run{}
	check := func(want ...fault) {
		t.Helper()
		for i, l := range links {
			f, _ := l.state()
			assert.Equal(t, f, want[i], "link %d", i)
		}
	}
	begin := func(p *partition) {
		r.partitions = append(r.partitions, p)
		r.applyPartitions(p)
	}
	begin(first)
	begin(second)
	check(stalls, resets, resets)
	r.endPartition(first)
	check(noFault, resets, resets)
	begin(first)
	check(stalls, stalls, resets)
	r.endPartition(first)
	r.endPartition(second)
	check(noFault, noFault, noFault)
}

// Guards against one-way cuts that lose nothing, or lose both directions of a kind of link.
func TestOneWayCutsLoseOneDirectionOfEachKind(t *testing.T) {
	proxies := newLinks(t, 2*int(linkKinds))
	var links []link
	for kind := range linkKinds {
		links = append(links, link{proxies[2*kind], kind, true}, link{proxies[2*kind+1], kind, false})
	}
	lost := map[fault]fault{stallsRequests: stallsAnswers, stallsAnswers: stallsRequests}
	seen := map[fault]bool{}
	for seed := range uint64(50) {
		faults, what := oneWay(rand.New(rand.NewPCG(seed, 0)), links, 0)
		assert.Assert(t, len(faults) > 0, what)
		for kind := range linkKinds {
			fromOwner, toOwner := faults[proxies[2*kind]], faults[proxies[2*kind+1]]
			assert.Equal(t, toOwner, lost[fromOwner], what)
			seen[fromOwner] = true
		}
	}
	assert.Assert(t, is.Len(seen, 3), "each kind is cut in each direction, and not cut")
}

// Guards against links that a partition leaves out, or cuts within a side.
func TestPartitionCutsTheLinksBetweenItsSides(t *testing.T) {
	r := &run{}
	names, workers := []string{"a", "b", "c"}, []string{"w0", "w1", "w2", "w3"}
	for _, name := range names {
		i := &instance{access: &access{store: newLinks(t, 1)[0], workers: map[string]*proxy{}, peers: map[string]*proxy{}}}
		i.config.Name, i.config.Peers = name, name
		for _, w := range workers {
			i.access.workers[w] = newLinks(t, 1)[0]
		}
		for _, other := range names {
			i.access.peers[other] = newLinks(t, 1)[0]
		}
		r.instances = append(r.instances, i)
	}
	s := side{r.instances[0], r.instances[:2], workers[:1]}
	var want []link
	for n, i := range r.instances {
		inside := n < 2
		if inside {
			want = append(want, link{i.access.store, toStore, true})
		}
		for k, w := range workers {
			if inside != (k < 1) {
				want = append(want, link{i.access.workers[w], toWorker, inside})
			}
		}
		for k, other := range names {
			if inside != (k < 2) {
				want = append(want, link{i.access.peers[other], toInstance, inside})
			}
		}
	}
	got := r.linksAcross(s)
	assert.Equal(t, len(got), len(want))
	for _, l := range want {
		assert.Assert(t, slices.Contains(got, l))
	}
	cut := map[linkKind]int{}
	faults, _ := r.drawFaults(rand.New(rand.NewPCG(1, 0)), StorePartitions, s)
	for _, l := range got {
		if faults[l.proxy] != noFault {
			cut[l.kind]++
			assert.Assert(t, l.kind == toStore || !l.fromOwner)
		}
	}
	assert.DeepEqual(t, cut, map[linkKind]int{toStore: 2, toWorker: 1})
	faults, _ = r.drawFaults(rand.New(rand.NewPCG(1, 0)), MajorityPartitions, s)
	assert.Equal(t, len(faults), len(want))
}

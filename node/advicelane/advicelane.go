// Package advicelane divides the instances among the requests to the advice service. The service
// handles one call at a time for each instance. Several pools' owners send requests through all
// instances, and expensive requests of one owner must not occupy the instances on which cheap requests
// of another rely. So the lane of an instance follows from its address alone: owners agree without a
// message. Each leaves out itself, so they may differ in the instances next to the bounds of a lane.
// The package does no I/O.
package advicelane

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Lane tells which requests an instance sends.
type Lane int

// The lanes. Cheap requests may use each of them.
const (
	// Any sends all requests.
	Any Lane = iota
	// CheapOrLate sends expensive requests only of jobs that are late.
	CheapOrLate
	// CheapOnly sends no expensive requests.
	CheapOnly
	// Lanes is the number of lanes.
	Lanes
)

const (
	// ReservedDivisor is the number of instances of which one is reserved for cheap requests. With 10 s
	// of expensive requests a second, of 0.7 s and more each, those of small jobs waited until one of 32
	// instances had completed an expensive request: 4 s.
	ReservedDivisor = 3
	// minLate and lateDivisor determine how many reserved instances late jobs' expensive requests may use.
	// In a deployment of seven instances these two are idle most of the time otherwise. With
	// all of 14 reserved ones, cheap requests of 35 ms waited up to 10 s behind them.
	minLate     = 2
	lateDivisor = 12
)

// Assign returns the lanes of instances by their addresses. It doesn't depend on the order of the
// addresses. An instance that joins or leaves changes the lane of at most two others.
func Assign(addrs []string) map[string]Lane {
	ranked := slices.Clone(addrs)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b)) })
	ranked = slices.Compact(ranked)
	reserved := len(ranked) / ReservedDivisor
	late := min(reserved, max(minLate, len(ranked)/lateDivisor))
	lanes := make(map[string]Lane, len(ranked))
	for i, addr := range ranked {
		switch {
		case i < reserved-late:
			lanes[addr] = CheapOnly
		case i < reserved:
			lanes[addr] = CheapOrLate
		default:
			lanes[addr] = Any
		}
	}
	return lanes
}

func hash(addr string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(addr)) // a hash never returns an error
	return h.Sum32()
}

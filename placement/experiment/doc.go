// Package experiment runs placement policies over a list of workers in virtual
// time and measures waiting, packing and cost. Policies are the product's own
// homes and shards, and simple baselines on the same work. It models no network,
// no processes and no platform: only when work arrives, starts and ends.
package experiment

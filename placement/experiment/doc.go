// Package experiment simulates placement policies on a list of workers in
// virtual time and measures waiting times, utilization and cost. The policies
// are the real homes and shards of package placement and simple baselines, all
// with the same jobs. Network, processes and platform are not modelled: only
// when tasks arrive, start and end.
package experiment

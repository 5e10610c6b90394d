// Package experiment plays a pool's core against a synthetic load in virtual time,
// without network, store or processes: jobs arrive, workers run tasks, an advice
// service answers slowly. It tells what the jobs earned, by queue, so that a policy
// can be measured on hundreds of loads in seconds. Equal seeds give equal plays.
package experiment

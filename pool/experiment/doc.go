// Package experiment simulates the core of a pool with a synthetic workload in virtual time,
// without network, store or processes: jobs arrive, workers run tasks, and an advice service
// answers slowly. The result is the value that the jobs earned, by queue, so that a scheduling
// policy can be measured on hundreds of workloads in seconds. Equal seeds give equal results.
package experiment

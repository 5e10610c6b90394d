package pool

import "time"

// An accepted job is in its owner's memory until it has ended, so a pool accepts only as many jobs as fit.

const (
	// jobMemory, stepMemory and taskMemory are what a job, a step and a task of an open occurrence take in
	// memory, in bytes, with their shares of lists and maps.
	jobMemory  = 768
	stepMemory = 640
	taskMemory = 256
	// poolMemoryFraction is the part of the process's memory that the jobs of a pool may take with one occurrence
	// each, and jobMemoryFraction that of a single job. The rest is for other pools, copies of them, what runs,
	// and garbage.
	poolMemoryFraction = 4
	jobMemoryFraction  = 12
	// memoryRetryDelay is when the caller of a job may return that was refused for lack of memory.
	memoryRetryDelay = 10 * time.Second
)

// memory estimates what the job takes in memory with one open occurrence, in bytes.
func (j *Job) memory() int64 {
	n := int64(jobMemory + len(j.Payload) + stepMemory*len(j.Steps))
	for i := range j.Steps {
		n += taskMemory * int64(j.Steps[i].Count)
	}
	return n
}

// refuseForMemory refuses a job that doesn't fit into memory beside those that were accepted.
func (c *Core) refuseForMemory(j *Job) Admission {
	if limit := c.settings.MaxMemory / poolMemoryFraction; limit > 0 && c.memory+j.memory() > limit {
		return Admission{Refused: true, Bottleneck: MemoryBottleneck, RetryAfter: memoryRetryDelay}
	}
	return Admission{}
}

package pool

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// newWeightRig returns a rig with organisations of weight 1 without caps.
func newWeightRig(t *testing.T) *rig {
	r := newOwnerRig(t)
	r.step(OrganisationsChanged{Organisations: map[string]organisation.Organisation{
		"noisy": {Name: "noisy", Weight: 1}, "quiet": {Name: "quiet", Weight: 1}}})
	r.advance(estimateDelay + 100*time.Millisecond)
	for _, w := range []string{"w1", "w2", "w3"} {
		r.answerHold(w, nil)
	}
	return r
}

// submit admits a job and, unless it is refused, reports it as stored.
func (r *rig) admit(org, id string) Admission {
	j := Job{ID: id, Organisation: org, Queue: "q", Service: "s", Payload: "p", Steps: []StepSpec{smallStep(1)}, AcceptedMs: r.unixMs()}
	a := r.core.Admit(r.now, j)
	if !a.Refused {
		r.step(JobStored{Job: j})
	}
	return a
}

// Pattern: noisy neighbour. One organisation submits many jobs at once; another one's job that comes
// later starts before those beyond the noisy one's weight.
func TestJobsBeyondAWeightComeAfterThoseWithinOne(t *testing.T) {
	r := newWeightRig(t)
	for n := range 14 {
		r.admit("noisy", fmt.Sprintf("n%02d", n))
	}
	first := r.acceptStarts()
	assert.Equal(t, len(first), 12, "all cores are in use")
	r.admit("quiet", "q")
	r.answerHold(first[0].Worker, nil, EndedRun{Number: 1, Task: first[0].Task, Run: 1, How: Done})
	starts := r.acceptStarts()
	assert.Assert(t, len(starts) > 0)
	assert.Equal(t, starts[0].Task.Job, "q")
}

// Pattern: noisy neighbour. While jobs wait, those beyond a weight are refused, with the time in which the
// weight makes up for them; jobs within a weight aren't. Without a wait nothing is refused.
func TestJobsBeyondAWeightAreRefusedFirst(t *testing.T) {
	r := newWeightRig(t)
	for n := range 12 {
		assert.Assert(t, !r.admit("noisy", fmt.Sprintf("n%02d", n)).Refused, "there is free capacity")
	}
	assert.Equal(t, len(r.acceptStarts()), 12)
	for n := range 6 {
		r.admit("quiet", fmt.Sprintf("w%02d", n))
	}
	r.advance(800 * time.Millisecond)
	a := r.admit("noisy", "more")
	assert.Assert(t, a.Refused)
	assert.Equal(t, a.Bottleneck, WeightBottleneck)
	assert.Assert(t, a.RetryAfter > 5*time.Second, "seven jobs beyond the weight at one a second: %v", a.RetryAfter)
	r.advance(time.Second)
	assert.Assert(t, !r.admit("quiet", "within").Refused)
}

// Guards against jobs of callers without an organisation that count as beyond a weight.
func TestJobsWithoutAnOrganisationAreBeyondNoWeight(t *testing.T) {
	r := newWeightRig(t)
	for n := range 40 {
		r.admit("", fmt.Sprintf("j%02d", n))
		assert.Assert(t, !r.core.jobs[fmt.Sprintf("j%02d", n)].beyondWeight)
	}
}

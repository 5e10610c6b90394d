package node_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/node"
	"github.com/knapweedweir/knapweedweir/organisation"
	"github.com/knapweedweir/knapweedweir/pool"
	"github.com/knapweedweir/knapweedweir/standin/machines"
)

// Guards against a job that callers of another organisation see, cancel or replace: while it waits or
// runs, after its end, at the owner, with a copy, without one, and after all instances have restarted.
func TestJobsAreVisibleToTheirOrganisationOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false)
		defer c.close()
		c.copies = 1
		for _, name := range []string{"a", "b", "c"} {
			c.join(name, 1)
		}
		c.addWorker(0)
		c.setCaps(20, 20)
		time.Sleep(5 * time.Second)
		c.submitOrganisationJob(organisationJob(1, 1, "o0", queueName, machines.Service))
		for _, wait := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
			time.Sleep(wait)
			c.checkVisibility(jobID(1))
		}
		for _, name := range c.names() {
			c.kill(name)
		}
		time.Sleep(time.Second)
		for _, name := range c.names() {
			c.restart(name)
		}
		time.Sleep(10 * time.Second)
		c.checkVisibility(jobID(1))
		c.check()
	})
}

// checkVisibility checks that every instance shows a job of o0 to callers of o0 only.
func (c *cluster) checkVisibility(job string) {
	c.t.Helper()
	for _, m := range c.up() {
		_, v := m.node.StateFor(c.ctx, "o0", machines.Service, job)
		assert.Equal(c.t, v, node.Accepted, m.name)
		for _, other := range []string{"o1", ""} {
			_, v = m.node.StateFor(c.ctx, other, machines.Service, job)
			assert.Equal(c.t, v, node.NoSuchJob, "%s, for %q", m.name, other)
			assert.Equal(c.t, m.node.CancelFor(c.ctx, other, machines.Service, job), node.NoSuchJob)
			again := organisationJob(1, 1, other, queueName, machines.Service)
			assert.Equal(c.t, m.node.Submit(c.ctx, again), node.OtherOrganisation, "%s, for %q", m.name, other)
		}
		assert.Equal(c.t, m.node.Submit(c.ctx, organisationJob(1, 1, "o0", queueName, machines.Service)), node.Accepted)
	}
}

// Guards against an organisation that loses its accepted jobs with its last key, and against a job that
// is stored twice when it is submitted again with another key.
func TestAcceptedJobsOutliveTheKeysOfTheirOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		c.addWorker(0)
		configure := func(keys ...string) {
			c.world.SetOrganisations([]organisation.Entry{{Organisation: organisation.Organisation{Name: "o0", Cap: organisation.Amounts{20_000}}, Keys: keys}})
			c.configureNext()
			time.Sleep(3 * time.Second)
		}
		configure("first")
		c.submitOrganisationJob(organisationJob(1, 3, "o0", queueName, machines.Service))
		configure("second")
		for _, m := range c.up() {
			_, held := m.node.Config().Organisations.OfKey("first")
			assert.Assert(t, !held)
			org, held := m.node.Config().Organisations.OfKey("second")
			assert.Assert(t, held && org == "o0")
			assert.Equal(t, m.node.Submit(c.ctx, organisationJob(1, 3, "o0", queueName, machines.Service)), node.Accepted)
		}
		configure()
		time.Sleep(5 * time.Second)
		state, v := c.members["a"].node.StateFor(c.ctx, "o0", machines.Service, jobID(1))
		assert.Equal(t, v, node.Accepted)
		assert.Equal(t, state, pool.Completed)
		c.check()
	})
}

// Guards against keys in logs, dumps and stored records.
func TestKeysAreNeitherLoggedNorStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, false, "a", "b", "c")
		defer c.close()
		c.addWorker(0)
		const key = "verysecretkey"
		c.world.SetOrganisations([]organisation.Entry{{Organisation: organisation.Organisation{Name: "o0", Cap: organisation.Amounts{20_000}}, Keys: []string{key}}})
		c.configureNext()
		time.Sleep(3 * time.Second)
		c.submitOrganisationJob(organisationJob(1, 3, "o0", queueName, machines.Service))
		c.world.SetOrganisations([]organisation.Entry{{Organisation: organisation.Organisation{Name: ""}, Keys: []string{key, key}}})
		c.configureNext() // invalid
		time.Sleep(3 * time.Second)
		texts := map[string]string{"logs": c.logs.linesContaining("")}
		for _, m := range c.up() {
			texts["dump of "+m.name] = string(pool.Encode(m.node.Dump(c.ctx)))
		}
		for _, topic := range c.world.Topics() {
			if topic == machines.ConfigTopic {
				continue // the operators' own records
			}
			page, _, _, err := c.up()[0].view.Newest(c.ctx, topic, "")
			assert.NilError(t, err)
			for _, rec := range page {
				texts[topic.Name] += rec.Key + string(rec.Value)
			}
		}
		for where, text := range texts {
			assert.Assert(t, text != "" && !strings.Contains(text, key), "%s: %s", where, text)
		}
	})
}

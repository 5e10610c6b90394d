package settings

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFindingsOfATeam(t *testing.T) {
	_, findings := Change{Team: "Order Desk", File: "f", Document: `{
  "quota": {"milliCpu": -1},
  "services": {"a": {"worth": -1}, "b": {"deadline": "0s"}, "": {"deadline": "1s"}},
  "policies": {"bulk": {}, "gang": {"priority": 101, "maxAttempts": -1}}
}`}.Check()
	assert.Equal(t, findings.Error(), `f:2:12: quota: amounts must not be negative
f:3:21: services.a.deadline: must be set and above zero, such as "2s"
f:3:31: services.a.worth: must not be negative
f:3:54: services.b.deadline: must be set and above zero, such as "2s"
f:3:65: services.: a service must have a name without "/"
f:4:24: policies.bulk: unknown kind of job; known are service, batch and gang
f:4:49: policies.gang.priority: must be between 0 and 100
f:4:69: policies.gang.maxAttempts: must not be negative
f:1:1: team name "Order Desk" must be lower-case letters, digits and dashes`)
}

func TestDefaultWorth(t *testing.T) {
	team, findings := Change{Team: "a", Document: `{"services": {"s": {"deadline": "1s"}}}`}.Check()
	assert.NilError(t, findings.Err())
	assert.Equal(t, team.Services["s"].Worth, 1.0)
}

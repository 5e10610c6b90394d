package placement

import (
	"strconv"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Labels of a task at its worker. The worker's report returns them, so that a
// new owner of the shard treats an adopted task as its predecessor did.
const (
	labelTeam           = "team"
	labelName           = "name"
	labelKind           = "kind"
	labelPriority       = "priority"
	labelUrgent         = "urgent"
	labelCheckpointable = "checkpointable"
	labelBorrowed       = "borrowed"
	labelExpectedMillis = "expectedMillis"
)

// hints holds the attributes of a task that are used to compare it with others.
type hints struct {
	team, name     string
	kind           JobKind
	priority       int
	urgent         bool
	checkpointable bool
	borrowed       bool
	accepted       infra.Offset
	expected       time.Duration
}

func hintsOf(m Place) hints {
	return hints{team: m.Team, name: m.Name, kind: m.Kind, priority: m.Priority, urgent: m.Urgent,
		checkpointable: m.Checkpointable, borrowed: m.Borrowed, accepted: m.Accepted, expected: m.ExpectedRun}
}

func (h hints) labels() map[string]string {
	l := map[string]string{labelTeam: h.team, labelKind: string(h.kind)}
	set := func(name string, on bool, value string) {
		if on {
			l[name] = value
		}
	}
	set(labelName, h.name != "", h.name)
	set(labelPriority, h.priority != 0, strconv.Itoa(h.priority))
	set(labelUrgent, h.urgent, "true")
	set(labelCheckpointable, h.checkpointable, "true")
	set(labelBorrowed, h.borrowed, "true")
	set(labelExpectedMillis, h.expected > 0, strconv.FormatInt(h.expected.Milliseconds(), 10))
	return l
}

// hintsFrom decodes labels. A label that is missing or unreadable counts as not
// set: hints influence the choice between tasks, but safety doesn't depend on
// them.
func hintsFrom(l map[string]string) hints {
	priority, _ := strconv.Atoi(l[labelPriority])
	expected, _ := strconv.ParseInt(l[labelExpectedMillis], 10, 64)
	return hints{team: l[labelTeam], name: l[labelName], kind: JobKind(l[labelKind]), priority: priority,
		urgent: l[labelUrgent] == "true", checkpointable: l[labelCheckpointable] == "true",
		borrowed: l[labelBorrowed] == "true", expected: time.Duration(expected) * time.Millisecond}
}

package node

import (
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// eventCounters are the counters of decisions by event. To look up a tagged scope and its counter for each decision takes
// a twentieth of what an owner spends on a start outside of its calls. Events are constants, so their number is bounded.
type eventCounters struct {
	scope    tally.Scope
	counters sync.Map // from string to tally.Counter
}

// get returns the counter of an event.
func (e *eventCounters) get(event string) tally.Counter {
	if c, ok := e.counters.Load(event); ok {
		return c.(tally.Counter)
	}
	c := e.scope.Tagged(map[string]string{"event": strings.ReplaceAll(event, ".", "_")}).Counter("decisions")
	e.counters.Store(event, c)
	return c
}

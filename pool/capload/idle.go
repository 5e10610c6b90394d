package capload

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// idleValidity is how long another pool's report of its idle share counts. Reports come each second; after
// three missing ones the link or the owner is lost, and the share can't be moved.
const idleValidity = 3 * time.Second

// Idle holds what organisations may use in other pools and don't want there. Pools give idle shares to
// each other, so that a job can count on them. The zero value holds nothing.
type Idle struct {
	byPool map[int]report
}

type report struct {
	at   time.Duration
	idle map[string]organisation.Amounts
}

// Record replaces what another pool reported. The map is kept.
func (i *Idle) Record(now time.Duration, pool int, idle map[string]organisation.Amounts) {
	if i.byPool == nil {
		i.byPool = map[int]report{}
	}
	i.byPool[pool] = report{at: now, idle: idle}
}

// Of returns an organisation's idle share in all other pools.
func (i *Idle) Of(now time.Duration, org string) (sum organisation.Amounts) {
	for _, r := range i.byPool {
		if now-r.at <= idleValidity {
			sum = sum.Plus(r.idle[org])
		}
	}
	return sum
}

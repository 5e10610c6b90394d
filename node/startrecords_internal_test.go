package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/pool"
)

// Guards against a record of starts by another writer whose number makes an owner exhaust its memory.
func TestRecordOfStartsWithATooLargeNumberIsInvalid(t *testing.T) {
	starts := pool.Encode([]pool.StepStarts{{Job: "j", Tasks: []int{0}, Runs: []int{1}, Workers: []string{"w"}}})
	for key, valid := range map[string]bool{"r/0": true, "r/65535": true, "r/65536": false, "r/9223372036854775807": false, "r/-1": false, "r/x": false} {
		_, err := decodeEvent(pool.Record{Key: key, Value: starts}, fromStore)
		assert.Equal(t, err == nil, valid, key)
	}
}

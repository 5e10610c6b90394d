package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/infra"
)

// An operator asks why a job waits. The answer counts the workers by the first
// filter that removed each, the lasting reasons before the passing ones.
func TestRefusalNamesTheFilters(t *testing.T) {
	r := newRig(machine("small", 1000, 1000, 0), machine("plain", 8000, 8000, 0), machine("full", 8000, 8000, 2), machine("lost", 8000, 8000, 2))
	r.s.workers["lost"].reconciled = false
	full := work("filler", 7000, 1000, 2)
	assert.Equal(t, r.place(full).Worker, "full")
	p := r.place(work("big", 4000, 1000, 1))
	assert.Assert(t, !p.OK)
	assert.DeepEqual(t, p.Removed, []Removed{{FilterTooSmall, 1}, {FilterAccelerators, 1}, {FilterSilent, 1}, {FilterRoom, 1}})
	assert.Equal(t, p.Reason, "of 4 workers: 1 too-small, 1 no-accelerators, 1 not-heard, 1 no-room")
}

func TestChoice(t *testing.T) {
	tests := []struct {
		name    string
		workers []infra.Worker
		first   []Place
		place   Place
		want    string
	}{
		{"best fit keeps large room whole", []infra.Worker{machine("a", 16000, 16000, 0), machine("b", 4000, 4000, 0)}, nil,
			work("j", 4000, 4000, 0), "b"},
		{"accelerators are kept for those that ask", []infra.Worker{machine("a", 8000, 8000, 4), machine("b", 64000, 64000, 0)},
			[]Place{work("f", 4000, 4000, 3)}, work("j", 4000, 4000, 0), "b"},
		{"work without accelerators may use such a worker when nothing else is free", []infra.Worker{machine("a", 4000, 4000, 4), machine("b", 2000, 2000, 0)}, nil,
			work("j", 4000, 4000, 0), "a"},
		{"no splinter of processors without memory", []infra.Worker{machine("a", 8000, 4000, 0), machine("b", 8000, 8000, 0)}, nil,
			work("j", 4000, 4000, 0), "b"},
		{"a service spreads over workers", []infra.Worker{machine("a", 4000, 4000, 0), machine("b", 16000, 16000, 0)},
			[]Place{spread(work("s", 1000, 1000, 0))}, spread(work("s", 1000, 1000, 0)), "b"},
		{"a task does not go back to where it failed", []infra.Worker{machine("a", 4000, 4000, 0), machine("b", 16000, 16000, 0)}, nil,
			avoiding(work("j", 4000, 4000, 0), "a"), "b"},
		{"unless no other worker could ever hold it", []infra.Worker{machine("a", 4000, 4000, 0), machine("b", 1000, 1000, 0)}, nil,
			avoiding(work("j", 4000, 4000, 0), "a"), "a"},
		{"it waits while the other worker is full", []infra.Worker{machine("a", 4000, 4000, 0), machine("b", 8000, 8000, 0)},
			[]Place{avoiding(work("f", 8000, 8000, 0), "a")}, avoiding(work("j", 4000, 4000, 0), "a"), ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(tt.workers...)
			for _, m := range tt.first {
				assert.Assert(t, r.place(m).OK)
			}
			assert.Equal(t, r.place(tt.place).Worker, tt.want)
		})
	}
}

func spread(m Place) Place { m.Spread = true; return m }

func avoiding(m Place, workers ...string) Place { m.Avoid = workers; return m }

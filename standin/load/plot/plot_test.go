package plot

import (
	"bytes"
	"testing"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/standin/load"
)

func TestPlot(t *testing.T) {
	full := &load.Row{Name: "quote", Waits: hdrhistogram.New(1, 1e9, 3)}
	for i := range int64(1000) {
		assert.NilError(t, full.Waits.RecordValue(1000+i*10))
	}
	empty := &load.Row{Name: "nothing sent", Waits: hdrhistogram.New(1, 1e9, 3)}
	var picture bytes.Buffer
	assert.NilError(t, Write(&picture, []*load.Row{full, empty}, "svg"))
	assert.Assert(t, bytes.Contains(picture.Bytes(), []byte("quote")))
	assert.Assert(t, !bytes.Contains(picture.Bytes(), []byte("nothing sent")))
	points := curve(full)
	assert.Equal(t, points[len(points)-1].X, 3.0)
	assert.Assert(t, Write(&picture, nil, "nonsense") != nil)
}

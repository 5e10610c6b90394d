package entry

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// logBuffer takes log lines from several goroutines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

func awaitDraining(t *testing.T, e *Entry) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !e.draining.Load() {
			return poll.Continue("not draining")
		}
		return poll.Success()
	})
}

// The entry is told to stop while a request is in progress, and the balancer
// still sends new ones. The first must get its whole answer, the new one a "not
// run" over a working connection, and the process ends only after both.
func TestDrainFinishesOldAndRefusesNew(t *testing.T) {
	release := make(chan struct{})
	r := startRunner(t, func(w http.ResponseWriter, q *http.Request) {
		<-release
		echo(w, q)
	})
	e, url := startEntry(t, "entry-1", newSched().serve(t), upstreamAt{"a", r.addr})
	old := later(context.Background(), url, quote, "q-1")
	<-r.began
	ended := make(chan error, 1)
	go func() { ended <- e.drain(context.Background()) }()
	awaitDraining(t, e)
	got := post(context.Background(), url, quote, "q-2")
	assert.Equal(t, got.outcome, "not-run")
	assert.Equal(t, got.retry, "1")
	assert.Equal(t, len(ended), 0, "the drain ended with a request in progress")
	close(release)
	assert.Equal(t, (<-old).body, "answer to q-1")
	assert.NilError(t, <-ended)
	assert.Equal(t, r.ran("q-2"), 0)
}

// A second signal or the limit ends the drain early. What it cuts off must be
// said by name, and its caller told "unknown", as the runner may have run it.
func TestDrainCutShortNamesWhatItCuts(t *testing.T) {
	r := startRunner(t, func(_ http.ResponseWriter, q *http.Request) { <-q.Context().Done() })
	e, url := startEntry(t, "entry-1", newSched().serve(t), upstreamAt{"a", r.addr})
	var log logBuffer
	e.process.Log = zerolog.New(&log)
	caller := later(context.Background(), url, quote, "q-1")
	<-r.began
	limit, second := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.drain(limit) }()
	awaitDraining(t, e)
	second()
	assert.ErrorContains(t, <-ended, "1 requests cut off")
	assert.Assert(t, bytes.Contains([]byte(log.String()), []byte(`"count":1,"requests":["q-1"],"message":"requests.cut_off"`)), log.String())
	stopEntry(e)
	assert.Equal(t, (<-caller).outcome, "unknown")
}

package load

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of the stand-in for the platform's load balancer, and of callers.
const (
	balancerInterval = 50 * time.Millisecond
	balancerTimeout  = 250 * time.Millisecond
	callerTimeout    = 30 * time.Second
)

// ClosedLoop is a group of callers that each send one request after another, through a
// load balancer that skips entries that are not ready.
type ClosedLoop struct {
	runner  Runner
	stop    chan struct{}
	callers sync.WaitGroup
	checks  sync.WaitGroup
	ready   []atomic.Bool
	entries []string
}

// StartClosedLoop starts callers that send requests of a stream to the entries.
func StartClosedLoop(entries []string, stream Stream, callers int) *ClosedLoop {
	s := &ClosedLoop{stop: make(chan struct{}), ready: make([]atomic.Bool, len(entries)), entries: entries}
	s.runner = Runner{Entries: s.readyEntries, Client: &http.Client{Timeout: callerTimeout}, rows: map[string]*Row{stream.Name: newRow(stream.Name)}}
	for i := range entries {
		s.checks.Add(1)
		go s.checkEntry(i)
	}
	for i := range callers {
		s.callers.Add(1)
		go s.caller(stream, i)
	}
	return s
}

// Stop waits for the last answers and returns the result of all requests.
func (s *ClosedLoop) Stop(name string) *Row {
	close(s.stop)
	s.callers.Wait()
	s.checks.Wait()
	return s.runner.rows[name]
}

func (s *ClosedLoop) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// checkEntry polls the readiness of one entry.
func (s *ClosedLoop) checkEntry(i int) {
	defer s.checks.Done()
	client := &http.Client{Timeout: balancerTimeout}
	tick := time.NewTicker(balancerInterval)
	defer tick.Stop()
	for {
		s.ready[i].Store(isReady(client, s.entries[i]))
		select {
		case <-s.stop:
			return
		case <-tick.C:
		}
	}
}

func isReady(client *http.Client, addr string) bool {
	resp, err := client.Get("http://" + addr + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *ClosedLoop) readyEntries() []string {
	for {
		var list []string
		for i := range s.entries {
			if s.ready[i].Load() {
				list = append(list, s.entries[i])
			}
		}
		if len(list) > 0 {
			return list
		}
		time.Sleep(balancerInterval)
		if s.stopped() {
			return s.entries
		}
	}
}

func (s *ClosedLoop) caller(stream Stream, number int) {
	defer s.callers.Done()
	for i := 0; !s.stopped(); i++ {
		s.runner.request(time.Now(), stream, fmt.Sprintf("%s-%d-%d", stream.Name, number, i))
	}
}

// Answers returns the number of requests that have ended so far.
func (s *ClosedLoop) Answers() int {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	n := 0
	for _, row := range s.runner.rows {
		n += row.Sent
	}
	return n
}

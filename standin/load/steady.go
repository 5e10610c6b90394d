package load

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of the stand-in of the platform's balancer.
const (
	balancerLook    = 50 * time.Millisecond
	balancerTimeout = 250 * time.Millisecond
	callerTimeout   = 30 * time.Second
)

// Steady is callers that each send one request after another, through a
// balancer that passes over entries which are not ready.
type Steady struct {
	runner  Runner
	stop    chan struct{}
	callers sync.WaitGroup
	looks   sync.WaitGroup
	ready   []atomic.Bool
	entries []string
}

// StartSteady starts callers that send requests of a stream to the entries.
func StartSteady(entries []string, stream Stream, callers int) *Steady {
	s := &Steady{stop: make(chan struct{}), ready: make([]atomic.Bool, len(entries)), entries: entries}
	s.runner = Runner{Entries: s.balance, Client: &http.Client{Timeout: callerTimeout}, rows: map[string]*Row{stream.Name: newRow(stream.Name)}}
	for i := range entries {
		s.looks.Add(1)
		go s.look(i)
	}
	for i := range callers {
		s.callers.Add(1)
		go s.caller(stream, i)
	}
	return s
}

// Stop waits for the last answers and returns what became of all requests.
func (s *Steady) Stop(name string) *Row {
	close(s.stop)
	s.callers.Wait()
	s.looks.Wait()
	return s.runner.rows[name]
}

func (s *Steady) stopped() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// look keeps the balancer's opinion of one entry.
func (s *Steady) look(i int) {
	defer s.looks.Done()
	client := &http.Client{Timeout: balancerTimeout}
	tick := time.NewTicker(balancerLook)
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

func (s *Steady) balance() []string {
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
		time.Sleep(balancerLook)
		if s.stopped() {
			return s.entries
		}
	}
}

func (s *Steady) caller(stream Stream, number int) {
	defer s.callers.Done()
	for i := 0; !s.stopped(); i++ {
		s.runner.request(time.Now(), stream, fmt.Sprintf("%s-%d-%d", stream.Name, number, i))
	}
}

// Answers is the number of requests that have ended so far.
func (s *Steady) Answers() int {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	n := 0
	for _, row := range s.runner.rows {
		n += row.Sent
	}
	return n
}

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control/api"
)

// schedulers are the clients of the schedulers that an entry uses. The scheduler of its own
// instance comes first.
type schedulers struct {
	mu      sync.Mutex
	addrs   []string
	clients map[string]*schedclient.Client
	dial    schedclient.Dialer
}

func newSchedulers(addrs []string, dial schedclient.Dialer) *schedulers {
	return &schedulers{addrs: addrs, clients: map[string]*schedclient.Client{}, dial: dial}
}

func (s *schedulers) client(addr string) *schedclient.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[addr]
	if !ok {
		c = schedclient.NewWith(addr, s.dial)
		s.clients[addr] = c
	}
	return c
}

// ask sends q to the first scheduler that can be reached. Once q may have left this
// process it isn't sent to another scheduler, since it may already have taken effect.
func (s *schedulers) ask(q api.Question) (api.Answer, error) {
	return s.askInOrder(q, (*schedclient.Client).Ask)
}

// change is like ask, for changes. It waits for a slow scheduler's answer instead of
// reporting the change as in doubt.
func (s *schedulers) change(q api.Question) (api.Answer, error) {
	return s.askInOrder(q, (*schedclient.Client).Change)
}

func (s *schedulers) askInOrder(q api.Question, call func(*schedclient.Client, api.Question, time.Duration) (api.Answer, error)) (api.Answer, error) {
	var last error
	var starting *api.Answer
	for _, addr := range s.addrs {
		a, err := call(s.client(addr), q, askTimeout)
		if err == nil && a.Code == api.Starting {
			starting = &a
			continue
		}
		if err == nil {
			return a, nil
		}
		last = err
		if !errors.Is(err, schedclient.ErrNotSent) {
			return api.Answer{}, err
		}
	}
	if starting != nil {
		return *starting, nil
	}
	return api.Answer{}, last
}

// errNoSchedulerReached means that the call was sent to no scheduler.
var errNoSchedulerReached = errors.New("no scheduler can be reached")

// askAny sends an idempotent call to one scheduler after the other until one answers.
func (s *schedulers) askAny(ctx context.Context, q api.Question, timeout time.Duration) (api.Answer, error) {
	end := time.Now().Add(timeout)
	maybeSent := false
	for _, addr := range s.addrs {
		left := time.Until(end)
		if left <= 0 || ctx.Err() != nil {
			break
		}
		a, err := s.client(addr).Ask(q, left)
		if err == nil && a.Code != api.Starting {
			return a, nil
		}
		if err == nil {
			continue
		}
		maybeSent = maybeSent || !errors.Is(err, schedclient.ErrNotSent)
	}
	if maybeSent {
		return api.Answer{}, errors.New("no scheduler answered")
	}
	return api.Answer{}, errNoSchedulerReached
}

// askAt sends q to the scheduler at addr.
func (s *schedulers) askAt(addr string, q api.Question, timeout time.Duration) (api.Answer, error) {
	return s.client(addr).Ask(q, timeout)
}

// watch returns the cell's state from the first scheduler that answers. Each scheduler
// counts versions on its own, so the full state is requested when the scheduler changes.
func (s *schedulers) watch(since uint64, from string) (api.State, error) {
	var last error
	for _, addr := range s.addrs {
		st, err := s.client(addr).Watch(since, watchTimeout)
		if err == nil && st.Scheduler != from && st.Holders == nil {
			st, err = s.client(addr).Watch(0, watchTimeout)
		}
		if err == nil {
			return st, nil
		}
		last = err
	}
	return api.State{}, last
}

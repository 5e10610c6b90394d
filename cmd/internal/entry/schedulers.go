package entry

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/cmd/internal/schedclient"
	"github.com/knapweedweir/knapweedweir/control/api"
)

// schedulers is the list of schedulers an entry may ask, its own first.
type schedulers struct {
	mu      sync.Mutex
	order   []string
	clients map[string]*schedclient.Client
	dial    schedclient.Dialer
}

func newSchedulers(addrs []string, dial schedclient.Dialer) *schedulers {
	return &schedulers{order: addrs, clients: map[string]*schedclient.Client{}, dial: dial}
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

// ask puts a question to the first scheduler that can be reached. Once a
// question may have left this process it is not put to another one, as it may
// already have taken effect.
func (s *schedulers) ask(q api.Question) (api.Answer, error) {
	return s.askFirst(q, (*schedclient.Client).Ask)
}

// change is ask for changes. A scheduler that answers late leaves nobody in doubt for that.
func (s *schedulers) change(q api.Question) (api.Answer, error) {
	return s.askFirst(q, (*schedclient.Client).Change)
}

func (s *schedulers) askFirst(q api.Question, put func(*schedclient.Client, api.Question, time.Duration) (api.Answer, error)) (api.Answer, error) {
	var last error
	var starting *api.Answer
	for _, addr := range s.order {
		a, err := put(s.client(addr), q, askTimeout)
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

// errNobodyAsked says that the question reached no scheduler.
var errNobodyAsked = errors.New("no scheduler can be reached")

// askAny puts a question that may take effect twice without harm to one scheduler
// after the other until one answers.
func (s *schedulers) askAny(ctx context.Context, q api.Question, timeout time.Duration) (api.Answer, error) {
	end := time.Now().Add(timeout)
	asked := false
	for _, addr := range s.order {
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
		asked = asked || !errors.Is(err, schedclient.ErrNotSent)
	}
	if asked {
		return api.Answer{}, errors.New("no scheduler answered")
	}
	return api.Answer{}, errNobodyAsked
}

// askAt puts a question to one scheduler.
func (s *schedulers) askAt(addr string, q api.Question, timeout time.Duration) (api.Answer, error) {
	return s.client(addr).Ask(q, timeout)
}

// watch returns the cell's state from the first scheduler that answers. Versions
// are counted by each scheduler for itself, so another one is asked for all.
func (s *schedulers) watch(since uint64, from string) (api.State, error) {
	var last error
	for _, addr := range s.order {
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

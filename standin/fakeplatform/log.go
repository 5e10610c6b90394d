// Package fakeplatform is a small stand-in for the platform: log, instance list and
// workers over HTTP, with faults that can be injected. It is for tests; production code
// doesn't import it.
package fakeplatform

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/infra"
)

// stream is one append-only log stream.
type stream struct {
	mu      sync.Mutex
	first   infra.Offset
	records [][]byte
	grown   chan struct{}
}

func newStream() *stream { return &stream{first: 1, grown: make(chan struct{})} }

func (s *stream) append(records [][]byte, retention int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
	if drop := len(s.records) - retention; retention > 0 && drop > 0 {
		s.records = append([][]byte(nil), s.records[drop:]...)
		s.first += infra.Offset(drop)
	}
	close(s.grown)
	s.grown = make(chan struct{})
}

// read returns records after an offset. If there are none it waits for one.
func (s *stream) read(ctx context.Context, after infra.Offset, max int, wait time.Duration) (infra.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, grown, err := s.page(after, max)
		if err != nil || len(page.Entries) > 0 {
			return page, err
		}
		select {
		case <-grown:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, ctx.Err()
		}
	}
}

func (s *stream) page(after infra.Offset, max int) (infra.Page, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	tail := s.first + infra.Offset(len(s.records)) - 1
	page := infra.Page{First: s.first, Tail: tail}
	if after+1 < s.first {
		return page, nil, infra.ErrExpired
	}
	for o := after + 1; o <= tail && len(page.Entries) < max; o++ {
		page.Entries = append(page.Entries, infra.Entry{Offset: o, Data: s.records[o-s.first]})
	}
	return page, s.grown, nil
}

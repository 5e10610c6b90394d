package main

import "sync"

// concurrentAsks is how many entries are asked at once.
const concurrentAsks = 32

// each calls f for every item, many at once, and waits for all.
func each[T any](items []T, f func(i int, item T)) {
	var wg sync.WaitGroup
	free := make(chan struct{}, concurrentAsks)
	for i, item := range items {
		free <- struct{}{}
		wg.Go(func() {
			defer func() { <-free }()
			f(i, item)
		})
	}
	wg.Wait()
}

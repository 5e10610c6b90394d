package main

import "sync"

// maxConcurrentRequests limits the concurrent requests to entries and instances.
const maxConcurrentRequests = 32

// forEachConcurrently calls f for every item, up to maxConcurrentRequests at a time, and
// waits for all calls.
func forEachConcurrently[T any](items []T, f func(i int, item T)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentRequests)
	for i, item := range items {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(i, item)
		})
	}
	wg.Wait()
}

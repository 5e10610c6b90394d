package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

var client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}, Timeout: time.Minute}

// tally collects waiting times and outcomes of one kind of request.
type tally struct {
	mu    sync.Mutex
	waits *hdrhistogram.Histogram
	// other counts outcomes other than "done".
	other map[string]int
}

func newTally() *tally {
	return &tally{waits: hdrhistogram.New(1, time.Minute.Microseconds(), 3), other: map[string]int{}}
}

func (t *tally) record(planned time.Time, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if outcome != "done" {
		t.other[outcome]++
		return
	}
	_ = t.waits.RecordValue(time.Since(planned).Microseconds())
}

func (t *tally) quantile(q float64) float64 {
	return float64(t.waits.ValueAtQuantile(q)) / 1000
}

// runOpenLoop makes calls at an even rate, whether or not earlier ones have ended, and
// counts waiting from the planned time.
func runOpenLoop(rate int, length time.Duration, call func(i int) string) *tally {
	t := newTally()
	var wg sync.WaitGroup
	start := time.Now()
	for i := range int(length.Seconds() * float64(rate)) {
		planned := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(planned))
		wg.Add(1)
		go func() {
			defer wg.Done()
			t.record(planned, call(i))
		}()
	}
	wg.Wait()
	return t
}

func post(url string, headers map[string]string) string {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("measure the returned cutter"))
	if err != nil {
		return err.Error()
	}
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "broken connection"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "broken transfer"
	}
	if resp.StatusCode == http.StatusOK {
		return "done"
	}
	return resp.Header.Get("Outcome")
}

func viaEntry(addr, service, id string) string {
	return post("http://"+addr+"/v1/teams/workshop/services/"+service+"/requests", map[string]string{"Request-Id": id})
}

func direct(addr string, id string) string {
	return post("http://"+addr+"/run", map[string]string{"Request-Id": id, "Attempt-Id": id, "Deadline-Millis": fmt.Sprint(10000)})
}

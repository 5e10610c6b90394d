// Package load sends a sample of callers' requests and operators' jobs to a cell and
// counts the outcomes. Requests are sent at their planned times whether or not earlier
// ones have ended (open loop), and waiting is counted from the planned time.
package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Sample is a workload: requests and jobs with their planned times.
type Sample struct {
	// Streams are callers' requests.
	Streams []Stream `json:"streams"`
	// Jobs are jobs that operators submit.
	Jobs []Job `json:"jobs"`
}

// Stream is a series of requests of one kind.
type Stream struct {
	// Name is the stream's name in the report, and begins its request IDs.
	Name string `json:"name"`
	// Team is the team whose service is called.
	Team string `json:"team"`
	// Service is the service that is called.
	Service string `json:"service"`
	// Every is the mean time between two planned requests.
	Every jsonc.Duration `json:"every"`
	// Arrivals is "even" for a request each Every, or "poisson" for callers
	// that know nothing of each other; the same seed gives the same times.
	Arrivals string `json:"arrivals" default:"even"`
	// Seed chooses the times of "poisson".
	Seed uint64 `json:"seed" default:"1"`
	// Start is when the stream begins, counted from the start of the sample.
	Start jsonc.Duration `json:"start"`
	// Count is how many requests are sent.
	Count int `json:"count"`
	// Body is the body of each request.
	Body string `json:"body"`
	// BodySize fills the body up to a size.
	BodySize jsonc.Bytes `json:"bodySize"`
	// Deadline is how long a caller waits; an answer after it is late and worth
	// nothing. Zero means as long as the client's own limit.
	Deadline jsonc.Duration `json:"deadline"`
	// Worth is what one request delivered whole and on time is worth.
	Worth float64 `json:"worth" default:"1"`
	// Idempotent says that a request whose outcome is unknown may be sent again.
	Idempotent bool `json:"idempotent" default:"true"`
	// Retries is how often a caller sends a request again while its deadline
	// lasts: after "not-run" under the same ID when Retry-After says, and after
	// an unknown outcome only if the stream is idempotent.
	Retries int `json:"retries"`
}

// Job is a job submitted at a time.
type Job struct {
	// At is when the job is submitted, counted from the start.
	At jsonc.Duration `json:"at"`
	// Spec is the job.
	Spec placement.JobSpec `json:"spec"`
}

// Read reads a sample file.
func Read(path string) (Sample, error) {
	var s Sample
	data, err := os.ReadFile(path)
	if err != nil {
		return s, err
	}
	return s, jsonc.Decode(path, data, &s).Err()
}

// Validate implements jsonc.Validator.
func (s *Sample) Validate(report func(path, message string)) {
	for i, st := range s.Streams {
		at := func(name string) string { return fmt.Sprintf("streams.%d.%s", i, name) }
		if st.Name == "" || st.Team == "" || st.Service == "" {
			report(at("name"), "name, team and service must be set")
		}
		if st.Every <= 0 || st.Count <= 0 {
			report(at("every"), "every and count must be above zero")
		}
		if st.Arrivals != "even" && st.Arrivals != "poisson" {
			report(at("arrivals"), `must be "even" or "poisson"`)
		}
		if st.Deadline < 0 || st.Start < 0 || st.Worth < 0 || st.Retries < 0 || st.BodySize < 0 {
			report(at("name"), "deadline, start, worth, retries and bodySize must not be negative")
		}
	}
	for i, j := range s.Jobs {
		j.Spec.Validate(func(path, message string) { report(fmt.Sprintf("jobs.%d.spec.%s", i, path), message) })
	}
}

// Row is the result of one stream.
type Row struct {
	Name     string         `json:"name"`
	Sent     int            `json:"sent"`
	Outcomes map[string]int `json:"outcomes"`
	// Late counts requests that were done after their deadline.
	Late int `json:"late"`
	// Retried counts the retries of requests.
	Retried int `json:"retried"`
	// Offered and Delivered are the total worth of all requests, and of those done
	// completely and on time.
	Offered   float64 `json:"offeredWorth"`
	Delivered float64 `json:"deliveredWorth"`
	// Broken lists invalid answers, which no caller should ever receive.
	Broken []string `json:"broken,omitempty"`
	// Waits are the times from the planned time to the final answer of all requests, in
	// microseconds.
	Waits *hdrhistogram.Histogram `json:"-"`
	// Example is the first answer that was not "done".
	Example string `json:"example,omitempty"`
}

// maxWait is the largest waiting time that a histogram can hold.
const maxWait = 10 * time.Minute

func newRow(name string) *Row {
	return &Row{Name: name, Outcomes: map[string]int{}, Waits: hdrhistogram.New(1, maxWait.Microseconds(), 3)}
}

// Runner sends samples to the entries of a cell.
type Runner struct {
	// Entries returns the addresses of the entries; requests are distributed round robin, as
	// by a load balancer.
	Entries func() []string
	Client  *http.Client
	// ID is part of every request's ID. Without it a second run of a sample would get the
	// stored answers of the first, and no request would reach a runner.
	ID string

	mu   sync.Mutex
	rows map[string]*Row
	next int
}

// Run sends a sample and returns a row for each stream and one for the jobs.
func (r *Runner) Run(s Sample) []*Row {
	r.rows = map[string]*Row{}
	var wg sync.WaitGroup
	start := time.Now()
	for _, st := range s.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.stream(start, st, &wg)
		}()
	}
	for _, j := range s.Jobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Until(start.Add(j.At.D())))
			r.submit(j.Spec)
		}()
	}
	wg.Wait()
	rows := make([]*Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Name < rows[j].Name })
	return rows
}

func (r *Runner) stream(start time.Time, st Stream, wg *sync.WaitGroup) {
	for i, at := range st.arrivalTimes() {
		planned := start.Add(at)
		time.Sleep(time.Until(planned))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.request(planned, st, r.requestID(st, i))
		}()
	}
}

func (r *Runner) entry() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.Entries()
	r.next++
	return list[r.next%len(list)]
}

func (r *Runner) requestID(st Stream, i int) string {
	if r.ID == "" {
		return fmt.Sprintf("%s-%d", st.Name, i)
	}
	return fmt.Sprintf("%s-%s-%d", st.Name, r.ID, i)
}

// request sends a request, with retries, until the caller has its final answer.
func (r *Runner) request(planned time.Time, st Stream, id string) {
	body := st.body()
	deadline := planned.Add(maxWait)
	if st.Deadline > 0 {
		deadline = planned.Add(st.Deadline.D())
	}
	for tries := 0; ; tries++ {
		a := r.send(st, body, id)
		pause, again := a.retry(st)
		if !again || tries >= st.Retries || time.Now().Add(pause).After(deadline) {
			r.record(st, planned, deadline, a)
			return
		}
		r.countRetry(st.Name)
		time.Sleep(pause)
	}
}

// answer is the result of one attempt as the caller sees it.
type answer struct {
	outcome    string
	retryAfter time.Duration
	// broken describes what is wrong with an invalid answer.
	broken string
	// text is the body of an answer other than "done".
	text string
}

// Outcomes in addition to those of the entry.
const (
	outcomeError  = "error"
	outcomeBroken = "broken connection"
)

// minRetryPause is the minimum pause before a retry, also without Retry-After.
const minRetryPause = 100 * time.Millisecond

// retry reports whether a caller may send the request again, and after which pause.
func (a answer) retry(st Stream) (time.Duration, bool) {
	switch a.outcome {
	case "not-run":
		return max(a.retryAfter, minRetryPause), true
	case "unknown", outcomeBroken:
		return minRetryPause, st.Idempotent
	}
	return 0, false
}

func (r *Runner) send(st Stream, body, id string) answer {
	url := fmt.Sprintf("http://%s/v1/teams/%s/services/%s/requests", r.entry(), st.Team, st.Service)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return answer{outcome: outcomeError, broken: err.Error()}
	}
	req.Header.Set("Request-Id", id)
	resp, err := r.Client.Do(req)
	if err != nil {
		// The entry was killed while the connection was open; the caller sees a broken
		// transfer.
		return answer{outcome: outcomeBroken}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{outcome: outcomeBroken}
	}
	a := answer{outcome: resp.Header.Get("Outcome")}
	if a.outcome != "done" {
		a.text = string(data)
	}
	a.broken = checkAnswer(a.outcome, id, body, resp, data)
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	return a
}

// checkAnswer returns what is wrong with an answer, or "".
func checkAnswer(outcome, id, sent string, resp *http.Response, body []byte) string {
	if outcome == "" || resp.Header.Get("Request-Id") != id {
		return fmt.Sprintf("%s: answer without outcome or of another request: %s", id, resp.Status)
	}
	if outcome != "done" || resp.StatusCode != http.StatusOK {
		return ""
	}
	var answer struct{ Request, Echo string }
	if json.Unmarshal(body, &answer) != nil || answer.Request != id || answer.Echo != sent {
		return fmt.Sprintf("%s: not the whole answer to this request: %.80q", id, body)
	}
	return ""
}

// jobStream is the stream under which jobs are counted.
var jobStream = Stream{Name: "jobs submitted", Worth: 1}

func (r *Runner) submit(spec placement.JobSpec) {
	planned := time.Now()
	record := func(outcome string) { r.record(jobStream, planned, planned.Add(maxWait), answer{outcome: outcome}) }
	data, _ := json.Marshal(spec)
	resp, err := r.Client.Post("http://"+r.entry()+"/v1/jobs", "application/json", bytes.NewReader(data))
	if err != nil {
		record(outcomeBroken)
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	record(map[bool]string{true: "accepted", false: "turned away"}[resp.StatusCode == http.StatusOK])
}

func (r *Runner) row(name string) *Row {
	row, ok := r.rows[name]
	if !ok {
		row = newRow(name)
		r.rows[name] = row
	}
	return row
}

func (r *Runner) countRetry(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.row(name).Retried++
}

// record records a final answer. Waiting is counted from the planned time: if it were
// counted from the actual send, a client that is itself delayed would hide the waiting
// time of all callers behind it (coordinated omission).
func (r *Runner) record(st Stream, planned, deadline time.Time, a answer) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(st.Name)
	if row.Example == "" {
		row.Example = a.text
	}
	row.Sent++
	row.Outcomes[a.outcome]++
	row.Offered += st.Worth
	onTime := !now.After(deadline)
	switch delivered := a.outcome == "done" || a.outcome == "accepted"; {
	case delivered && onTime && a.broken == "":
		row.Delivered += st.Worth
	case delivered && !onTime:
		row.Late++
	}
	if a.broken != "" {
		row.Broken = append(row.Broken, a.broken)
	}
	_ = row.Waits.RecordValue(min(now.Sub(planned), maxWait).Microseconds())
}

// Package load sends a sample of callers' requests and operators' jobs to a
// cell and counts what became of them. Requests are sent at their planned times
// whether or not earlier ones have ended (open loop), and waiting is counted
// from the planned time.
package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// Sample is a piece of a user's day.
type Sample struct {
	// Streams are callers' requests.
	Streams []Stream `json:"streams"`
	// Jobs are jobs that operators submit.
	Jobs []Job `json:"jobs"`
}

// Stream is requests of one sort at an even pace.
type Stream struct {
	// Name is the stream's name in the report, and begins its request IDs.
	Name string `json:"name"`
	// Team is the team whose service is called.
	Team string `json:"team"`
	// Service is the service that is called.
	Service string `json:"service"`
	// Every is the time between two planned requests.
	Every jsonc.Duration `json:"every"`
	// Count is how many requests are sent.
	Count int `json:"count"`
	// Body is the body of each request.
	Body string `json:"body"`
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

// Row is what became of one stream.
type Row struct {
	Name     string
	Sent     int
	Outcomes map[string]int
	// Broken lists answers that no caller should ever see.
	Broken []string
	Waits  *hdrhistogram.Histogram
}

// longestWait is the largest waiting time a histogram can hold.
const longestWait = 10 * time.Minute

func newRow(name string) *Row {
	return &Row{Name: name, Outcomes: map[string]int{}, Waits: hdrhistogram.New(1, longestWait.Microseconds(), 3)}
}

// Runner sends samples to the entries of a cell.
type Runner struct {
	// Entries are the addresses of the entries; requests go round them, as a
	// balancer would.
	Entries func() []string
	Client  *http.Client

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
	for i := range st.Count {
		planned := start.Add(time.Duration(i) * st.Every.D())
		time.Sleep(time.Until(planned))
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.request(planned, st, fmt.Sprintf("%s-%d", st.Name, i))
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

func (r *Runner) request(planned time.Time, st Stream, id string) {
	url := fmt.Sprintf("http://%s/v1/teams/%s/services/%s/requests", r.entry(), st.Team, st.Service)
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(st.Body)))
	if err != nil {
		r.note(st.Name, planned, "error", err.Error())
		return
	}
	req.Header.Set("Request-Id", id)
	resp, err := r.Client.Do(req)
	if err != nil {
		// The entry was killed with the connection open; the caller sees a
		// broken transfer.
		r.note(st.Name, planned, "broken connection", "")
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		r.note(st.Name, planned, "broken connection", "")
		return
	}
	outcome := resp.Header.Get("Outcome")
	r.note(st.Name, planned, outcome, inspect(outcome, id, st.Body, resp, body))
}

// inspect returns what is wrong with an answer, or "".
func inspect(outcome, id, sent string, resp *http.Response, body []byte) string {
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

func (r *Runner) submit(spec placement.JobSpec) {
	planned := time.Now()
	data, _ := json.Marshal(spec)
	resp, err := r.Client.Post("http://"+r.entry()+"/v1/jobs", "application/json", bytes.NewReader(data))
	if err != nil {
		r.note("jobs submitted", planned, "broken connection", "")
		return
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	r.note("jobs submitted", planned, map[bool]string{true: "accepted", false: "turned away"}[resp.StatusCode == http.StatusOK], "")
}

func (r *Runner) note(name string, planned time.Time, outcome, broken string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[name]
	if !ok {
		row = newRow(name)
		r.rows[name] = row
	}
	row.Sent++
	row.Outcomes[outcome]++
	if broken != "" {
		row.Broken = append(row.Broken, broken)
	}
	_ = row.Waits.RecordValue(min(time.Since(planned), longestWait).Microseconds())
}

package entry

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"path"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/membership"
	"github.com/knapweedweir/knapweedweir/ownership"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

func (e *Entry) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/teams/{team}/services/{service}/requests", e.serveRequest)
	mux.HandleFunc("GET /v1/settings", e.settingsStatus)
	mux.HandleFunc("GET /v1/settings/{team}", e.settingsGet)
	mux.HandleFunc("PUT /v1/settings/{team}", e.settingsPut)
	mux.HandleFunc("GET /v1/keys", e.keysGet)
	mux.HandleFunc("PUT /v1/keys", e.keysPut)
	mux.HandleFunc("POST /v1/jobs", e.jobSubmit)
	mux.HandleFunc("GET /v1/jobs", e.jobList)
	mux.HandleFunc("GET /v1/jobs/{id}", e.jobGet)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.jobCancel)
	mux.HandleFunc("GET /v1/instances", e.instances)
	mux.HandleFunc("GET /v1/schedulers/{id}/dump", e.schedulerDumpOf)
	mux.HandleFunc("GET /v1/reach", e.reach)
	mux.HandleFunc("GET /v1/scheduler/dump", e.schedulerDump)
}

// forCallers reports whether a request may come from a caller or a balancer. All other
// paths are for operators only, so that a path added later isn't public by mistake.
func forCallers(r *http.Request) bool {
	if r.URL.Path == "/ready" {
		return true
	}
	return r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/v1/teams/") && path.Clean(r.URL.Path) == r.URL.Path
}

// ErrorBody is the JSON body of the answer to an operator's request that failed.
type ErrorBody struct {
	Code             api.Code       `json:"code"`
	Message          string         `json:"message"`
	Findings         jsonc.Findings `json:"findings,omitempty"`
	Offset           infra.Offset   `json:"offset,omitempty"`
	RetryAfterMillis int64          `json:"retryAfterMillis,omitempty"`
}

// AcceptedBody is the JSON body of the answer to an accepted change.
type AcceptedBody struct {
	Offset infra.Offset `json:"offset"`
}

// SettingsStatus is the version of one team's settings at one entry.
type SettingsStatus struct {
	Team    string       `json:"team"`
	Version infra.Offset `json:"version"`
}

// SettingsBody is the JSON body with the settings versions at an entry.
type SettingsBody struct {
	Entry  string           `json:"entry"`
	Offset infra.Offset     `json:"offset"`
	Teams  []SettingsStatus `json:"teams"`
	// Entries are the addresses of all entries in the platform's list.
	Entries []string `json:"entries"`
}

var statusOf = map[api.Code]int{
	api.Forbidden: http.StatusForbidden,
	api.Invalid:   http.StatusBadRequest, api.Conflict: http.StatusConflict, api.Unavailable: http.StatusServiceUnavailable,
	api.InDoubt: http.StatusGatewayTimeout, api.NotFound: http.StatusNotFound, api.Elsewhere: http.StatusServiceUnavailable,
	api.Starting: http.StatusServiceUnavailable,
}

func (e *Entry) respond(w http.ResponseWriter, a api.Answer, err error, ok func()) {
	if err != nil {
		a = api.Answer{Code: api.InDoubt, Message: err.Error()}
	}
	if a.Code == api.OK {
		ok()
		return
	}
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.RetryAfter+time.Second-1)/time.Second)))
	}
	writeJSON(w, statusOf[a.Code], ErrorBody{a.Code, a.Message, a.Findings, a.Offset, a.RetryAfter.Milliseconds()})
}

func badRequest(w http.ResponseWriter, message string) {
	writeJSON(w, http.StatusBadRequest, ErrorBody{Code: api.Invalid, Message: message})
}

func (e *Entry) settingsStatus(w http.ResponseWriter, _ *http.Request) {
	st := e.state.Load()
	body := SettingsBody{Entry: e.settings.ID, Offset: st.Offset, Teams: []SettingsStatus{}}
	for _, t := range st.Teams {
		body.Teams = append(body.Teams, SettingsStatus{t.Name, t.Version.Offset})
	}
	for _, i := range st.Instances {
		if i.Service == control.EntryService {
			body.Entries = append(body.Entries, i.Addr)
		}
	}
	writeJSON(w, http.StatusOK, body)
}

func (e *Entry) settingsGet(w http.ResponseWriter, r *http.Request) {
	for _, t := range e.state.Load().Teams {
		if t.Name == r.PathValue("team") {
			w.Header().Set("Settings-Version", strconv.FormatUint(uint64(t.Version.Offset), 10))
			_, _ = io.WriteString(w, t.Version.Document)
			return
		}
	}
	writeJSON(w, http.StatusNotFound, ErrorBody{Code: api.NotFound, Message: fmt.Sprintf("team %q has no settings", r.PathValue("team"))})
}

func (e *Entry) settingsPut(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		badRequest(w, "the base parameter must be the version that the change was made from, 0 for a new team")
		return
	}
	doc, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		badRequest(w, "the document could not be read: "+err.Error())
		return
	}
	signature, err := base64.StdEncoding.DecodeString(r.Header.Get(SignatureHeader))
	if err != nil {
		badRequest(w, "the header "+SignatureHeader+" must be a signature in base64")
		return
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = r.PathValue("team") + ".jsonc"
	}
	a, err := e.schedulerClients.change(api.Publish{Change: settings.Change{Team: r.PathValue("team"), Base: infra.Offset(base), File: file, Document: string(doc), Signature: signature}})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

func (e *Entry) jobSubmit(w http.ResponseWriter, r *http.Request) {
	doc, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		badRequest(w, "the job could not be read: "+err.Error())
		return
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = "job"
	}
	var spec placement.JobSpec
	if findings := jsonc.Decode(file, doc, &spec); len(findings) > 0 {
		writeJSON(w, http.StatusBadRequest, ErrorBody{Code: api.Invalid, Message: "the job is not valid", Findings: findings})
		return
	}
	a, err := e.schedulerClients.change(api.Submit{Job: spec})
	a.Findings = jsonc.Relocate(file, doc, a.Findings, &placement.JobSpec{})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

func (e *Entry) jobGet(w http.ResponseWriter, r *http.Request) {
	q := api.JobQuery{Job: r.PathValue("id")}
	a, err := e.schedulerClients.ask(q)
	if err == nil && a.Code == api.Elsewhere {
		a, err = e.schedulerClients.askAt(e.schedulerAddr(a.Owner), q, askTimeout)
	}
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, a.Job) })
}

func (e *Entry) schedulerAddr(id string) string {
	for _, i := range e.state.Load().Instances {
		if i.Service == control.SchedService && i.ID == id {
			return i.Addr
		}
	}
	return ""
}

func (e *Entry) jobList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := api.MaxJobsPage
	if text := q.Get("max"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			badRequest(w, "the max parameter must be a number above zero")
			return
		}
		limit = n
	}
	a, err := e.schedulerClients.ask(api.ListJobs{Team: q.Get("team"), Kind: placement.JobKind(q.Get("kind")),
		State: placement.JobState(q.Get("state")), After: q.Get("after"), Max: limit})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, a.Jobs) })
}

func (e *Entry) jobCancel(w http.ResponseWriter, r *http.Request) {
	a, err := e.schedulerClients.change(api.Cancel{Job: r.PathValue("id"), Reason: "cancelled by an operator"})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

func (e *Entry) schedulerDump(w http.ResponseWriter, _ *http.Request) {
	e.writeSchedulerDump(w, e.settings.Schedulers[0])
}

func (e *Entry) schedulerDumpOf(w http.ResponseWriter, r *http.Request) {
	addr := e.schedulerAddr(r.PathValue("id"))
	if addr == "" {
		writeJSON(w, http.StatusNotFound, ErrorBody{Code: api.NotFound, Message: fmt.Sprintf("the platform lists no scheduler %q", r.PathValue("id"))})
		return
	}
	e.writeSchedulerDump(w, addr)
}

func (e *Entry) writeSchedulerDump(w http.ResponseWriter, addr string) {
	data, err := e.schedulerClients.client(addr).Dump(watchTimeout)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Code: api.Unavailable, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(json.RawMessage(data))
}

// InstanceRow is one instance of the platform's list with the number of worker shards and
// job homes that it owns.
type InstanceRow struct {
	infra.Instance
	Shards int `json:"shards"`
	Homes  int `json:"homes"`
}

// InstancesBody is the JSON body of the list of instances.
type InstancesBody struct {
	Entry     string        `json:"entry"`
	Offset    infra.Offset  `json:"offset"`
	Instances []InstanceRow `json:"instances"`
	// Unowned are the units without an owner.
	Unowned []ownership.Unit `json:"unowned"`
}

func (e *Entry) instances(w http.ResponseWriter, _ *http.Request) {
	st := e.state.Load()
	body := InstancesBody{Entry: e.settings.ID, Offset: st.Offset, Instances: []InstanceRow{}, Unowned: []ownership.Unit{}}
	shards, homes := map[string]int{}, map[string]int{}
	for unit, h := range st.Holders {
		switch {
		case h.Owner == "":
			body.Unowned = append(body.Unowned, unit)
		case unit.IsHome():
			homes[membership.ID(h.Owner)]++
		default:
			shards[membership.ID(h.Owner)]++
		}
	}
	slices.Sort(body.Unowned)
	for _, i := range st.Instances {
		body.Instances = append(body.Instances, InstanceRow{i, shards[i.ID], homes[i.ID]})
	}
	writeJSON(w, http.StatusOK, body)
}

// ReachRow is the result of an entry's attempt to reach one scheduler.
type ReachRow struct {
	Scheduler string         `json:"scheduler"`
	Addr      string         `json:"addr"`
	OK        bool           `json:"ok"`
	Error     string         `json:"error,omitempty"`
	Offset    infra.Offset   `json:"offset"`
	Took      jsonc.Duration `json:"took"`
}

// ReachBody is the JSON body with the schedulers that an entry can and can't reach.
type ReachBody struct {
	Entry      string     `json:"entry"`
	Schedulers []ReachRow `json:"schedulers"`
}

// reach tries to reach every scheduler of the platform's list concurrently.
func (e *Entry) reach(w http.ResponseWriter, _ *http.Request) {
	body := ReachBody{Entry: e.settings.ID, Schedulers: []ReachRow{}}
	for _, i := range e.state.Load().Instances {
		if i.Service == control.SchedService {
			body.Schedulers = append(body.Schedulers, ReachRow{Scheduler: i.ID, Addr: i.Addr})
		}
	}
	var wg sync.WaitGroup
	for i := range body.Schedulers {
		wg.Go(func() { e.reachScheduler(&body.Schedulers[i]) })
	}
	wg.Wait()
	writeJSON(w, http.StatusOK, body)
}

func (e *Entry) reachScheduler(row *ReachRow) {
	start := time.Now()
	st, err := e.schedulerClients.client(row.Addr).Watch(e.state.Load().Version, watchTimeout)
	row.Took = jsonc.Duration(time.Since(start).Round(time.Microsecond))
	row.OK, row.Offset = err == nil, st.Offset
	if err != nil {
		row.Error = err.Error()
	}
}

// setSchedulerConditions updates the conditions that depend on the schedulers.
func (e *Entry) setSchedulerConditions(st api.State, err error) {
	if err != nil {
		e.process.SetCondition(daemon.ConditionSchedulerUnreachable, "", true, err.Error())
		return
	}
	e.process.SetCondition(daemon.ConditionSchedulerUnreachable, "", false, "")
	e.process.SetCondition(daemon.ConditionLogDown, "", st.LogDown, "as scheduler "+st.Scheduler+" says")
}

package entry

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/knapweedweir/knapweedweir/control"
	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/placement"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/settings"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

func (e *Entry) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/teams/{team}/services/{service}/requests", e.serveRequest)
	mux.HandleFunc("GET /v1/settings", e.settingsStatus)
	mux.HandleFunc("GET /v1/settings/{team}", e.settingsGet)
	mux.HandleFunc("PUT /v1/settings/{team}", e.settingsPut)
	mux.HandleFunc("POST /v1/jobs", e.jobSubmit)
	mux.HandleFunc("GET /v1/jobs/{id}", e.jobGet)
	mux.HandleFunc("DELETE /v1/jobs/{id}", e.jobCancel)
	mux.HandleFunc("GET /v1/scheduler/dump", e.schedulerDump)
}

// ErrorBody is the JSON body of an operator's request that failed.
type ErrorBody struct {
	Code             api.Code        `json:"code"`
	Message          string          `json:"message"`
	Findings         jsonc.Findings  `json:"findings,omitempty"`
	Offset           platform.Offset `json:"offset,omitempty"`
	RetryAfterMillis int64           `json:"retryAfterMillis,omitempty"`
}

// AcceptedBody is the JSON body of an accepted change.
type AcceptedBody struct {
	Offset platform.Offset `json:"offset"`
}

// SettingsStatus is one team's version at one entry.
type SettingsStatus struct {
	Team    string          `json:"team"`
	Version platform.Offset `json:"version"`
}

// SettingsBody is the JSON body of the settings status.
type SettingsBody struct {
	Entry  string           `json:"entry"`
	Offset platform.Offset  `json:"offset"`
	Teams  []SettingsStatus `json:"teams"`
	// Entries are the addresses of all entries in the platform's list.
	Entries []string `json:"entries"`
}

var statusOf = map[api.Code]int{
	api.Invalid: http.StatusBadRequest, api.Conflict: http.StatusConflict, api.Unavailable: http.StatusServiceUnavailable,
	api.InDoubt: http.StatusGatewayTimeout, api.NotFound: http.StatusNotFound, api.Elsewhere: http.StatusServiceUnavailable,
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
	file := r.URL.Query().Get("file")
	if file == "" {
		file = r.PathValue("team") + ".jsonc"
	}
	a, err := e.scheds.ask(api.Publish{Change: settings.Change{Team: r.PathValue("team"), Base: platform.Offset(base), File: file, Document: string(doc)}})
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
	a, err := e.scheds.ask(api.Submit{Job: spec})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

func (e *Entry) jobGet(w http.ResponseWriter, r *http.Request) {
	q := api.JobQuery{Job: r.PathValue("id")}
	a, err := e.scheds.ask(q)
	if err == nil && a.Code == api.Elsewhere {
		a, err = e.scheds.askAt(e.schedulerAddr(a.Owner), q, askTimeout)
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

func (e *Entry) jobCancel(w http.ResponseWriter, r *http.Request) {
	a, err := e.scheds.ask(api.Cancel{Job: r.PathValue("id"), Reason: "cancelled by an operator"})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

func (e *Entry) schedulerDump(w http.ResponseWriter, _ *http.Request) {
	data, err := e.scheds.client(e.settings.Schedulers[0]).Dump(watchTimeout)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, ErrorBody{Code: api.Unavailable, Message: err.Error()})
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(json.RawMessage(data))
}

// noteScheduler reports what is wrong with the schedulers that this entry asks.
func (e *Entry) noteScheduler(st api.State, err error) {
	if err != nil {
		e.process.SetCondition(daemon.ConditionSchedulerUnreachable, "", true, err.Error())
		return
	}
	e.process.SetCondition(daemon.ConditionSchedulerUnreachable, "", false, "")
	e.process.SetCondition(daemon.ConditionLogDown, "", st.LogDown, "as scheduler "+st.Scheduler+" says")
}

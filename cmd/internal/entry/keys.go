package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/settings"
)

// SignatureHeader is the header with the base64-encoded signature of a settings change.
const SignatureHeader = "Settings-Signature"

// keysGet returns the keys in force by owner.
func (e *Entry) keysGet(w http.ResponseWriter, _ *http.Request) {
	keys := e.state.Load().Keys
	if keys == nil {
		keys = map[string]settings.KeySet{}
	}
	writeJSON(w, http.StatusOK, keys)
}

// keysPut replaces the keys of an owner; the body is a settings.KeyChange.
func (e *Entry) keysPut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		badRequest(w, "the change could not be read: "+err.Error())
		return
	}
	var c settings.KeyChange
	if err := json.Unmarshal(data, &c); err != nil {
		badRequest(w, "the change could not be read: "+err.Error())
		return
	}
	a, err := e.schedulerClients.change(api.PublishKeys{Change: c})
	e.respond(w, a, err, func() { writeJSON(w, http.StatusOK, AcceptedBody{a.Offset}) })
}

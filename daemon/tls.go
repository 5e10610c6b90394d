package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/knapweedweir/knapweedweir/daemon/certs"
	"github.com/knapweedweir/knapweedweir/settings/jsonc"
)

// TLS configures the certificates of a process. Without it all connections are
// unencrypted.
type TLS struct {
	// Server is what callers and operators see. Its authorities are those of
	// operators: if they are given, only clients that show a certificate of
	// theirs reach anything but callers' requests and readiness.
	Server *certs.Files `json:"server"`
	// Peers is for the links between the system's own processes: both ends show
	// certificates of the same authorities, for the names kw-sched and kw-entry.
	Peers *certs.Files `json:"peers"`
}

// Validate reports missing settings; path is the path of the section.
func (t TLS) Validate(path string, report func(path, message string)) {
	if t.Peers != nil && t.Peers.Authorities == "" {
		report(path+".peers.authorities", "must be set, or anybody could be a peer")
	}
}

// CheckFiles reports errors in the files that the section refers to.
func (t TLS) CheckFiles(path string, report func(path, message string)) {
	check := func(name string, files *certs.Files) {
		if files == nil {
			return
		}
		for _, p := range files.Check(time.Now()) {
			report(fmt.Sprintf("%s.%s.%s", path, name, p.Field), p.Message)
		}
	}
	check("server", t.Server)
	check("peers", t.Peers)
}

// FileChecker is implemented by settings that refer to other files.
type FileChecker interface {
	CheckFiles(report func(path, message string))
}

// checkFiles returns the findings about files that the settings refer to.
func checkFiles(path string, data []byte, out any) jsonc.Findings {
	checker, ok := out.(FileChecker)
	if !ok {
		return nil
	}
	var findings jsonc.Findings
	checker.CheckFiles(func(at, message string) { findings = append(findings, jsonc.Finding{Path: at, Message: message}) })
	if len(findings) == 0 {
		return nil
	}
	return jsonc.Relocate(path, data, findings, out)
}

// TLSStores holds the loaded certificates of a process. Connections are unencrypted
// where the store is nil.
type TLSStores struct{ Server, Peers *certs.Store }

// Open loads the certificates.
func (t TLS) Open() (TLSStores, error) {
	var l TLSStores
	for _, v := range []struct {
		files *certs.Files
		store **certs.Store
	}{{t.Server, &l.Server}, {t.Peers, &l.Peers}} {
		if v.files == nil {
			continue
		}
		store, err := certs.Open(*v.files, time.Now())
		if err != nil {
			return l, err
		}
		*v.store = store
	}
	return l, nil
}

// ListenServer wraps a listener with TLS for callers and operators.
func (l TLSStores) ListenServer(plain net.Listener) net.Listener {
	if l.Server == nil {
		return plain
	}
	return tls.NewListener(plain, l.Server.Server())
}

// ListenPeers wraps a listener with TLS for the system's own processes.
func (l TLSStores) ListenPeers(plain net.Listener) net.Listener {
	if l.Peers == nil {
		return plain
	}
	return tls.NewListener(plain, l.Peers.PeerServer(certs.SchedulerName, certs.EntryName))
}

// Timing of the certificate checks.
const (
	certificateCheckInterval = 5 * time.Second
	// expiryWarning is how long before its expiry a certificate is reported.
	expiryWarning = 7 * 24 * time.Hour
)

// WatchCertificates adds an actor that periodically reloads the files, and reports
// invalid files and certificates that expire soon.
func (p *Process) WatchCertificates(l TLSStores) {
	p.AddLoop(func(ctx context.Context) error {
		tick := time.NewTicker(certificateCheckInterval)
		defer tick.Stop()
		for {
			p.checkCertificates(l, time.Now())
			select {
			case <-ctx.Done():
				return nil
			case <-tick.C:
			}
		}
	})
}

func (p *Process) checkCertificates(l TLSStores, now time.Time) {
	for _, store := range []*certs.Store{l.Server, l.Peers} {
		if store == nil {
			continue
		}
		name := store.Files().Certificate
		changed, err := store.Reload(now)
		if changed {
			p.Log.Info().Str("file", name).Time("expires", store.Expires()).Msg("certificate.replaced")
		}
		problem := ""
		switch left := store.Expires().Sub(now); {
		case err != nil:
			problem = "the files are not good, the ones before stay in use: " + err.Error()
		case left < expiryWarning:
			problem = fmt.Sprintf("expires in %s", left.Round(time.Minute))
		}
		p.SetCondition(ConditionCertificate, name, problem != "", problem)
	}
}

// OperatorsOnly rejects requests without an operator's client certificate, except on
// public paths. It does nothing if the settings configure no authorities for
// operators.
func (l TLSStores) OperatorsOnly(next http.Handler, public func(r *http.Request) bool) http.Handler {
	if l.Server == nil || l.Server.Files().Authorities == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !public(r) && (r.TLS == nil || len(r.TLS.VerifiedChains) == 0) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusForbidden)
			_, _ = w.Write([]byte(`{"code":"forbidden","message":"this path is for operators; show a certificate of their authority"}` + "\n"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

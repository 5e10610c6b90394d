package certs

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The DNS names in certificates of the system's own processes. The addresses of
// instances change, so a certificate identifies a peer by its role.
const (
	SchedulerName = "kw-sched"
	EntryName     = "kw-entry"
)

// Store holds the newest valid content of the files.
type Store struct {
	files   Files
	current atomic.Pointer[loadedFiles]
}

// Open loads the files. The error lists all problems.
func Open(files Files, now time.Time) (*Store, error) {
	s, problems := files.read(now)
	if len(problems) > 0 {
		return nil, problems
	}
	store := &Store{files: files}
	store.current.Store(s)
	return store, nil
}

// Check returns the problems of the files.
func (f Files) Check(now time.Time) Problems {
	_, problems := f.read(now)
	return problems
}

// Reload loads the files again and reports whether they have changed. If they are
// invalid, for example because only one of two has been replaced yet, the previous
// content stays in use.
func (s *Store) Reload(now time.Time) (changed bool, err error) {
	fresh, problems := s.files.read(now)
	if len(problems) > 0 {
		return false, problems
	}
	if fresh.digest == s.current.Load().digest {
		return false, nil
	}
	s.current.Store(fresh)
	return true, nil
}

// Expires returns when the current certificate expires.
func (s *Store) Expires() time.Time { return s.current.Load().leaf.NotAfter }

// Files returns the names of the files.
func (s *Store) Files() Files { return s.files }

// baseConfig is the common part of all configurations. Session tickets are disabled:
// a resumed session would keep using a certificate that has been replaced.
func (s *loadedFiles) baseConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.certificate}, SessionTicketsDisabled: true}
}

// Server returns the configuration of a server for callers and operators. If a
// client presents a certificate, it must be signed by one of the authorities; a
// client without one is a caller.
func (s *Store) Server() *tls.Config {
	return s.perConnection(func(cur *loadedFiles) *tls.Config {
		cfg := cur.baseConfig()
		cfg.NextProtos = []string{"http/1.1"}
		if cur.authorities != nil {
			cfg.ClientAuth, cfg.ClientCAs = tls.VerifyClientCertIfGiven, cur.authorities
		}
		return cfg
	})
}

// PeerServer returns the configuration of a server for the system's own
// processes: a client must present a certificate that is signed by one of the
// authorities and has one of the roles. Without the check of the role, any
// certificate of the authority, such as a runner's, would give access to schedulers.
func (s *Store) PeerServer(roles ...string) *tls.Config {
	return s.perConnection(func(cur *loadedFiles) *tls.Config {
		cfg := cur.baseConfig()
		cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, cur.peerAuthorities()
		cfg.VerifyConnection = func(st tls.ConnectionState) error { return hasRole(st.PeerCertificates[0], roles) }
		return cfg
	})
}

// peerAuthorities returns the authorities, or an empty pool if there are none: with a
// nil pool, crypto/tls would trust the root authorities of the system.
func (s *loadedFiles) peerAuthorities() *x509.CertPool {
	if s.authorities == nil {
		return x509.NewCertPool()
	}
	return s.authorities
}

func hasRole(leaf *x509.Certificate, roles []string) error {
	for _, role := range roles {
		if slices.Contains(leaf.DNSNames, role) {
			return nil
		}
	}
	return errors.Errorf("the certificate of %v is for none of the roles %v", leaf.DNSNames, roles)
}

// perConnection returns a configuration that uses the newest files for each
// connection.
func (s *Store) perConnection(newConfig func(cur *loadedFiles) *tls.Config) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return newConfig(s.current.Load()), nil
	}}
}

// Client returns the configuration for one connection to the server with the given
// name, from the newest files.
func (s *Store) Client(name string) *tls.Config {
	cur := s.current.Load()
	cfg := cur.baseConfig()
	cfg.ServerName, cfg.RootCAs = name, cur.peerAuthorities()
	return cfg
}

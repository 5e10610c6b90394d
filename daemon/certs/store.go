package certs

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// The names that certificates of the system's own processes carry as DNS names.
// Instances come and go with their addresses, so a peer is known by its role.
const (
	SchedulerName = "kw-sched"
	EntryName     = "kw-entry"
)

// Store holds the newest good state of the files.
type Store struct {
	files   Files
	current atomic.Pointer[snapshot]
}

// Open reads the files. The error lists everything that is wrong.
func Open(files Files, now time.Time) (*Store, error) {
	s, problems := files.read(now)
	if len(problems) > 0 {
		return nil, problems
	}
	store := &Store{files: files}
	store.current.Store(s)
	return store, nil
}

// Check returns what is wrong with the files.
func (f Files) Check(now time.Time) Problems {
	_, problems := f.read(now)
	return problems
}

// Reload reads the files again and says whether they have changed. When they are
// not good, for example because only one of two was replaced yet, the state
// before stays.
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

// Expires is when the certificate in use expires.
func (s *Store) Expires() time.Time { return s.current.Load().leaf.NotAfter }

// Files names the files.
func (s *Store) Files() Files { return s.files }

// base is what all configurations share. Tickets are off: a resumed session
// would go on with a certificate that has been replaced since.
func (s *snapshot) base() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{s.certificate}, SessionTicketsDisabled: true}
}

// Server returns the configuration of a server for callers and operators. A
// client that shows a certificate must show one of the authorities'; one that
// shows none is a caller.
func (s *Store) Server() *tls.Config {
	return s.perClient(func(cur *snapshot) *tls.Config {
		cfg := cur.base()
		cfg.NextProtos = []string{"http/1.1"}
		if cur.authorities != nil {
			cfg.ClientAuth, cfg.ClientCAs = tls.VerifyClientCertIfGiven, cur.authorities
		}
		return cfg
	})
}

// PeerServer returns the configuration of a server for the system's own
// processes: a client must show a certificate of the authorities with one of
// the roles. Without the check of the role, any certificate of the authority,
// such as a runner's, would open the schedulers.
func (s *Store) PeerServer(roles ...string) *tls.Config {
	return s.perClient(func(cur *snapshot) *tls.Config {
		cfg := cur.base()
		cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, cur.trusted()
		cfg.VerifyConnection = func(st tls.ConnectionState) error { return hasRole(st.PeerCertificates[0], roles) }
		return cfg
	})
}

// trusted is the authorities, or nobody: a nil pool would mean the system's.
func (s *snapshot) trusted() *x509.CertPool {
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

// perClient makes a configuration that looks at the newest files for each
// connection.
func (s *Store) perClient(make func(cur *snapshot) *tls.Config) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return make(s.current.Load()), nil
	}}
}

// Client returns the configuration of one connection to a server with a name,
// from the newest files.
func (s *Store) Client(name string) *tls.Config {
	cur := s.current.Load()
	cfg := cur.base()
	cfg.ServerName, cfg.RootCAs = name, cur.trusted()
	return cfg
}

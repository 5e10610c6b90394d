package daemon

import (
	"net"
	"net/http"
	"time"

	"github.com/knapweedweir/knapweedweir/daemon/netlimit"
)

// Limits of servers for operators and health checks. Their requests are short and have no bodies.
const (
	maxOperatorHeader = 8 << 10 // bytes
	// DefaultOperatorConns is the number of connections of a server that are open at a time unless the settings name another.
	DefaultOperatorConns = 64
	// operatorReadTimeout limits the time for reading a request as a whole.
	operatorReadTimeout = 5 * time.Second
	// operatorWriteTimeout limits the time for answering: a dump may be large and its reader slow.
	operatorWriteTimeout = time.Minute
	// operatorIdleTimeout exceeds the usual intervals between two reads of the metrics.
	operatorIdleTimeout = 90 * time.Second
)

// NewOperatorServer returns a server for operators or health checks. It bounds the size of a head, and the time that a request and
// its response take.
func NewOperatorServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxOperatorHeader, ReadHeaderTimeout: operatorReadTimeout, ReadTimeout: operatorReadTimeout,
		WriteTimeout: operatorWriteTimeout, IdleTimeout: operatorIdleTimeout}
}

// AddOperatorHTTP adds an actor that runs a server for operators or health checks, with TLS if the process has certificates for it, and
// with at most maxConns connections at a time. The name is that of the server in the metrics.
func (p *Process) AddOperatorHTTP(name string, plain net.Listener, maxConns int, tlsStores TLSStores, h http.Handler) {
	limiter := netlimit.New(netlimit.Bounds{MaxConns: maxConns, Log: p.Log.With().Str("server", name).Logger()}, p.Metrics.SubScope(name))
	p.AddHTTP(tlsStores.ListenServer(limiter.Listen(plain)), limiter.Server(NewOperatorServer(h)))
}

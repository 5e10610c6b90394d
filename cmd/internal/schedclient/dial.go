package schedclient

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/daemon/certs"
)

// Dialer connects to a scheduler within a timeout.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// Plain connects without TLS.
func Plain(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

// DialerOf returns the dialer for the TLS configuration of a process. Each connection uses
// the newest certificates.
func DialerOf(tlsStores daemon.TLSStores) Dialer {
	if tlsStores.Peers == nil {
		return Plain
	}
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		return tls.DialWithDialer(&net.Dialer{Timeout: timeout}, "tcp", addr, tlsStores.Peers.Client(certs.SchedulerName))
	}
}

package main

import (
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/http"
	"os"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/daemon/certs"
)

// tlsOptions are the options for connecting to entries over TLS.
type tlsOptions struct{ authorities, certificate, key, name string }

func (o *tlsOptions) flags(f *flag.FlagSet) {
	f.StringVar(&o.authorities, "ca", o.authorities, "`file` of the authorities of entries' certificates; turns TLS on; default $KW_CA")
	f.StringVar(&o.certificate, "cert", o.certificate, "`file` of the operator's certificate; default $KW_CERT")
	f.StringVar(&o.key, "key", o.key, "`file` of the certificate's key; default $KW_KEY")
	f.StringVar(&o.name, "server-name", o.name, "`name` that entries' certificates carry")
}

func tlsFromEnv(getenv func(string) string) tlsOptions {
	return tlsOptions{authorities: getenv("KW_CA"), certificate: getenv("KW_CERT"), key: getenv("KW_KEY"), name: certs.EntryName}
}

// transport returns the URL scheme and the HTTP client for entries. The client is created on
// first use, after the flags have been parsed.
func (c *console) transport() (string, *http.Client, error) {
	c.once.Do(func() { c.scheme, c.client, c.clientErr = c.tls.open() })
	return c.scheme, c.client, c.clientErr
}

func (o tlsOptions) open() (string, *http.Client, error) {
	if o.authorities == "" {
		if o.certificate != "" || o.key != "" {
			return "", nil, &usageError{"-cert and -key need -ca, the authorities of the entries' certificates"}
		}
		return "http", &http.Client{}, nil
	}
	data, err := os.ReadFile(o.authorities)
	if err != nil {
		return "", nil, errors.Wrap(err, "read authorities")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, ServerName: o.name, RootCAs: x509.NewCertPool()}
	if !cfg.RootCAs.AppendCertsFromPEM(data) {
		return "", nil, errors.Errorf("%s holds no certificate in PEM", o.authorities)
	}
	if o.certificate != "" {
		pair, err := tls.LoadX509KeyPair(o.certificate, o.key)
		if err != nil {
			return "", nil, errors.Wrap(err, "read the operator's certificate")
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	return "https", &http.Client{Transport: &http.Transport{TLSClientConfig: cfg}}, nil
}

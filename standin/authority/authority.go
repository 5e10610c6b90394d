// Package authority issues certificates for tests and development tools. Production
// code doesn't import it.
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Authority is an in-memory certificate authority.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// dayAgo backdates certificates to well before any time at which they are checked. Clock
// skew, or a test that sets its time in the past, then doesn't make them not yet valid.
const dayAgo = -24 * time.Hour

// validFor is the validity period of an authority's own certificate.
const validFor = 10 * 365 * 24 * time.Hour

// New returns an authority with a new key and a self-signed certificate.
func New(name string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotBefore: time.Now().Add(dayAgo),
		NotAfter: time.Now().Add(validFor), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "make certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key, serial: 1}, errors.Wrap(err, "parse certificate")
}

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return block("CERTIFICATE", a.certificate.Raw) }

// Issue returns a certificate for DNS names that expires at the given time, and its
// key, both in PEM.
func (a *Authority) Issue(until time.Time, names ...string) (certificate, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make key")
	}
	a.serial++
	template := &x509.Certificate{SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: names[0]}, DNSNames: names,
		NotBefore: time.Now().Add(dayAgo), NotAfter: until,
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, private.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make certificate")
	}
	bytes, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode key")
	}
	return block("CERTIFICATE", der), block("PRIVATE KEY", bytes), nil
}

// Write issues a certificate and writes FILE.pem, FILE-key.pem and authority.pem into a
// directory. Each file is replaced atomically.
func (a *Authority) Write(dir, file string, until time.Time, names ...string) error {
	certificate, key, err := a.Issue(until, names...)
	if err != nil {
		return err
	}
	for name, data := range map[string][]byte{file + ".pem": certificate, file + "-key.pem": key, "authority.pem": a.PEM()} {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path+".new", data, 0o600); err != nil {
			return errors.Wrap(err, "write certificate")
		}
		if err := os.Rename(path+".new", path); err != nil {
			return errors.Wrap(err, "write certificate")
		}
	}
	return nil
}

func block(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

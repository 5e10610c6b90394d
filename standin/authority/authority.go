// Package authority makes certificates for tests and developers' tools. Nothing
// that ships imports it.
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

// Authority is a certificate authority that lives in memory.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// dayAgo is well before any clock that a certificate is checked by.
const dayAgo = -24 * time.Hour

// validFor is how long an authority is valid.
const validFor = 10 * 365 * 24 * time.Hour

// New makes an authority.
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

// PEM is the authority's certificate.
func (a *Authority) PEM() []byte { return block("CERTIFICATE", a.certificate.Raw) }

// Issue makes a certificate for DNS names that is valid until a time, and its key.
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

// Write issues a certificate and writes NAME.pem, NAME-key.pem and authority.pem
// into a folder, each file whole or not at all.
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

// Package certs provides TLS configurations from certificate files. The files are
// reloaded when they change, so that certificates can be replaced without a restart:
// existing connections continue, new ones use the new files.
package certs

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Files names the files of one end of TLS connections. All are PEM.
type Files struct {
	// Certificate is the file of the certificate chain that is shown to the
	// other end, the leaf first.
	Certificate string `json:"certificate"`
	// Key is the file of the private key of the certificate.
	Key string `json:"key"`
	// Authorities is the file of the authorities' certificates that the other
	// end's certificate is checked against.
	Authorities string `json:"authorities"`
}

// Problem is an error in one of the files.
type Problem struct {
	// Field is the setting that refers to the file.
	Field   string
	Message string
}

// Problems is a list of problems; a non-empty one is an error. No message contains
// any part of a key.
type Problems []Problem

func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, v := range p {
		lines[i] = v.Field + ": " + v.Message
	}
	return strings.Join(lines, "; ")
}

// loadedFiles is the parsed content of the files.
type loadedFiles struct {
	digest      [sha256.Size]byte
	certificate tls.Certificate
	leaf        *x509.Certificate
	authorities *x509.CertPool
}

// read loads the files and collects their problems.
func (f Files) read(now time.Time) (*loadedFiles, Problems) {
	var problems Problems
	load := func(field, path string) []byte {
		if path == "" {
			problems = append(problems, Problem{field, "must be set"})
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			problems = append(problems, Problem{field, readErrorText(err)})
		}
		return data
	}
	chain, key := load("certificate", f.Certificate), load("key", f.Key)
	var authorities []byte
	if f.Authorities != "" {
		authorities = load("authorities", f.Authorities)
	}
	if len(problems) > 0 {
		return nil, problems
	}
	s := &loadedFiles{digest: sha256.Sum256(bytes.Join([][]byte{chain, key, authorities}, []byte{0}))}
	problems = append(problems, s.loadPair(chain, key, now)...)
	if f.Authorities != "" {
		problems = append(problems, s.loadAuthorities(authorities, now)...)
	}
	return s, problems
}

// readErrorText returns the message of a read error without the name of the operation.
func readErrorText(err error) string {
	var path *os.PathError
	if errors.As(err, &path) {
		return fmt.Sprintf("can't read %s: %v", path.Path, path.Err)
	}
	return err.Error()
}

func (s *loadedFiles) loadPair(chain, key []byte, now time.Time) Problems {
	leaves := certificates(chain)
	if len(leaves) == 0 {
		return Problems{{"certificate", "holds no certificate in PEM"}}
	}
	s.leaf = leaves[0]
	if now.After(s.leaf.NotAfter) {
		return Problems{{"certificate", "expired at " + s.leaf.NotAfter.UTC().Format(time.RFC3339)}}
	}
	if now.Before(s.leaf.NotBefore) {
		return Problems{{"certificate", "is not valid before " + s.leaf.NotBefore.UTC().Format(time.RFC3339)}}
	}
	if block, _ := pem.Decode(key); block == nil {
		return Problems{{"key", "holds no key in PEM"}}
	}
	pair, err := tls.X509KeyPair(chain, key)
	if err != nil {
		return Problems{{"key", "does not fit the certificate: " + strings.TrimPrefix(err.Error(), "tls: ")}}
	}
	s.certificate = pair
	return nil
}

func (s *loadedFiles) loadAuthorities(authorities []byte, now time.Time) Problems {
	s.authorities = x509.NewCertPool()
	valid := 0
	for _, c := range certificates(authorities) {
		s.authorities.AddCert(c)
		if now.Before(c.NotAfter) {
			valid++
		}
	}
	if valid == 0 {
		return Problems{{"authorities", "holds no certificate in PEM that is still valid"}}
	}
	return nil
}

func certificates(data []byte) []*x509.Certificate {
	var list []*x509.Certificate
	for {
		var block *pem.Block
		if block, data = pem.Decode(data); block == nil {
			return list
		}
		if c, err := x509.ParseCertificate(block.Bytes); err == nil {
			list = append(list, c)
		}
	}
}

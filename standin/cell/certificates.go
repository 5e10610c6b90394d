package cell

import (
	"path/filepath"
	"time"

	"github.com/knapweedweir/knapweedweir/standin/authority"
)

// certificateValidity is longer than any cell runs.
const certificateValidity = 30 * 24 * time.Hour

// peerTLS issues a certificate for a process's connections to other processes and returns
// the TLS settings that refer to it.
func (c *Cell) peerTLS(process, role string) (map[string]any, error) {
	if c.authority == nil {
		a, err := authority.New("cell")
		if err != nil {
			return nil, err
		}
		c.authority = a
	}
	if err := c.authority.Write(c.Dir, process, time.Now().Add(certificateValidity), role); err != nil {
		return nil, err
	}
	file := func(name string) string { return filepath.Join(c.Dir, name) }
	return map[string]any{"peers": map[string]any{"certificate": file(process + ".pem"), "key": file(process + "-key.pem"),
		"authorities": file("authority.pem")}}, nil
}

// ReplaceCertificates issues new certificates to all pairs.
func (c *Cell) ReplaceCertificates() error {
	for _, p := range c.Pairs {
		for process, role := range map[string]string{p.Sched.Name: "kw-sched", p.Entry.Name: "kw-entry"} {
			if _, err := c.peerTLS(process, role); err != nil {
				return err
			}
		}
	}
	return nil
}

package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
	"github.com/knapweedweir/knapweedweir/logstream"
)

// KindKeys is the record kind of a change of keys.
const KindKeys logstream.Kind = "settings.keys"

// RootOwner owns the keys of all teams. It is no valid team name.
const RootOwner = "*root"

// maxKeys bounds the keys of one owner.
const maxKeys = 8

// PublicKey is an Ed25519 public key in base64.
type PublicKey string

func (k PublicKey) bytes() (ed25519.PublicKey, error) {
	b, err := base64.StdEncoding.DecodeString(string(k))
	if err != nil {
		return nil, errors.Wrap(err, "public key")
	}
	if len(b) != ed25519.PublicKeySize {
		return nil, errors.Errorf("public key has %d bytes, want %d", len(b), ed25519.PublicKeySize)
	}
	return b, nil
}

// KeyChange proposes new keys for a team, or for the root.
type KeyChange struct {
	// Owner is a team or RootOwner.
	Owner string `json:"owner"`
	// Base is the version of the owner's keys that the change replaces.
	Base infra.Offset `json:"base"`
	// Keys are the new keys; any one of them may sign. A spare that is kept
	// elsewhere is what a lost root key is replaced with. A team without keys
	// can't be changed.
	Keys []PublicKey `json:"keys"`
	// Signature is by a root key in force; by one of the new keys for the
	// first root keys, which proves that somebody holds it.
	Signature []byte `json:"signature"`
}

// KeySet is an owner's keys in force since an offset.
type KeySet struct {
	Offset infra.Offset `json:"offset"`
	Keys   []PublicKey  `json:"keys"`
}

// ForbiddenError is the ruling on a change by somebody who does not own what it
// changes.
type ForbiddenError struct{ Reason string }

func (e *ForbiddenError) Error() string { return e.Reason }

// The first element of what is signed keeps a signature of one kind of change
// from being taken for the other.
const (
	changeDomain = "knapweedweir settings change 1"
	keysDomain   = "knapweedweir settings keys 1"
)

// signedBytes is what a signature is over. It contains the base version, so that
// a signature can't be used again for a later change.
func signedBytes(parts ...any) []byte {
	// Strings, numbers and lists of strings can always be encoded.
	data, _ := json.Marshal(parts)
	return data
}

// Sign returns the change with a signature.
func (c Change) Sign(key ed25519.PrivateKey) Change {
	c.Signature = ed25519.Sign(key, c.signed())
	return c
}

func (c Change) signed() []byte { return signedBytes(changeDomain, c.Team, c.Base, c.Document) }

// Sign returns the change with a signature.
func (c KeyChange) Sign(key ed25519.PrivateKey) KeyChange {
	c.Signature = ed25519.Sign(key, c.signed())
	return c
}

func (c KeyChange) signed() []byte { return signedBytes(keysDomain, c.Owner, c.Base, c.Keys) }

// Check returns what is wrong with the change itself.
func (c KeyChange) Check() error {
	if c.Owner != RootOwner && !teamName.MatchString(c.Owner) {
		return errors.Errorf("%q is neither a team name nor %q", c.Owner, RootOwner)
	}
	if c.Owner == RootOwner && len(c.Keys) == 0 {
		return errors.New("the root needs at least one key")
	}
	if len(c.Keys) > maxKeys {
		return errors.Errorf("at most %d keys", maxKeys)
	}
	for _, k := range c.Keys {
		if _, err := k.bytes(); err != nil {
			return err
		}
	}
	return nil
}

func signedByOne(keys []PublicKey, message, signature []byte) bool {
	for _, k := range keys {
		// Only checked keys are kept; ed25519.Verify panics on others.
		if pub, err := k.bytes(); err == nil && ed25519.Verify(pub, message, signature) {
			return true
		}
	}
	return false
}

// mayChange rules on who may change a team's settings. It must not depend on
// anything but the tree: every process has to come to the same ruling.
func (t *Tree) mayChange(c Change) error {
	if len(t.keys[RootOwner].Keys) == 0 {
		return nil
	}
	keys := t.keys[c.Team].Keys
	if len(keys) == 0 {
		return &ForbiddenError{fmt.Sprintf("team %q has no key; the root has to register one", c.Team)}
	}
	if !signedByOne(keys, c.signed(), c.Signature) {
		return &ForbiddenError{fmt.Sprintf("the change is not signed by a key of team %q", c.Team)}
	}
	return nil
}

func (t *Tree) applyKeys(at infra.Offset, rec logstream.Record) error {
	var c KeyChange
	if err := json.Unmarshal(rec.Body, &c); err != nil {
		return errors.Wrap(err, "decode change of keys")
	}
	if err := c.Check(); err != nil {
		return err
	}
	if current := t.keys[c.Owner].Offset; c.Base != current {
		return &ConflictError{Team: c.Owner, Base: c.Base, Current: current}
	}
	signers := t.keys[RootOwner].Keys
	if len(signers) == 0 {
		if c.Owner != RootOwner {
			return &ForbiddenError{"no root key is in force; register one first"}
		}
		signers = c.Keys
	}
	if !signedByOne(signers, c.signed(), c.Signature) {
		return &ForbiddenError{"the change of keys is not signed by a root key"}
	}
	t.keys[c.Owner] = KeySet{Offset: at, Keys: c.Keys}
	return nil
}

// Keys returns the keys of every owner.
func (t *Tree) Keys() map[string]KeySet {
	keys := make(map[string]KeySet, len(t.keys))
	for owner, k := range t.keys {
		keys[owner] = k
	}
	return keys
}

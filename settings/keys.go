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

// RootOwner is the owner of the root keys, which sign changes of all keys. It is not
// a valid team name.
const RootOwner = "*root"

// maxKeys is the maximum number of keys of one owner.
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
	// Keys are the new keys; each of them may sign. Register a spare root key that
	// is stored elsewhere, as only it can replace a lost root key. The settings of
	// a team without keys can't be changed.
	Keys []PublicKey `json:"keys"`
	// Signature is by a current root key. The first root keys are signed by one of
	// themselves, which proves that the proposer has its private key.
	Signature []byte `json:"signature"`
}

// KeySet is the current keys of an owner, set by the record at an offset.
type KeySet struct {
	Offset infra.Offset `json:"offset"`
	Keys   []PublicKey  `json:"keys"`
}

// ForbiddenError rejects a change that is not signed by an owner of what it
// changes.
type ForbiddenError struct{ Reason string }

func (e *ForbiddenError) Error() string { return e.Reason }

// The domains are the first element of the signed data, so that a signature of one
// kind of change is not valid for the other.
const (
	changeDomain = "knapweedweir settings change 1"
	keysDomain   = "knapweedweir settings keys 1"
)

// signaturePayload encodes the signed data. It includes the base version, so that a
// signature can't be replayed for a later change.
func signaturePayload(parts ...any) []byte {
	// Strings, numbers and lists of strings can always be encoded.
	data, _ := json.Marshal(parts)
	return data
}

// Sign returns the change with a signature by key.
func (c Change) Sign(key ed25519.PrivateKey) Change {
	c.Signature = ed25519.Sign(key, c.signed())
	return c
}

func (c Change) signed() []byte { return signaturePayload(changeDomain, c.Team, c.Base, c.Document) }

// Sign returns the change with a signature by key.
func (c KeyChange) Sign(key ed25519.PrivateKey) KeyChange {
	c.Signature = ed25519.Sign(key, c.signed())
	return c
}

func (c KeyChange) signed() []byte { return signaturePayload(keysDomain, c.Owner, c.Base, c.Keys) }

// Check validates the change without its signature.
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

func isSignedByAny(keys []PublicKey, message, signature []byte) bool {
	for _, k := range keys {
		// ed25519.Verify panics on keys of a wrong length; bytes rejects these.
		if pub, err := k.bytes(); err == nil && ed25519.Verify(pub, message, signature) {
			return true
		}
	}
	return false
}

// authorize checks that a change is signed by a key of the team. The result must
// depend only on the tree, so that every process gets the same one.
func (t *Tree) authorize(c Change) error {
	if len(t.keys[RootOwner].Keys) == 0 {
		return nil
	}
	keys := t.keys[c.Team].Keys
	if len(keys) == 0 {
		return &ForbiddenError{fmt.Sprintf("team %q has no key; the root has to register one", c.Team)}
	}
	if !isSignedByAny(keys, c.signed(), c.Signature) {
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
	if !isSignedByAny(signers, c.signed(), c.Signature) {
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

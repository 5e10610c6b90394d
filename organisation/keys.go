package organisation

import (
	"crypto/sha256"
	"strings"
)

// KeyHash is the hash by which a key is looked up. Keys are random, so the hash needs no salt, and
// the time that a lookup takes tells nothing about a key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// String returns the same text for all hashes, so that none is logged by mistake.
func (KeyHash) String() string { return "(hash of a key)" }

// MarshalText implements encoding.TextMarshaler with the same text for all hashes.
func (h KeyHash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// maxKeyLen is the length of the longest key that is looked up, in bytes.
const maxKeyLen = 4096

// BearerToken returns the token of a request's Authorization headers, in the form of RFC 6750: one
// header with the scheme Bearer, whose case doesn't matter, one or more spaces and a token. Several
// headers are ambiguous, so they contain no token.
func BearerToken(headers []string) (token string, ok bool) {
	if len(headers) != 1 || len(headers[0]) > maxKeyLen {
		return "", false
	}
	scheme, rest, found := strings.Cut(strings.Trim(headers[0], " \t"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return "", false
	}
	token = strings.TrimLeft(rest, " ")
	return token, isToken(token)
}

// isToken reports whether text is a b64token of RFC 6750.
func isToken(text string) bool {
	body := strings.TrimRight(text, "=")
	return body != "" && strings.IndexFunc(body, func(c rune) bool {
		return !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-._~+/", c))
	}) < 0
}

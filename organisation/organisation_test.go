package organisation

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a configuration that gives one key to two organisations, or an organisation two caps.
func TestInvalidOrganisationsAreRejected(t *testing.T) {
	good := Entry{Organisation: Organisation{Name: "a", Weight: 3, Cap: Amounts{1, 2, 3}}, Keys: []string{"k1", "k2"}}
	for want, entries := range map[string][]Entry{
		"organisations[1].name: \"a\" is listed twice":             {good, {Organisation: Organisation{Name: "a"}}},
		"organisations[0].name: missing":                           {{Keys: []string{"k"}}},
		"organisations[0].weight: below 0":                         {{Organisation: Organisation{Name: "a", Weight: -1}}},
		"organisations[0].priority: below 0":                       {{Organisation: Organisation{Name: "a", Priority: -1}}},
		"organisations[0].cap.gpu: below 0":                        {{Organisation: Organisation{Name: "a", Cap: Amounts{GPU: -1}}}},
		"organisations[1].keys[0]: empty":                          {good, {Organisation: Organisation{Name: "b"}, Keys: []string{""}}},
		"organisations[1].keys[1]: is a key of \"a\" already":      {good, {Organisation: Organisation{Name: "b"}, Keys: []string{"k3", "k2"}}},
		"organisations[0].keys[1]: is a key of \"secret\" already": {{Organisation: Organisation{Name: "secret"}, Keys: []string{"k", "k"}}},
	} {
		_, err := NewSet(entries)
		assert.Error(t, err, want)
	}
}

func TestKeysAreLookedUpByOrganisation(t *testing.T) {
	s, err := NewSet([]Entry{
		{Organisation: Organisation{Name: "a", Weight: 3}, Keys: []string{"k1", "k2"}},
		{Organisation: Organisation{Name: "b"}},
	})
	assert.NilError(t, err)
	name, held := s.OfKey("k2")
	assert.Assert(t, held && name == "a")
	_, held = s.OfKey("k3")
	assert.Assert(t, !held)
	_, held = Set{}.OfKey("")
	assert.Assert(t, !held)
	assert.Equal(t, s.Keys("a"), 2)
	assert.Equal(t, s.Keys("b"), 0)
	b, known := s.Get("b")
	assert.Assert(t, known && b.Name == "b")
}

// Guards against keys in logs and dumps through a set of organisations.
func TestSetShowsNoKeys(t *testing.T) {
	s, err := NewSet([]Entry{{Organisation: Organisation{Name: "a"}, Keys: []string{"verysecretkey"}}})
	assert.NilError(t, err)
	data, err := json.Marshal(s)
	assert.NilError(t, err)
	hash := HashKey("verysecretkey")
	for _, text := range []string{fmt.Sprint(s), string(data), hash.String()} {
		assert.Assert(t, !strings.Contains(text, "verysecretkey"), text)
	}
}

func TestBearerToken(t *testing.T) {
	for _, c := range []struct {
		headers []string
		token   string
		ok      bool
	}{
		{nil, "", false},
		{[]string{""}, "", false},
		{[]string{"Bearer"}, "", false},
		{[]string{"Bearer "}, "", false},
		{[]string{"Bearer abc"}, "abc", true},
		{[]string{"bEARER  a-b._~+/9=="}, "a-b._~+/9==", true},
		{[]string{" Bearer abc\t"}, "abc", true},
		{[]string{"Bearer=abc"}, "", false},
		{[]string{"Basic abc"}, "", false},
		{[]string{"abc"}, "", false},
		{[]string{"Bearer a b"}, "a b", false},
		{[]string{"Bearer a,b"}, "a,b", false},
		{[]string{"Bearer =="}, "==", false},
		{[]string{"Bearer abc", "Bearer abc"}, "", false},
		{[]string{"Bearer " + strings.Repeat("a", maxKeyLen)}, "", false},
	} {
		token, ok := BearerToken(c.headers)
		assert.Equal(t, ok, c.ok, "%q", c.headers)
		if ok {
			assert.Equal(t, token, c.token)
		}
	}
}

func FuzzBearerToken(f *testing.F) {
	for _, s := range []string{"Bearer abc", "bearer  x=", "Bearer", "Basic abc", "Bearer \x00", " Bearer a b "} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		token, ok := BearerToken([]string{header})
		if ok && (token == "" || !isToken(token) || !strings.HasSuffix(strings.TrimRight(header, " \t"), token)) {
			t.Fatalf("%q contains no token %q", header, token)
		}
	})
}

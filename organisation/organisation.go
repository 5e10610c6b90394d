// Package organisation holds the organisations of a configuration: who may call, what each of them
// may have running, and its share when capacity is short. It does no I/O.
package organisation

import (
	"encoding/json"
	"maps"

	"github.com/pkg/errors"
)

// Amounts are amounts of the resources that a cap limits, indexed by Resource.
type Amounts [Resources]int64

// Resource is an index into Amounts.
type Resource int

// The resources, with their units.
const (
	CPU Resource = iota // thousandths of a core
	Mem                 // megabytes
	GPU                 // accelerators
	// Resources is the number of resources.
	Resources
)

// String returns the name of the resource for logs and errors.
func (r Resource) String() string { return [...]string{"cpu", "memory", "gpu"}[r] }

// Plus returns the sum of a and b.
func (a Amounts) Plus(b Amounts) Amounts {
	for r := range a {
		a[r] += b[r]
	}
	return a
}

// Minus returns the difference of a and b.
func (a Amounts) Minus(b Amounts) Amounts {
	for r := range a {
		a[r] -= b[r]
	}
	return a
}

// Within reports whether no amount of a exceeds that of b.
func (a Amounts) Within(b Amounts) bool {
	for r := range a {
		if a[r] > b[r] {
			return false
		}
	}
	return true
}

// Times returns a multiple of a.
func (a Amounts) Times(n int64) Amounts {
	for r := range a {
		a[r] *= n
	}
	return a
}

// Organisation is one organisation of a configuration.
type Organisation struct {
	Name string
	// Weight is its share when capacity is short, and the jobs per second that it may expect to be
	// served; 0: none is promised.
	Weight int
	// Priority is as configured; scheduling doesn't use it.
	Priority int
	// Cap is what its tasks may use at the same time in all pools; 0: no limit.
	Cap Amounts
}

// Exceeds returns the first resource of which need exceeds the organisation's cap, and whether there
// is one.
func (o *Organisation) Exceeds(need Amounts) (Resource, bool) {
	for r := range need {
		if o.Cap[r] > 0 && need[r] > o.Cap[r] {
			return Resource(r), true
		}
	}
	return 0, false
}

// Entry is an organisation as a configuration lists it, with its keys in plain text.
type Entry struct {
	Organisation
	Keys []string
}

// Set holds the organisations of one version of a configuration. It is immutable. The zero value
// holds none.
type Set struct {
	byName map[string]Organisation
	byKey  map[KeyHash]string // name of the organisation
}

// NewSet checks entries and returns their set. It keeps the keys as hashes only, and no error
// contains a key.
func NewSet(entries []Entry) (Set, error) {
	s := Set{byName: map[string]Organisation{}, byKey: map[KeyHash]string{}}
	for i, e := range entries {
		if err := e.check(); err != nil {
			return Set{}, errors.Errorf("organisations[%d].%v", i, err)
		}
		if _, twice := s.byName[e.Name]; twice {
			return Set{}, errors.Errorf("organisations[%d].name: %q is listed twice", i, e.Name)
		}
		s.byName[e.Name] = e.Organisation
		for k, key := range e.Keys {
			if key == "" {
				return Set{}, errors.Errorf("organisations[%d].keys[%d]: empty", i, k)
			}
			hash := HashKey(key)
			if owner, held := s.byKey[hash]; held {
				return Set{}, errors.Errorf("organisations[%d].keys[%d]: is a key of %q already", i, k, owner)
			}
			s.byKey[hash] = e.Name
		}
	}
	return s, nil
}

func (e *Entry) check() error {
	switch {
	case e.Name == "":
		return errors.New("name: missing")
	case e.Weight < 0:
		return errors.New("weight: below 0")
	case e.Priority < 0:
		return errors.New("priority: below 0")
	}
	for r, amount := range e.Cap {
		if amount < 0 {
			return errors.Errorf("cap.%v: below 0", Resource(r))
		}
	}
	return nil
}

// Equal reports whether two sets hold the same organisations with the same keys.
func (s Set) Equal(o Set) bool { return maps.Equal(s.byName, o.byName) && maps.Equal(s.byKey, o.byKey) }

// MarshalJSON encodes the organisations by name, without their keys.
func (s Set) MarshalJSON() ([]byte, error) { return json.Marshal(s.byName) }

// Get returns an organisation by its name.
func (s Set) Get(name string) (Organisation, bool) {
	o, ok := s.byName[name]
	return o, ok
}

// All returns the organisations by name. The map must not be changed.
func (s Set) All() map[string]Organisation { return s.byName }

// OfKey returns the name of the organisation that holds a key.
func (s Set) OfKey(key string) (name string, held bool) {
	name, held = s.byKey[HashKey(key)]
	return name, held
}

// Keys returns the number of keys of an organisation.
func (s Set) Keys(name string) int {
	n := 0
	for _, owner := range s.byKey {
		if owner == name {
			n++
		}
	}
	return n
}

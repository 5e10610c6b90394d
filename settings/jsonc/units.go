package jsonc

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Duration is a time.Duration that is written as a string such as "250ms" in JSON.
type Duration time.Duration

// D returns the duration as the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration such as \"250ms\" or \"3s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Bytes is an amount of memory that is written as a string such as "64MiB" in JSON.
// Units are powers of 1024: B, KiB, MiB, GiB and TiB. "64MB" is rejected, as it is
// ambiguous: MB may be a power of 1000 or of 1024.
type Bytes int64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

var byteUnits = []struct {
	name string
	size Bytes
}{{"TiB", TiB}, {"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// String returns the amount as a whole number of the largest possible unit.
func (b Bytes) String() string {
	for _, u := range byteUnits {
		if b != 0 && b%u.size == 0 {
			return strconv.FormatInt(int64(b/u.size), 10) + u.name
		}
	}
	return "0B"
}

// MarshalText implements encoding.TextMarshaler.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (b *Bytes) UnmarshalText(text []byte) error {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(string(text), u.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil {
			break
		}
		if n > math.MaxInt64/int64(u.size) || n < math.MinInt64/int64(u.size) {
			return errors.Errorf("%q is more than can be counted", text)
		}
		*b = Bytes(n) * u.size
		return nil
	}
	return errors.Errorf("%q is not an amount of memory such as \"64MiB\"; units are B, KiB, MiB, GiB, TiB", text)
}

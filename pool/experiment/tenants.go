package experiment

import (
	"time"

	"github.com/knapweedweir/knapweedweir/organisation"
)

// Tenants is OrderDesk shared by three organisations with equal weights. One of them, noisy, has a cap of
// two fifths of the cores and sends 7.5 times its usual quotes for 7 s.
func Tenants() Workload {
	l := OrderDesk()
	desk := l.Kinds
	l.Kinds = nil
	for _, name := range []string{"noisy", "north", "south"} {
		l.Organisations = append(l.Organisations, organisation.Organisation{Name: name, Weight: 4})
		for _, k := range desk {
			k.Queue, k.Organisation = k.Name, name
			k.Name += "-" + name
			k.ArrivalsPerSec /= 3
			l.Kinds = append(l.Kinds, k)
		}
	}
	cores := int64(l.Workers) * int64(l.Capacity.CPU)
	l.Organisations[0].Cap = organisation.Amounts{organisation.CPU: cores * 2 / 5}
	l.Bursts = []Burst{{Kind: "quote-noisy", At: 10 * time.Second, Duration: 7 * time.Second, Factor: 7.5}}
	return l
}

package experiment

import "slices"

// cutOffQuantiles is the number of parts into which the candidate cut-offs divide the burst
// jobs.
const cutOffQuantiles = 4

// Bounds are the references to which an admission policy is compared.
type Bounds struct {
	// AcceptAll is the result without refusals.
	AcceptAll Result
	// CutOff is the best result of refusing by true value for true work, with the density found for
	// this very simulation.
	CutOff Result
	// Density is the value per core-second of the best cut-off; 0 refuses nothing.
	Density float64
}

// Best returns the larger share of the two.
func (b *Bounds) Best() float64 { return max(b.AcceptAll.Share(), b.CutOff.Share()) }

// ComputeBounds simulates a workload without refusals, and with refusal of the burst jobs whose
// value per core-second is below a density. It tries the densities that refuse one, two and
// three quarters of these jobs and keeps the one that earns most. No scheduler knows true value
// and work.
func ComputeBounds(load Workload, seed uint64) Bounds {
	load.Admission = Admission{}
	b := Bounds{AcceptAll: Simulate(load, seed)}
	b.CutOff = b.AcceptAll
	for _, density := range load.candidateDensities(seed) {
		load.Admission.MinDensity = density
		if r := Simulate(load, seed); r.Share() > b.CutOff.Share() {
			b.CutOff, b.Density = r, density
		}
	}
	return b
}

// candidateDensities returns the densities that divide the burst jobs into equal parts.
func (l *Workload) candidateDensities(seed uint64) []float64 {
	var all []float64
	for _, j := range l.generateJobs(newWorkloadRand(seed)) {
		if l.inBurst(j.at) {
			all = append(all, j.density())
		}
	}
	slices.Sort(all)
	var list []float64
	for n := 1; n < cutOffQuantiles && len(all) > 0; n++ {
		list = append(list, all[n*len(all)/cutOffQuantiles])
	}
	return list
}

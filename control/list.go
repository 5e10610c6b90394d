package control

import (
	"cmp"
	"slices"

	"github.com/knapweedweir/knapweedweir/control/api"
	"github.com/knapweedweir/knapweedweir/placement"
)

// listJobs returns the page of jobs that follows q.After. It keeps only the smallest IDs while
// it iterates over the registry, so a page of a large registry needs no copy of it.
func (c *Core) listJobs(q api.ListJobs) api.JobsPage {
	limit := api.MaxJobsPage
	if q.Max > 0 {
		limit = min(q.Max, limit)
	}
	page := api.JobsPage{Jobs: []api.JobRow{}}
	c.registry.Each(func(j placement.Job) {
		if !matches(j, q) {
			return
		}
		at, _ := slices.BinarySearchFunc(page.Jobs, j.Spec.ID, func(r api.JobRow, id string) int { return cmp.Compare(r.ID, id) })
		if at < limit {
			page.Jobs = slices.Insert(page.Jobs, at, rowOf(j))
		}
		if at == limit || len(page.Jobs) > limit {
			page.Jobs = page.Jobs[:limit]
			page.More = true
		}
	})
	return page
}

func matches(j placement.Job, q api.ListJobs) bool {
	return j.Spec.ID > q.After &&
		(q.Team == "" || j.Spec.Team == q.Team) &&
		(q.Kind == "" || j.Spec.Kind == q.Kind) &&
		(q.State == "" || j.State == q.State)
}

func rowOf(j placement.Job) api.JobRow {
	return api.JobRow{ID: j.Spec.ID, Team: j.Spec.Team, Name: j.Spec.Name, Kind: j.Spec.Kind, Tasks: j.Spec.Tasks,
		Urgent: j.Spec.Urgent, State: j.State, Reason: j.Reason, Accepted: j.Accepted}
}

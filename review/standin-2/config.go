package main

import "time"

func init() {
	cases[5] = routeRemoved
	cases[6] = serviceDropped
}

// routeRemoved: while the first step of an accepted job runs, a version of the configuration removes its route.
func routeRemoved(w *world, trouble bool) {
	w.addRunners(desk, 6)
	w.configure(1, []string{desk}, quoteRoute(desk), planRoute(desk))
	w.addNodes(3)
	settle()
	j := twoSteps(1500)
	w.mustSubmit("/plan/"+jobID, j)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.configure(3, []string{desk}, quoteRoute(desk))
	} else {
		w.configure(3, []string{desk}, quoteRoute(desk), planRoute(desk))
	}
	w.awaitDone(jobID, j.Steps[0].Count, 10*time.Second)
	time.Sleep(finish)
	w.checkWaits(jobID, j, desk)
	for _, x := range w.nodes {
		w.call(x, "GET", host, "/plan/"+jobID, nil)
	}
}

// serviceDropped: while the first step of an accepted job runs, a version of the configuration sends its queue
// to another service, and names the former service no more. The former service's runners stay.
func serviceDropped(w *world, trouble bool) {
	w.addRunners(desk, 6)
	w.addRunners(inspection, 6)
	w.configure(1, []string{desk, inspection}, quoteRoute(desk), planRoute(inspection))
	w.addNodes(3)
	settle()
	j := twoSteps(1500)
	w.mustSubmit("/plan/"+jobID, j)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		w.configure(3, []string{desk}, quoteRoute(desk), planRoute(desk))
	} else {
		w.configure(3, []string{desk, inspection}, quoteRoute(desk), planRoute(inspection))
	}
	w.awaitDone(jobID, j.Steps[0].Count, 10*time.Second)
	time.Sleep(finish)
	w.checkWaits(jobID, j, inspection)
	for _, x := range w.nodes {
		w.call(x, "GET", host, "/plan/"+jobID, nil)
	}
}

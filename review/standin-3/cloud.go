package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenance is maintenanceS.
const maintenance = 2 * time.Second

// order is an order of upkeep as it arrived.
type order struct {
	at              time.Time
	holder, machine string
	token           uint64
}

// cloud is the platform's machine service. Fences aren't checked (fencingEnforced = false).
type cloud struct {
	d    *deployment
	addr string

	mu     sync.Mutex
	hosted map[string]*runner // by machine
	state  map[string]string
	done   map[string]bool
	orders []order
}

func newCloud(d *deployment) (*cloud, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cloud{d: d, addr: l.Addr().String(), hosted: map[string]*runner{}, state: map[string]string{}, done: map[string]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	go func() { _ = (&http.Server{Handler: mux}).Serve(l) }() // until the case ends
	return c, nil
}

func (c *cloud) add(r *runner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosted["m-"+r.id], c.state["m-"+r.id] = r, "up"
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for id, r := range c.hosted {
		rows = append(rows, map[string]any{"machine": id, "pool": "grinding", "state": c.state[id], "zone": "hall-a", "labels": []string{"a", r.rack},
			"capacity": map[string]int{"cpu": 16000, "memMb": 32768}, "id": r.id})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"machines": rows, "nextToken": ""}) // the caller may be gone
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int    `json:"maintenanceWave"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	token, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64) // the program always sends one
	c.orders = append(c.orders, order{at: time.Now(), holder: r.Header.Get("Lease-Holder"), machine: body.Machine, token: token})
	x, status, reply := c.hosted[body.Machine], http.StatusOK, "{}"
	switch {
	case x == nil:
		status = http.StatusBadRequest
	case c.done[body.Machine]:
	case c.state[body.Machine] != "up":
		status, reply = http.StatusConflict, `{"reason":"busy"}`
	default:
		c.state[body.Machine] = "upkeep"
		go x.upkeep(func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.state[body.Machine], c.done[body.Machine] = "up", true
		})
	}
	c.d.line("machine service: order of upkeep of %s by %s, token %d: %d", body.Machine, r.Header.Get("Lease-Holder"), token, status)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprint(w, reply) // the caller may be gone
}

// upkeep ends all that runs on the runner's machine; a new life of it joins afterwards.
func (r *runner) upkeep(back func()) {
	r.cutOff(maintenance)
	r.crash()
	time.Sleep(maintenance)
	back()
	if err := r.report(); err != nil {
		r.d.line("%s: %v", r.id, err)
	}
}

// lowerAfterHigher returns two orders of one machine of which the later one has the lower token.
func (c *cloud) lowerAfterHigher() (first, second order, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, a := range c.orders {
		for _, b := range c.orders[n+1:] {
			if a.machine == b.machine && b.token < a.token {
				return a, b, true
			}
		}
	}
	return order{}, order{}, false
}

package node

import (
	"testing"
	"time"

	"github.com/knapweedweir/knapweedweir/pool"
)

// maxTasks bounds the tasks of a fuzzed job: a large job is slow, which is no fault.
const maxTasks = 1000

// FuzzRecord gives a core what a pool's topic may contain: a record that passes the check must not
// crash it.
func FuzzRecord(f *testing.F) {
	for _, key := range []string{"j/j1", "p/j1", "c/j1", "w/1", "w/x", "s/w1", "held", "owner", "other", "q/q1"} {
		for _, value := range []string{"1", "null", "[]", "{}", "\x00\xff", `{"id":"j1","q":"q","s":"s","st":[{"n":2},{"n":1,"a":[0],"gang":true}]}`,
			`{"id":"j1","st":[{"n":1,"a":[-1]}]}`, `{"s":"running","t":[{"i":0,"d":"10","f":{"1":[1]}},{"k":3,"i":7,"all":true}]}`, `{"s":"queued","t":[{"k":-1,"i":-1}]}`,
			`[{"Job":"j1","K":0,"Step":0,"Ordinal":1},{"Job":"j1","K":-1}]`, `[{"id":"w1","a":"w1:1","s":"s"}]`, `["m1"]`, `{"node":"a","addr":"a:1","life":1,"epoch":65537,"gen":1}`,
			`{"queue":"q1","version":3,"open":true,"service":"s","former":[1]}`, `{"queue":"q2","version":-3}`} {
			f.Add(key, []byte(value))
		}
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		rec := Stored{Offset: 1, Record: pool.Record{Key: key, Value: value}}
		if _, err := checkRecord(rec); err != nil {
			return
		}
		ev, err := decodeEvent(rec.Record, fromStore)
		if err != nil {
			if !looksWellFormed(rec.Record) {
				t.Fatalf("the record passed the check and can't be decoded: %v", err)
			}
			return // the owner skips it
		}
		if s, ok := ev.(pool.JobStored); ok && tooLarge(s.Job) {
			return
		}
		now := time.Hour
		core := pool.New(pool.Settings{Token: 1, Generation: 1, MaxLease: 6 * time.Second, EndedRetention: time.Minute}, now)
		core.Step(now, pool.QueuesChanged{Queues: map[string]pool.Queue{"q": {Name: "q", Service: "s", Attempts: 2}}})
		if _, isJob := ev.(pool.JobStored); !isJob { // a job that the other record types can refer to
			core.Step(now, pool.JobStored{Job: pool.Job{ID: "j1", Queue: "q", Service: "s", Repeat: 2, Steps: []pool.StepSpec{{Count: 2}, {Count: 3, Gang: true, After: []int{0}}}}})
		}
		if ev != nil {
			core.Step(now, ev)
		}
		core.Step(now, pool.WorkersListed{Workers: []pool.WorkerInfo{{ID: "w1", Addr: "w1:1", Service: "s", Capacity: pool.Resources{CPU: 1000, Mem: 1000}}}})
		for range 20 {
			now += 500 * time.Millisecond
			core.Step(now, pool.Tick{UnixMs: now.Milliseconds()})
			core.Plan(now)
		}
	})
}

func tooLarge(j pool.Job) bool {
	tasks := 0
	for _, s := range j.Steps {
		tasks += s.Count
	}
	return j.Repeat > 10 || tasks > maxTasks
}

// FuzzPeer decodes the entries with which instances announce themselves.
func FuzzPeer(f *testing.F) {
	for _, value := range []string{`{"addr":"10.0.0.1:80","life":5,"power":0.4}`, `{"addr":"","life":1}`, `{"addr":"a","life":1,"power":1e300}`, "null", "[]", "\x00"} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := decodePeer(Stored{Record: pool.Record{Key: "a", Value: value}})
		if err == nil && (e.Addr == "" || e.Life <= 0 || e.Cores < 0 || e.Cores > maxPlausibleCores || e.name != "a") {
			t.Fatalf("invalid instance entry accepted: %+v", e)
		}
	})
}

// FuzzBinding decodes the bindings of queues to pools.
func FuzzBinding(f *testing.F) {
	for _, value := range []string{`{"queue":"q","version":3,"service":"s","parts":[1]}`, `{"queue":"q","version":-1,"service":"s","parts":[1]}`, `{"queue":"q","service":"s","parts":[]}`,
		`{"queue":"q","service":"s","parts":[4]}`, `{"queue":"q","service":"s","parts":[9223372036854775807,-1]}`, `{"queue":"q","version":1e400}`, "null", "[]", "\x00", "[[[["} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		const parts = 4
		b, err := decodeBinding(Stored{Record: pool.Record{Key: pool.QueueKey("q"), Value: value}}, parts)
		if err != nil {
			return
		}
		if b.Queue != "q" || b.Service == "" || b.Version < 0 || b.part() < 0 || b.part() >= parts {
			t.Fatalf("invalid binding accepted: %+v", b)
		}
		for _, p := range b.former() {
			if p < 0 || p >= parts || p == b.part() {
				t.Fatalf("invalid former part: %+v", b)
			}
		}
	})
}

// FuzzClaim decodes records in place of the claim of an owner.
func FuzzClaim(f *testing.F) {
	for _, value := range []string{`{"node":"a","addr":"a:1","life":1,"epoch":65537,"gen":1}`, `{"node":"a","epoch":18446744073709551615,"gen":-1}`, `{"node":"a","epoch":0}`, `{"node":5,"epoch":1}`, "null", "[[[["} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		c, err := decodeOwnerRecord(value)
		if (c == nil) != (err != nil) || err == nil && (c.Node == "" || c.Epoch == 0) {
			t.Fatalf("want either a claim or an error: %+v, %v", c, err)
		}
	})
}

package main

import (
	"encoding/binary"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The limits of the store, as in the settings of a small deployment.
const (
	storeAnswer      = 4 * time.Millisecond
	storeAppend      = 2 * time.Millisecond
	maxRecordBytes   = 262144
	maxRequestBytes  = 2097152
	maxItemsPerPage  = 500
	maxBytesPerPage  = 1 << 20
	defaultReadKb    = 1024
	maxReadWait      = 30 * time.Second
	repeatableAppend = 5
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu    sync.Mutex
	parts map[string]*partition
	// away holds, by name of a node, a channel that is closed at the end of the time in which the store gives
	// this node no answer.
	away map[string]chan struct{}
	// leaders holds, by partition, the node whose append as a producer was the last to be accepted.
	leaders map[string]string
}

type partition struct {
	turn      sync.Mutex // appends are processed one at a time
	keyed     bool
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producer
	grown     chan struct{}
}

type newestRecord struct {
	value  []byte
	offset int
}

type producer struct {
	epoch, next uint64
	last        []appendAnswer
}

type appendAnswer struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore() *store {
	return &store{parts: map[string]*partition{}, away: map[string]chan struct{}{}, leaders: map[string]string{}}
}

// partition returns a partition of a topic. The store must be locked.
func (s *store) partition(topic, part string) *partition {
	id := topic + "/" + part
	p := s.parts[id]
	if p == nil {
		p = &partition{keyed: len(topic) > 6 && topic[:6] == "keyed.", newest: map[string]newestRecord{}, producers: map[string]*producer{},
			grown: make(chan struct{})}
		s.parts[id] = p
	}
	return p
}

// put appends records. The store must be locked.
func (p *partition) put(records [][]byte) appendAnswer {
	first := len(p.records)
	for _, r := range records {
		if p.keyed {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(p.newest, key)
			} else {
				p.newest[key] = newestRecord{value, len(p.records)}
			}
		}
		p.records = append(p.records, r)
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return appendAnswer{first, len(p.records)}
}

// write stores a record of the operator or of a runner.
func (s *store) write(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").put([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// read returns the newest record of a key.
func (s *store) read(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partition(topic, "0").newest[key].value
}

// cut makes the store silent for a node, and returns the function that ends this.
func (s *store) cut(node string) (heal func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	healed := make(chan struct{})
	s.away[node] = healed
	return func() {
		s.mu.Lock()
		delete(s.away, node)
		s.mu.Unlock()
		close(healed)
	}
}

func (s *store) isAway(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away[node] != nil
}

// leader returns the node that leads the n-th partition that a producer has written to.
func (s *store) leader(n int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var parts []string
	for part := range s.leaders {
		parts = append(parts, part)
	}
	sort.Strings(parts)
	if len(parts) == 0 {
		return ""
	}
	return s.leaders[parts[n%len(parts)]]
}

// hang never answers, as if all packets were lost.
func hang(r *http.Request) {
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// handler serves the store to one node.
func (s *store) handler(node string) http.Handler {
	mux := http.NewServeMux()
	wrap := func(f func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if s.isAway(node) {
				hang(r)
			}
			f(w, r)
		}
	}
	mux.HandleFunc("POST /-/log-append", wrap(func(w http.ResponseWriter, r *http.Request) { s.logAppend(node, w, r) }))
	mux.HandleFunc("GET /-/log-read", wrap(func(w http.ResponseWriter, r *http.Request) { s.logRead(node, w, r) }))
	mux.HandleFunc("GET /-/log-newest", wrap(s.logNewest))
	mux.HandleFunc("POST /-/log-trim", wrap(func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, struct{}{}) }))
	return mux
}

// splitRecords returns the records in a body, or false if it holds none or a broken one.
func splitRecords(body []byte, keyed bool) (records [][]byte, ok bool) {
	total := 0
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if body = body[4:]; n > len(body) || n > maxRecordBytes || (keyed && (n == 0 || 1+int(body[0]) > n)) {
			return nil, false
		}
		records, body, total = append(records, body[:n:n]), body[n:], total+n
	}
	return records, total <= maxRequestBytes
}

func (s *store) logAppend(node string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	if q.Get("topic") == "keyed.op" || q.Get("topic") == "keyed.servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	s.mu.Unlock()
	records, ok := splitRecords(body, p.keyed)
	if !ok {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	p.turn.Lock()
	time.Sleep(storeAppend)
	p.turn.Unlock()
	status, answer := s.append(p, q, records)
	if status == 200 && q.Get("producer") != "" {
		s.mu.Lock()
		s.leaders[q.Get("topic")+"/"+q.Get("part")] = node
		s.mu.Unlock()
	}
	time.Sleep(storeAnswer)
	reply(w, status, answer)
}

func (s *store) append(p *partition, q map[string][]string, records [][]byte) (int, any) {
	get := func(name string) uint64 {
		if len(q[name]) == 0 {
			return 0
		}
		n, _ := strconv.ParseUint(q[name][0], 10, 64)
		return n
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(q["at"]) > 0 && int(get("at")) != len(p.records) {
		return http.StatusPreconditionFailed, map[string]int{"end": len(p.records)}
	}
	if len(q["producer"]) == 0 {
		return 200, p.put(records)
	}
	name, epoch, sequence := q["producer"][0], get("epoch"), get("sequence")
	x := p.producers[name]
	if x == nil || epoch > x.epoch {
		x = &producer{epoch: epoch, next: sequence}
		p.producers[name] = x
	}
	if epoch < x.epoch {
		return http.StatusConflict, map[string]string{"reason": "fenced"}
	}
	if back := x.next - sequence; sequence < x.next && back <= uint64(len(x.last)) {
		return 200, x.last[uint64(len(x.last))-back]
	}
	if sequence != x.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "sequence": x.next}
	}
	answer := p.put(records)
	if x.next++; len(x.last) == repeatableAppend {
		x.last = x.last[1:]
	}
	x.last = append(x.last, answer)
	return 200, answer
}

func (s *store) logRead(node string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	maxKb, err := strconv.Atoi(q.Get("maxKb"))
	if err != nil {
		maxKb = defaultReadKb
	}
	timeout := time.After(min(time.Duration(waitMs)*time.Millisecond, maxReadWait))
	var out []byte
	for waited := false; ; {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		out = binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		for _, rec := range p.records[min(from, len(p.records)):] {
			if len(out)+4+len(rec) > maxKb<<10 && len(out) > 16 {
				break
			}
			out = append(binary.BigEndian.AppendUint32(out, uint32(len(rec))), rec...)
		}
		grown := p.grown
		s.mu.Unlock()
		if waited || len(out) > 16 {
			break
		}
		select {
		case <-grown:
		case <-timeout:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
	time.Sleep(storeAnswer)
	if s.isAway(node) {
		hang(r)
	}
	_, _ = w.Write(out)
}

func (s *store) logNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	answer := struct {
		Items []item `json:"items"`
		More  bool   `json:"more"`
		End   int    `json:"end"`
	}{Items: []item{}}
	q := r.URL.Query()
	s.mu.Lock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > q.Get("dependsOn") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		rec := p.newest[key]
		if size += len(key) + len(rec.value); len(answer.Items) == maxItemsPerPage || (size > maxBytesPerPage && len(answer.Items) > 0) {
			answer.More = true
			break
		}
		answer.Items = append(answer.Items, item{key, rec.value, rec.offset})
	}
	answer.End = len(p.records)
	s.mu.Unlock()
	time.Sleep(storeAnswer)
	reply(w, 200, answer)
}

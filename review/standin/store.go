package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, as in the settings of the small deployment.
const (
	storeLatency   = 4 * time.Millisecond
	appendTime     = 2 * time.Millisecond
	maxAppendQueue = 2 * time.Second
	recordBytes    = 262144
	requestBytes   = 2097152
	partBytes      = 200 << 20
	readsPerS      = 2000
	newestItems    = 500
	newestBytes    = 1 << 20
	dedupWindow    = 5
	readBytes      = 1024 << 10
)

type storedRecord struct {
	key   string
	value []byte
	raw   []byte
}

type newestRecord struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

type producer struct {
	epoch, next uint64
	offsets     []int64
	ends        []int64
}

type partition struct {
	mu        sync.Mutex
	first     int64
	records   []storedRecord
	bytes     int
	newest    map[string]newestRecord
	producers map[string]*producer
	grown     chan struct{}
	freeAt    time.Time
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

func (p *partition) put(records []storedRecord) int64 {
	at := p.end()
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = newestRecord{r.key, r.value, p.end()}
		}
		p.records = append(p.records, r)
		p.bytes += len(r.raw)
	}
	for p.bytes > partBytes && len(p.records) > 0 {
		p.bytes -= len(p.records[0].raw)
		p.records = p.records[1:]
		p.first++
	}
	close(p.grown)
	p.grown = make(chan struct{})
	return at
}

// rate rejects calls beyond a number per second.
type rate struct {
	mu     sync.Mutex
	perS   float64
	tokens float64
	at     time.Time
}

func (r *rate) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.tokens = min(r.perS, r.tokens+now.Sub(r.at).Seconds()*r.perS)
	r.at = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// store is the platform's log store.
type store struct {
	mu            sync.Mutex
	parts         map[string]*partition
	writes, reads rate
	// tooLarge counts the appends that were refused because of a record or a request over its limit.
	tooLarge      int
	largestRecord int
}

func newStore(writesPerS int) *store {
	now := time.Now()
	return &store{parts: map[string]*partition{},
		writes: rate{perS: float64(writesPerS), tokens: float64(writesPerS), at: now}, reads: rate{perS: readsPerS, tokens: readsPerS, at: now}}
}

// largest returns the size of the largest record that was sent, and how many appends were refused
// because of a record or a request over its limit.
func (s *store) largest() (size, refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largestRecord, s.tooLarge
}

func (s *store) partition(topic, part string) *partition {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := topic + "/" + part
	if s.parts[k] == nil {
		s.parts[k] = &partition{newest: map[string]newestRecord{}, producers: map[string]*producer{}, grown: make(chan struct{})}
	}
	return s.parts[k]
}

// write stores a record of the operator or of a runner.
func (s *store) write(topic, key string, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	p := s.partition(topic, "0")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.put([]storedRecord{encodeRecord(key, data)})
}

func encodeRecord(key string, value []byte) storedRecord {
	raw := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	raw = append(append(append(raw, byte(len(key))), key...), value...)
	return storedRecord{key: key, value: value, raw: raw}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.readNewest)
	return mux
}

func splitRecords(body []byte) (records []storedRecord, largest int, ok bool) {
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, largest, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n+4 > len(body) || n < 1 || int(body[4])+1 > n {
			return nil, largest, false
		}
		largest = max(largest, n)
		content := body[4 : 4+n]
		k := int(content[0])
		records = append(records, storedRecord{key: string(content[1 : 1+k]), value: content[1+k:], raw: body[:4+n]})
		body = body[4+n:]
	}
	return records, largest, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if !s.writes.take() {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	records, largest, ok := splitRecords(body)
	s.mu.Lock()
	s.largestRecord = max(s.largestRecord, largest)
	if largest > recordBytes || len(body) > requestBytes {
		s.tooLarge++
		ok = false
	}
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	p := s.partition(topic, q.Get("part"))
	if !p.awaitTurn() {
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if q.Has("at") && q.Get("at") != strconv.FormatInt(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end": p.end()})
		return
	}
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		sequence, _ := strconv.ParseUint(q.Get("sequence"), 10, 64)
		x := p.producers[name]
		switch {
		case x == nil || epoch > x.epoch:
			x = &producer{epoch: epoch, next: sequence}
			p.producers[name] = x
		case epoch < x.epoch:
			reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		}
		if len(records) == 0 {
			reply(w, http.StatusOK, map[string]int64{"offset": p.end(), "end": p.end()})
			return
		}
		if back := int64(x.next) - int64(sequence); back > 0 && back <= int64(len(x.offsets)) {
			i := len(x.offsets) - int(back)
			reply(w, http.StatusOK, map[string]int64{"offset": x.offsets[i], "end": x.ends[i]})
			return
		}
		if sequence != x.next {
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": x.next})
			return
		}
		x.next++
		x.offsets, x.ends = append(x.offsets, p.end()), append(x.ends, p.end()+int64(len(records)))
		if len(x.offsets) > dedupWindow {
			x.offsets, x.ends = x.offsets[1:], x.ends[1:]
		}
	}
	at := p.put(records)
	reply(w, http.StatusOK, map[string]int64{"offset": at, "end": p.end()})
}

// awaitTurn waits for the appends before this one; false: too much is waiting.
func (p *partition) awaitTurn() bool {
	p.mu.Lock()
	now := time.Now()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	if p.freeAt.Sub(now) > maxAppendQueue {
		p.mu.Unlock()
		return false
	}
	p.freeAt = p.freeAt.Add(appendTime)
	wait := p.freeAt.Sub(now)
	p.mu.Unlock()
	time.Sleep(wait)
	return true
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	if !s.reads.take() {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := readBytes
	if kb, err := strconv.Atoi(q.Get("maxKb")); err == nil && kb > 0 {
		limit = kb << 10
	}
	p := s.partition(q.Get("topic"), q.Get("part"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := wait > 0; ; {
		p.mu.Lock()
		if from < p.first {
			first := p.first
			p.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < p.end() || !waiting {
			data := binary.BigEndian.AppendUint64(nil, uint64(p.end()))
			data = binary.BigEndian.AppendUint64(data, uint64(p.first))
			for i := from; i < p.end(); i++ {
				rec := p.records[i-p.first]
				if len(data) > 16 && len(data)+len(rec.raw) > limit {
					break
				}
				data = append(data, rec.raw...)
			}
			p.mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(data)))
			_, _ = w.Write(data)
			return
		}
		grown := p.grown
		p.mu.Unlock()
		select {
		case <-grown:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	if !s.reads.take() {
		reply(w, http.StatusTooManyRequests, struct{}{})
		return
	}
	time.Sleep(storeLatency)
	q := r.URL.Query()
	p := s.partition(q.Get("topic"), q.Get("part"))
	p.mu.Lock()
	var keys []string
	for k := range p.newest {
		if k > q.Get("dependsOn") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size := []newestRecord{}, 0
	more := false
	for _, k := range keys {
		rec := p.newest[k]
		if len(items) == newestItems || len(items) > 0 && size+len(rec.Value) > newestBytes {
			more = true
			break
		}
		items, size = append(items, rec), size+len(rec.Value)
	}
	end := p.end()
	p.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": end})
}

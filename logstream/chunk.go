package logstream

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/json"
	"io"
	"sort"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/infra"
)

// Limits of stored snapshots.
const (
	// ChunkBytes is the maximum size of the part of a snapshot in one record.
	ChunkBytes = 256 << 10
	// maxSnapshotBytes limits the size of a decompressed snapshot, so that a
	// corrupt one can't exhaust the memory of an instance.
	maxSnapshotBytes = 256 << 20
	maxChunks        = 4096
	// maxPartials limits the incomplete snapshots that an assembler keeps.
	maxPartials = 4
)

// chunkHeader is the first line of a chunk; the bytes of the part follow it. They
// are not inside the JSON, as base64 would make every snapshot a third larger.
type chunkHeader struct {
	Version     int          `json:"v"`
	Writer      string       `json:"w"`
	Incarnation uint64       `json:"i"`
	Covers      infra.Offset `json:"covers"`
	Index       int          `json:"n"`
	Total       int          `json:"of"`
	// Sum is the SHA-256 of the whole encoded snapshot.
	Sum []byte `json:"sum"`
}

// EncodeSnapshot encodes and compresses a snapshot, as it is sent to peers.
func EncodeSnapshot(s Snapshot) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return buf.Bytes(), nil
}

// DecodeSnapshot decodes the result of EncodeSnapshot. It fails on corrupt data,
// as the compressed form contains a checksum.
func DecodeSnapshot(data []byte) (Snapshot, error) {
	var s Snapshot
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return s, errors.Wrap(err, "decompress snapshot")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return s, errors.Wrap(err, "decompress snapshot")
	}
	if len(plain) > maxSnapshotBytes {
		return s, errors.Errorf("snapshot is larger than %d bytes", maxSnapshotBytes)
	}
	return s, errors.Wrap(json.Unmarshal(plain, &s), "decode snapshot")
}

// EncodeChunks splits an encoded snapshot into records for the snapshot stream,
// in order.
func EncodeChunks(writer string, incarnation uint64, covers infra.Offset, data []byte) ([][]byte, error) {
	total := max(1, (len(data)+ChunkBytes-1)/ChunkBytes)
	if total > maxChunks {
		return nil, errors.Errorf("snapshot of %d bytes needs more than %d records", len(data), maxChunks)
	}
	sum := sha256.Sum256(data)
	records := make([][]byte, 0, total)
	for i := range total {
		header, err := json.Marshal(chunkHeader{FormatVersion, writer, incarnation, covers, i, total, sum[:]})
		if err != nil {
			return nil, errors.Wrap(err, "encode chunk")
		}
		part := data[i*ChunkBytes : min(len(data), (i+1)*ChunkBytes)]
		records = append(records, append(append(header, '\n'), part...))
	}
	return records, nil
}

func decodeChunk(record []byte) (chunkHeader, []byte, error) {
	var h chunkHeader
	line, part, ok := bytes.Cut(record, []byte{'\n'})
	if !ok {
		return h, nil, errors.New("chunk without header")
	}
	if err := json.Unmarshal(line, &h); err != nil {
		return h, nil, errors.Wrap(err, "decode chunk")
	}
	if h.Version != FormatVersion {
		return h, nil, errors.Errorf("chunk version %d, this build reads %d", h.Version, FormatVersion)
	}
	if h.Total < 1 || h.Total > maxChunks || h.Index < 0 || h.Index >= h.Total || len(h.Sum) != sha256.Size || len(part) > ChunkBytes {
		return h, nil, errors.New("chunk with an impossible header")
	}
	return h, part, nil
}

// partial is a snapshot whose chunks have not all been read.
type partial struct {
	covers   infra.Offset
	parts    [][]byte
	received int
}

func (p *partial) add(h chunkHeader, part []byte) (whole []byte, done bool) {
	if len(p.parts) != h.Total || p.covers != h.Covers || p.parts[h.Index] != nil {
		return nil, false
	}
	p.parts[h.Index] = append([]byte{}, part...)
	p.received++
	if p.received < h.Total {
		return nil, false
	}
	return bytes.Join(p.parts, nil), true
}

// Assembler finds the newest complete snapshot among the records of the snapshot
// stream. Snapshots may be incomplete because their writers died, and chunks of
// concurrent writers may be interleaved.
type Assembler struct {
	partials       map[string]*partial
	best           *Snapshot
	skipped        uint64
	lastSkipReason string
}

// NewAssembler returns an assembler without chunks.
func NewAssembler() *Assembler { return &Assembler{partials: map[string]*partial{}} }

// Add adds one record of the snapshot stream.
func (a *Assembler) Add(record []byte) {
	h, part, err := decodeChunk(record)
	if err != nil {
		a.skip(err)
		return
	}
	if a.best != nil && h.Covers <= a.best.Offset {
		return
	}
	id := string(h.Sum)
	p, ok := a.partials[id]
	if !ok {
		p = &partial{covers: h.Covers, parts: make([][]byte, h.Total)}
		a.partials[id] = p
		a.evict()
	}
	whole, done := p.add(h, part)
	if !done {
		return
	}
	delete(a.partials, id)
	a.complete(h, whole)
}

// complete verifies and decodes a snapshot whose chunks have all been read. The
// checksum is verified before decoding: chunks of a corrupt stream could otherwise
// join to a state that no process ever had.
func (a *Assembler) complete(h chunkHeader, whole []byte) {
	if sum := sha256.Sum256(whole); !bytes.Equal(sum[:], h.Sum) {
		a.skip(errors.New("snapshot does not match its checksum"))
		return
	}
	s, err := DecodeSnapshot(whole)
	if err != nil {
		a.skip(err)
		return
	}
	if s.Offset != h.Covers {
		a.skip(errors.Errorf("snapshot covers %d, its chunks say %d", s.Offset, h.Covers))
		return
	}
	a.best = &s
}

// evict removes the oldest incomplete snapshot when there are more than
// maxPartials.
func (a *Assembler) evict() {
	if len(a.partials) <= maxPartials {
		return
	}
	ids := make([]string, 0, len(a.partials))
	for id := range a.partials {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool {
		x, y := a.partials[ids[i]].covers, a.partials[ids[j]].covers
		return x < y || (x == y && ids[i] < ids[j])
	})
	delete(a.partials, ids[0])
}

func (a *Assembler) skip(err error) {
	a.skipped++
	a.lastSkipReason = err.Error()
}

// Best returns the newest complete snapshot read so far, or nil.
func (a *Assembler) Best() *Snapshot { return a.best }

// Package crowd plays crowds of clients that don't behave against a process of a cell, and checks that it keeps to a budget of
// memory and descriptors and serves ordinary clients beside them.
package crowd

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/gob"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/standin/cell"
)

const (
	// MemoryMB and MaxFiles are the budget of a process. It lives on a machine of that size.
	MemoryMB = 96
	MaxFiles = 400
	// size is the number of connections of a crowd.
	size = 600
	// conditionTimeout is how long a test waits for a condition before it fails. No check depends on how long it takes.
	conditionTimeout = time.Minute
	// ordinaryTimeout ends one attempt of an ordinary request. It is repeated until conditionTimeout.
	ordinaryTimeout = 3 * time.Second
	// writeTimeout ends a client whose connection takes nothing any more, so that a crowd is complete.
	writeTimeout = 2 * time.Second
	// slowReaderBuffer is the receive buffer of a client that reads no responses, in bytes.
	slowReaderBuffer = 4 << 10
)

// Target is the process that a crowd connects to.
type Target struct {
	Proc *cell.Proc
	// Addr is the address of the crowd's listener.
	Addr string
	// Ordinary is a request of an ordinary client.
	Ordinary func() error
}

// Play opens the connections of a crowd, each with its own client, and checks while they are open and afterwards that the process
// keeps to its budget and answers ordinary requests.
func Play(t *testing.T, target Target, client func(net.Conn)) {
	t.Helper()
	target.awaitAnswer(t)
	var conns []net.Conn
	var clients sync.WaitGroup
	for range size {
		conn, err := net.DialTimeout("tcp", target.Addr, conditionTimeout)
		if err != nil {
			continue // refused
		}
		conns = append(conns, conn)
		clients.Go(func() { client(conn) })
	}
	clients.Wait()
	for range 3 {
		target.awaitAnswer(t)
	}
	files := target.openFiles(t)
	for _, conn := range conns {
		_ = conn.Close() // the process may have closed it
	}
	target.awaitAnswer(t)
	memory := target.peakMemory(t) >> 20
	t.Logf("peak memory %d MB, %d descriptors beside the crowd", memory, files)
	assert.Check(t, memory <= MemoryMB, "peak memory %d MB, of %d", memory, MemoryMB)
	assert.Check(t, files <= MaxFiles, "%d open descriptors, of %d", files, MaxFiles)
}

// awaitAnswer repeats the ordinary request until it is answered.
func (target Target) awaitAnswer(t *testing.T) {
	t.Helper()
	var last error
	err := cell.Await(conditionTimeout, "an ordinary request", func() bool {
		if target.Proc.Wait(0) {
			t.Fatalf("the process %s has ended", target.Proc.Name)
		}
		last = target.Ordinary()
		return last == nil
	})
	assert.NilError(t, err, "%v", last)
}

// peakMemory returns the largest resident memory of the process so far, in bytes.
func (target Target) peakMemory(t *testing.T) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", target.Proc.PID()))
	assert.NilError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			assert.NilError(t, err)
			return n << 10
		}
	}
	t.Fatal("the process's status has no VmHWM")
	return 0
}

// openFiles returns the number of the process's open descriptors.
func (target Target) openFiles(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.Proc.PID()))
	assert.NilError(t, err)
	return len(entries)
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Do sends a request on a connection of its own, reads the response to its end and expects the status 200.
func Do(method, url, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return errors.WithStack(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }() // it is read to its end
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s %s", url, resp.Status, answer)
	}
	return nil
}

// Send writes parts to a connection, and reports whether the other side has taken them.
func Send(conn net.Conn, parts ...[]byte) bool {
	for _, p := range parts {
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // a closed connection fails in Write, too
		if _, err := conn.Write(p); err != nil {
			return false
		}
	}
	return true
}

// ReadNothing sends a request again and again and reads no response.
func ReadNothing(c net.Conn, request []byte, count int) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowReaderBuffer) // the server closed it
	}
	for n := 0; n < count && Send(c, request); n++ {
	}
}

// Head returns the head of a request.
func Head(requestLine string, fields ...string) []byte {
	return []byte(strings.Join(append([]string{requestLine, "Host: h.example"}, fields...), "\r\n") + "\r\n\r\n")
}

// UnfinishedHead returns a head that doesn't end, of a size in bytes, with fields of a length each.
func UnfinishedHead(requestLine string, size, field int) []byte {
	b := []byte(requestLine + "\r\nHost: h.example\r\n")
	for n := 0; len(b) < size; n++ {
		name := fmt.Sprintf("X%d: ", n)
		b = append(b, name+strings.Repeat("a", max(0, field-len(name)-2))+"\r\n"...)
	}
	return b
}

// Pieces splits data.
func Pieces(data []byte, size int) (list [][]byte) {
	for len(data) > size {
		list, data = append(list, data[:size]), data[size:]
	}
	return append(list, data)
}

// Chunks encodes data in chunks of a size, without the last one that ends a body.
func Chunks(data []byte, size int) []byte {
	var b bytes.Buffer
	for _, p := range Pieces(data, size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(p), p)
	}
	return b.Bytes()
}

// GobSize encodes the size of a message as package gob does.
func GobSize(n uint64) []byte {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], n)
	digits := bytes.TrimLeft(b[:], "\x00")
	return append([]byte{byte(-len(digits))}, digits...)
}

// Calls encodes calls of one net/rpc connection.
func Calls(t *testing.T, method string, args any, count int) []byte {
	t.Helper()
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for n := range count {
		assert.NilError(t, enc.Encode(rpc.Request{ServiceMethod: method, Seq: uint64(n)}))
		assert.NilError(t, enc.Encode(args))
	}
	return b.Bytes()
}

package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/standin/cell"
)

// Operators change settings and signal it while a process is only just starting,
// here: while it reads its settings, from a pipe. Nothing has asked for the signal
// yet, so the process would end by it. It has to go on, and to say what is wrong
// with the settings.
func TestHangupDuringTheStartEndsNothing(t *testing.T) {
	cmd, pipe := newNode(t, buildNode(t))
	assert.NilError(t, cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // until the process reads
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	refuseSettings(t, w)
	assert.ErrorContains(t, cmd.Wait(), "exit status 1")
}

// Operators signal changed settings again and again while a process starts, from the
// moment on at which the kernel shows that the program has said how it takes the signal.
// Go's runtime and all packages are set up after that, for milliseconds. The process has
// to come to its settings, and to say what is wrong with them.
func TestHangupsBeforeMainEndNothing(t *testing.T) {
	binary := buildNode(t)
	for range 20 {
		cmd, pipe := newNode(t, binary)
		assert.NilError(t, cmd.Start())
		ended := make(chan error, 1)
		for taken := false; !taken; {
			var err error
			taken, err = cell.TakesSignal(cmd.Process.Pid, syscall.SIGHUP)
			assert.NilError(t, err)
		}
		go func() { ended <- cmd.Wait() }()
		hangUpWhileItStarts(t, cmd, pipe, ended)
		assert.ErrorContains(t, <-ended, "exit status 1")
	}
}

// hangUpWhileItStarts signals until the process opens its settings.
func hangUpWhileItStarts(t *testing.T, cmd *exec.Cmd, pipe string, ended <-chan error) {
	t.Helper()
	for {
		_ = cmd.Process.Signal(syscall.SIGHUP) // it may have ended
		w, err := os.OpenFile(pipe, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err == nil {
			refuseSettings(t, w)
			return
		}
		assert.ErrorIs(t, err, syscall.ENXIO, "nobody reads yet")
		select {
		case err := <-ended:
			t.Fatalf("it ended before it read its settings: %v", err)
		default:
		}
	}
}

// Before a program's first instruction it can't say how it takes a signal; a service
// manager that starts it can, and hands SIGHUP down ignored. The process lives through a
// signal that follows its start at once, and takes those that come once it runs.
func TestNodeStartedWithHangupsIgnoredTakesThemLater(t *testing.T) {
	signal.Ignore(syscall.SIGHUP)
	t.Cleanup(func() { signal.Reset(syscall.SIGHUP) })
	binary := buildNode(t)
	for range 20 {
		cmd, pipe := newNode(t, binary)
		assert.NilError(t, cmd.Start())
		assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
		w, err := os.OpenFile(pipe, os.O_WRONLY, 0)
		assert.NilError(t, err)
		refuseSettings(t, w)
		assert.ErrorContains(t, cmd.Wait(), "exit status 1")
	}
	awaitReload(t, binary)
}

// awaitReload runs a process with good settings and signals until it says that it has
// checked them again.
func awaitReload(t *testing.T, binary string) {
	t.Helper()
	block, err := cell.ClaimBlock(5)
	assert.NilError(t, err)
	defer block.Close()
	addrs := block.Addrs
	set := wirestand.Instance{Name: "i0", Callers: addrs[0], Ready: addrs[1], Peers: addrs[2], Metrics: addrs[3], Store: addrs[4],
		HoldMaxMs: 6000, StopMs: 200}
	path := filepath.Join(t.TempDir(), "boot.toml")
	assert.NilError(t, os.WriteFile(path, set.Settings(), 0o600))
	out := &lines{}
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = out, out
	assert.NilError(t, cmd.Start())
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	for !out.contain("settings.reloaded") {
		_ = cmd.Process.Signal(syscall.SIGHUP) // it may have ended
		select {
		case err := <-ended:
			t.Fatalf("it ended: %v\n%s", err, out)
		case <-time.After(10 * time.Millisecond):
		}
	}
	assert.NilError(t, cmd.Process.Kill())
	<-ended
}

// lines is what a process has written.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lines) contain(word string) bool { return strings.Contains(l.String(), word) }

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func buildNode(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "kw-node")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	return binary
}

// newNode returns a process that is to read its settings from a pipe.
func newNode(t *testing.T, binary string) (cmd *exec.Cmd, pipe string) {
	t.Helper()
	pipe = filepath.Join(t.TempDir(), "boot.toml")
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	cmd = exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+pipe)
	return cmd, pipe
}

// refuseSettings hands a process settings with which it ends.
func refuseSettings(t *testing.T, w *os.File) {
	t.Helper()
	_, err := w.WriteString("node = 7\n")
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
}

// An operator looks at the dump of an instance that serves. It must not say that it isn't
// ready, as it did of every instance for good when nothing noted the balancer's answers.
func TestReadinessIsWhatTheBalancerWasTold(t *testing.T) {
	p := daemon.New("kw-node", "edge-1", io.Discard)
	ready := false
	ask := func() int {
		w := httptest.NewRecorder()
		readiness(p, func() bool { return ready })(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	assert.Equal(t, ask(), http.StatusServiceUnavailable)
	assert.Equal(t, len(p.Status().Conditions), 1)
	ready = true
	assert.Equal(t, ask(), http.StatusOK)
	assert.Assert(t, p.Status().Ready)
	assert.Equal(t, len(p.Status().Conditions), 0)
}

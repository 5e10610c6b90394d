package main

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/knapweedweir/knapweedweir/daemon"
	"github.com/knapweedweir/knapweedweir/platform"
)

// Operators change settings and signal it while a process is only just starting,
// here: while it reads its settings, from a pipe. Nothing has asked for the signal
// yet, so the process would end by it. It has to go on, and to say what is wrong
// with the settings.
func TestHangupDuringTheStartEndsNothing(t *testing.T) {
	dir := t.TempDir()
	binary, pipe := filepath.Join(dir, "kw-node"), filepath.Join(dir, "boot.toml")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	assert.NilError(t, syscall.Mkfifo(pipe, 0o600))
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+pipe)
	assert.NilError(t, cmd.Start())
	w, err := os.OpenFile(pipe, os.O_WRONLY, 0) // until the process reads
	assert.NilError(t, err)
	assert.NilError(t, cmd.Process.Signal(syscall.SIGHUP))
	_, err = w.WriteString("node = 7\n")
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.ErrorContains(t, cmd.Wait(), "exit status 1")
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

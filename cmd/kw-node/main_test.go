package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

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

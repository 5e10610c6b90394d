package soak

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/standin/cell"
)

// newScript returns an instance that runs a shell script, and a channel with its unexpected
// ends.
func newScript(t *testing.T, body string) (*instance, chan string) {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, "program")
	assert.NilError(t, os.WriteFile(path, []byte("#!/bin/sh\n"+body+"\necho began\nwhile :; do sleep 0.1; done\n"), 0o700))
	died := make(chan string, 10)
	i := &instance{binary: path, dir: dir, earlySIGHUP: true, config: wirestand.Instance{Name: "i0"},
		onUnexpectedEnd: func(name string, _ *os.ProcessState) { died <- name }}
	t.Cleanup(i.end)
	assert.NilError(t, i.start())
	return i, died
}

// pid returns the process ID once the process has written a line.
func (i *instance) pid(t *testing.T) int { return i.pidAfter(t, 0) }

// pidAfter returns the ID of the process that follows another one, once it has written a line.
func (i *instance) pidAfter(t *testing.T, former int) (pid int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		info, err := os.Stat(filepath.Join(i.dir, i.config.Name+".log"))
		i.mu.Lock()
		defer i.mu.Unlock()
		if i.cmd == nil || err != nil || info.Size() <= i.logSizeAtStart || i.cmd.Process.Pid == former {
			return poll.Continue("process %d is followed by none that has written a line", former)
		}
		pid = i.cmd.Process.Pid
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(time.Minute))
	return pid
}

// Guards against blaming the program for an end by SIGHUP in the loader, before the program
// could handle the signal: the process must be restarted without a finding.
func TestProcessHungUpInItsLoaderIsStartedAgain(t *testing.T) {
	i, died := newScript(t, "")
	first := i.pid(t)
	taken, err := cell.HandlesSignal(first, syscall.SIGHUP)
	assert.NilError(t, err)
	assert.Assert(t, !taken)
	i.sighup()
	i.pidAfter(t, first)
	assert.Equal(t, len(died), 0)
}

// Guards against excusing the end of a process that handles SIGHUP.
func TestProcessHungUpPastItsLoaderMustNotEnd(t *testing.T) {
	for name, body := range map[string]string{
		"by the signal": "trap 'trap - HUP; kill -HUP $$' HUP",
		"by itself":     "trap 'exit 0' HUP",
	} {
		t.Run(name, func(t *testing.T) {
			i, died := newScript(t, body)
			i.pid(t)
			i.sighup()
			assert.Equal(t, <-died, "i0")
		})
	}
}

// Guards against excusing a process that has handled SIGHUP once and ends by it later.
func TestProcessThatNoLongerTakesHangupsMustNotEndByOne(t *testing.T) {
	i, died := newScript(t, "trap '' HUP; sleep 0.2; trap - HUP")
	pid := i.pid(t)
	taken, err := cell.HandlesSignal(pid, syscall.SIGHUP)
	assert.NilError(t, err)
	assert.Assert(t, !taken)
	i.sighup()
	for {
		select {
		case name := <-died:
			assert.Equal(t, name, "i0")
			return
		case <-time.After(10 * time.Millisecond):
			assert.Equal(t, i.pid(t), pid, "the process was restarted without a finding")
		}
	}
}

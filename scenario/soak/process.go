package soak

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/knapweedweir/knapweedweir/platform"
	"github.com/knapweedweir/knapweedweir/platform/wirestand"
	"github.com/knapweedweir/knapweedweir/standin/cell"
)

const (
	// readyTimeout limits the time until an instance reports that it is ready, and
	// readyTimeoutEach is added for each instance that starts at the same time.
	readyTimeout     = 15 * time.Second
	readyTimeoutEach = 150 * time.Millisecond
	// handlerPollInterval is the interval between checks whether a process handles SIGHUP yet:
	// a fraction of the 4 ms in which the Go runtime starts.
	handlerPollInterval = 100 * time.Microsecond
	// loaderPollInterval is the interval between checks whether a process has left its loader.
	loaderPollInterval = time.Millisecond
	// stopTimeout is how long an instance may take to end after SIGTERM before it is killed.
	stopTimeout = 6 * time.Second
)

// instance is one process of the program, with the proxies between it and others.
type instance struct {
	config  wirestand.Instance
	binary  string
	dir     string
	access  *access
	store   *proxy
	callers *proxy

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// endExpected is set if the test ended the process; any other end is a finding.
	endExpected bool
	// closed is set when the run has ended. A goroutine that stops the process in order to
	// restart it must not start it again: the process would talk to whatever gets the ports of
	// this run next.
	closed bool
	// inLoader is set if the last SIGHUP was sent before the kernel had ever shown that the
	// process handles it. The process may then still have been in its dynamic loader.
	inLoader bool
	// handlesSIGHUP is set once the kernel has shown that the process handles SIGHUP.
	handlesSIGHUP bool
	// logSizeAtStart is the size of the log when the process was started.
	logSizeAtStart  int64
	onUnexpectedEnd func(name string, state *os.ProcessState)
	earlySIGHUP     bool // SIGHUP may be sent before the process has written a line
	sighupEach      bool // SIGHUP is sent as soon as the process handles it
}

// start starts the process, unless it is running or the run has ended.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil || i.closed {
		return nil
	}
	path := filepath.Join(i.dir, i.config.Name+".toml")
	if err := os.WriteFile(path, i.config.Settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.config.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := log.Stat()
	if err != nil {
		return err
	}
	i.logSizeAtStart = info.Size()
	cmd := exec.Command(i.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	resetIgnoredSIGHUP()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, i.config.Name)
	}
	ended := make(chan struct{})
	i.cmd, i.ended, i.endExpected, i.inLoader, i.handlesSIGHUP = cmd, ended, false, false, false
	go i.watchLoader(cmd, ended)
	if i.sighupEach {
		go sighupOnceHandled(cmd, ended)
	}
	go func() {
		_ = cmd.Wait() // the result is in the process state
		_ = log.Close()
		i.mu.Lock()
		expected, byLoader := i.endExpected, i.inLoader && endedBy(cmd.ProcessState, syscall.SIGHUP)
		i.cmd = nil
		i.mu.Unlock()
		if !expected && !byLoader {
			i.onUnexpectedEnd(i.config.Name, cmd.ProcessState)
		}
		close(ended)
		if !expected && byLoader {
			// Before the end of the loader the process can't handle the signal, so whoever starts
			// it is responsible: here, this test.
			if err := i.start(); err != nil {
				i.onUnexpectedEnd(i.config.Name, cmd.ProcessState)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process, if it is running.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.endExpected = true
	}
	_ = i.cmd.Process.Signal(s) // the process may have just ended
}

// endedBy reports whether a process was terminated by a signal.
func endedBy(state *os.ProcessState, s syscall.Signal) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// sighupNow sends SIGHUP to the process, whatever state it is in. A process that has not
// reached its first instruction may end by it.
func (i *instance) sighupNow() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	// Checked before the signal: from then on an end by the signal is a finding.
	handled, err := cell.HandlesSignal(i.cmd.Process.Pid, syscall.SIGHUP)
	i.handlesSIGHUP = i.handlesSIGHUP || handled
	i.inLoader = err == nil && !i.handlesSIGHUP
	_ = i.cmd.Process.Signal(syscall.SIGHUP) // the process may have just ended
}

// watchLoader waits until the kernel shows that the process handles SIGHUP. From then on
// each end by SIGHUP is a finding, also if the process restores the default action.
func (i *instance) watchLoader(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		handled, err := cell.HandlesSignal(cmd.Process.Pid, syscall.SIGHUP)
		switch {
		case err != nil:
			return // the process has ended
		case handled:
			i.mu.Lock()
			i.handlesSIGHUP = i.handlesSIGHUP || i.cmd == cmd
			i.mu.Unlock()
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(loaderPollInterval):
		}
	}
}

// resetIgnoredSIGHUP makes child processes start with the default action of SIGHUP. If this
// process ignores it, as under nohup, they would inherit that, and the test would show
// nothing.
var resetIgnoredSIGHUP = sync.OnceFunc(func() {
	if signal.Ignored(syscall.SIGHUP) {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
})

// sighup makes the process read its settings again. With earlySIGHUP this may happen before
// the process has written a line.
func (i *instance) sighup() {
	if i.earlySIGHUP {
		i.sighupNow()
		return
	}
	if i.sighupEach {
		i.mu.Lock()
		cmd, ended := i.cmd, i.ended
		i.mu.Unlock()
		if cmd != nil {
			sighupOnceHandled(cmd, ended)
		}
		return
	}
	info, err := os.Stat(filepath.Join(i.dir, i.config.Name+".log"))
	i.mu.Lock()
	begun := err == nil && info.Size() > i.logSizeAtStart
	i.mu.Unlock()
	if begun {
		i.signal(syscall.SIGHUP)
	}
}

// sighupOnceHandled waits until the kernel shows that a process handles SIGHUP, which it
// arranges in its first instructions, and sends it immediately. Before that only the parent
// can protect the process from the signal.
func sighupOnceHandled(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		if handled, err := cell.HandlesSignal(cmd.Process.Pid, syscall.SIGHUP); handled || err != nil {
			break // without a status the process has ended
		}
		select {
		case <-ended:
			return
		case <-time.After(handlerPollInterval):
		}
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // the process may have just ended
}

// end kills the process and prevents further starts.
func (i *instance) end() {
	i.mu.Lock()
	i.closed = true
	i.mu.Unlock()
	i.kill()
}

// kill sends SIGKILL and waits until the process has ended.
func (i *instance) kill() {
	i.mu.Lock()
	ended := i.ended
	running := i.cmd != nil
	i.mu.Unlock()
	if running {
		i.signal(syscall.SIGKILL)
		<-ended
	}
}

// stop sends SIGTERM, and SIGKILL if the process doesn't end in time.
func (i *instance) stop() {
	i.mu.Lock()
	ended := i.ended
	running := i.cmd != nil
	i.mu.Unlock()
	if !running {
		return
	}
	i.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		i.kill()
	}
}

func (i *instance) awaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.config.Ready+wirestand.ReadyPath, nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // the body is empty
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s is not ready within %v", i.config.Name, within)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

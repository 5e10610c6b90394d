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
	// readyWithin is how long an instance may take to say that it is ready, and
	// readyEach how much longer for each that starts at the same time.
	readyWithin = 15 * time.Second
	readyEach   = 150 * time.Millisecond
	// earlyLook is the pause between two looks whether a process has begun: a part of the
	// 4 ms in which Go sets it up.
	earlyLook = 100 * time.Microsecond
	// loaderLook is the pause between two looks whether a process has left its loader.
	loaderLook = time.Millisecond
	// graceful is how long a stopped instance has before it is killed.
	graceful = 6 * time.Second
)

// instance is one process of the program, with what stands between it and others.
type instance struct {
	set     wirestand.Instance
	binary  string
	dir     string
	store   *proxy
	callers *proxy

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// meant tells that we ended it; an end of its own is a finding.
	meant bool
	// over tells that the run has ended: whoever still stops the process to start it
	// again must not. It would talk to whatever gets this run's ports next.
	over bool
	// inLoader tells that the process was hung up last before the kernel had ever shown that
	// it takes the signal.
	inLoader bool
	// hasTaken tells that the kernel has shown so.
	hasTaken bool
	// silent is how long the log was when the process was started.
	silent int64
	died   func(name string, state *os.ProcessState)
	early  bool // it may be told to read its settings before it has written a line
	each   bool // it is told so as soon as it can answer
}

// start runs the process, unless it runs or the run is over.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil || i.over {
		return nil
	}
	path := filepath.Join(i.dir, i.set.Name+".toml")
	if err := os.WriteFile(path, i.set.Settings(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.dir, i.set.Name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	info, err := log.Stat()
	if err != nil {
		return err
	}
	i.silent = info.Size()
	cmd := exec.Command(i.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	catchHangups()
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, i.set.Name)
	}
	ended := make(chan struct{})
	i.cmd, i.ended, i.meant, i.inLoader, i.hasTaken = cmd, ended, false, false, false
	go i.watchLoader(cmd, ended)
	if i.each {
		go hangUpEarly(cmd, ended)
	}
	go func() {
		_ = cmd.Wait() // how it ended is in its state
		_ = log.Close()
		i.mu.Lock()
		meant, byLoader := i.meant, i.inLoader && endedBy(cmd.ProcessState, syscall.SIGHUP)
		i.cmd = nil
		i.mu.Unlock()
		if !meant && !byLoader {
			i.died(i.set.Name, cmd.ProcessState)
		}
		close(ended)
		if !meant && byLoader {
			// The loader's time belongs to whoever starts the process: here, to us.
			if err := i.start(); err != nil {
				i.died(i.set.Name, cmd.ProcessState)
			}
		}
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		i.meant = true
	}
	_ = i.cmd.Process.Signal(s) // it may have ended just now
}

// endedBy reports whether a signal ended a process.
func endedBy(state *os.ProcessState, s syscall.Signal) bool {
	status, ok := state.Sys().(syscall.WaitStatus)
	return ok && status.Signaled() && status.Signal() == s
}

// hangUpNow signals the process, wherever it is. One that has not reached its first
// instruction may end by that.
func (i *instance) hangUpNow() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd == nil {
		return
	}
	// Looked at before the signal: a process that takes it by then has no excuse.
	taken, err := cell.TakesSignal(i.cmd.Process.Pid, syscall.SIGHUP)
	i.hasTaken = i.hasTaken || taken
	i.inLoader = err == nil && !i.hasTaken
	_ = i.cmd.Process.Signal(syscall.SIGHUP) // it may have ended just now
}

// watchLoader waits until the kernel shows that a process takes the signal. From then on it
// answers for each end by it, also if it gives the signal back.
func (i *instance) watchLoader(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		taken, err := cell.TakesSignal(cmd.Process.Pid, syscall.SIGHUP)
		switch {
		case err != nil:
			return // it has ended
		case taken:
			i.mu.Lock()
			i.hasTaken = i.hasTaken || i.cmd == cmd
			i.mu.Unlock()
			return
		}
		select {
		case <-ended:
			return
		case <-time.After(loaderLook):
		}
	}
}

// catchHangups has processes begin with the signal's default way. A process inherits that it
// ignores the signal, as under nohup, and then proves nothing.
var catchHangups = sync.OnceFunc(func() {
	if signal.Ignored(syscall.SIGHUP) {
		signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	}
})

// hangUp has the process read its settings; early tells that this may come before the
// process has written a line.
func (i *instance) hangUp() {
	if i.early {
		i.hangUpNow()
		return
	}
	if i.each {
		i.mu.Lock()
		cmd, ended := i.cmd, i.ended
		i.mu.Unlock()
		if cmd != nil {
			hangUpEarly(cmd, ended)
		}
		return
	}
	info, err := os.Stat(filepath.Join(i.dir, i.set.Name+".log"))
	i.mu.Lock()
	begun := err == nil && info.Size() > i.silent
	i.mu.Unlock()
	if begun {
		i.signal(syscall.SIGHUP)
	}
}

// hangUpEarly waits until the kernel shows that a process has said how it takes the
// signal, which it does in its first instructions, and signals at once. Before that
// whoever starts the process can take the signal from it, but the process can't.
func hangUpEarly(cmd *exec.Cmd, ended <-chan struct{}) {
	for {
		if taken, err := cell.TakesSignal(cmd.Process.Pid, syscall.SIGHUP); taken || err != nil {
			break // without a status it has ended
		}
		select {
		case <-ended:
			return
		case <-time.After(earlyLook):
		}
	}
	_ = cmd.Process.Signal(syscall.SIGHUP) // it may have ended just now
}

// end kills the process for good.
func (i *instance) end() {
	i.mu.Lock()
	i.over = true
	i.mu.Unlock()
	i.kill()
}

// kill ends the process and waits until it is gone.
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

// stop asks the process to end, and kills it if it doesn't.
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
	case <-time.After(graceful):
		i.kill()
	}
}

func (i *instance) awaitReady(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.set.Ready+wirestand.ReadyPath, nil)
		if err != nil {
			return err
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close() // it is empty
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("%s is not ready within %v", i.set.Name, within)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

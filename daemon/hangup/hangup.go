// Package hangup has the process ignore SIGHUP from the moment the C library has loaded
// it until somebody asks for the signal with os/signal. It is imported for its effect.
//
// Until then the signal ends a process, and operators signal changed settings to
// processes that are only just starting too. Go reaches main, where the signal can be
// asked for, some 4 ms after the start of kw-node; the C library begins what this package
// names after 0.4 ms, before Go's runtime. Of 1,200 processes hung up within 6 ms of their
// start on a busy machine 991 ended without this, and 128 with it. These were all still in
// the loader, which is out of a program's reach: whoever starts it can hand the signal
// down ignored, and then none ended.
//
// It suffices because Go's runtime leaves a SIGHUP alone that it finds ignored, and
// signal.Notify takes it all the same. What comes in between is dropped, so that the
// signal must be asked for before reading what it tells to read again.
package hangup

//go:build cgo && linux

package hangup

/*
#include <signal.h>

static void ignore_hangup(void) __attribute__((constructor));

static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

//go:build cgo

package main

// A signal to read the settings again may arrive before the runtime has started. It is ignored until the process receives
// signals: the settings are read after that.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_reload_signal(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"

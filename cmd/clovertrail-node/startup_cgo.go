//go:build cgo

package main

// The C library is set up before the runtime starts:
//
//   - A signal to read the settings again is ignored until the process receives signals: the settings are read after that.
//   - Each new thread would reserve an area of 64 MB or more for its allocations in C, which there are few of, and a stack of 8 MB. Where
//     the address space of a process is limited, the process ends if no thread can be created.

/*
#define _GNU_SOURCE
#include <malloc.h>
#include <pthread.h>
#include <signal.h>

enum { thread_stack_bytes = 512 << 10 };

__attribute__((constructor)) static void set_up(void) {
	signal(SIGHUP, SIG_IGN);
#ifdef __GLIBC__
	mallopt(M_ARENA_MAX, 1);
	pthread_attr_t attr;
	if (pthread_getattr_default_np(&attr) == 0) {
		pthread_attr_setstacksize(&attr, thread_stack_bytes);
		pthread_setattr_default_np(&attr);
		pthread_attr_destroy(&attr);
	}
#endif
}
*/
import "C"

package process

import (
	"os"
	"runtime"

	"golang.org/x/sys/unix"
)

// MachineLimits returns what the machine allows this process, as keys and values for a log line: limits that
// are too low end a process or keep it from starting. An unlimited resource has the highest number; a limit that cannot
// be read is left out.
func MachineLimits() []any {
	fields := []any{"pid", os.Getpid(), "processors", runtime.GOMAXPROCS(0)}
	for _, l := range []struct {
		name     string
		resource int
	}{
		{"max_descriptors", unix.RLIMIT_NOFILE},
		{"max_address_space", unix.RLIMIT_AS},
	} {
		var r unix.Rlimit
		if err := unix.Getrlimit(l.resource, &r); err == nil {
			fields = append(fields, l.name, r.Cur)
		}
	}
	return fields
}

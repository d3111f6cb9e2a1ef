package process

import (
	"errors"
	"slices"
	"syscall"
)

// permanentErrors mean that a socket cannot be used any more.
var permanentErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK, syscall.EFAULT}

// isTransient reports whether the error of the operating system may pass without a change of the process or its settings.
func isTransient(err error) bool {
	var e syscall.Errno
	return errors.As(err, &e) && !slices.Contains(permanentErrors, e)
}

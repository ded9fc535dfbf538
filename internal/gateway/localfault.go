package gateway

import (
	"errors"
	"syscall"
	"time"

	"lovageport.example/internal/guard"
	"lovageport.example/pkg/verdict"
)

// failedHere reports whether err shows that no connection was opened because this
// process or VM has no descriptors, ports or memory left, or has an error of its own.
func failedHere(err error) bool {
	var panicked *guard.PanicError
	if errors.As(err, &panicked) {
		return true
	}
	for _, lack := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, lack) {
			return true
		}
	}
	return false
}

// localError returns the error of an exchange that began at a boot time. If no
// connection was opened, and this process may be the cause, its reason is
// [verdict.Internal], by which no upstream is blamed.
func (g *Gateway) localError(err error, began time.Duration) error {
	e := *verdict.Of(err)
	if e.Run != verdict.NotRun || e.Reason != verdict.UpstreamSilent || !failedHere(err) && !g.pauses.Stalled(began, g.Now()) {
		return err
	}
	e.Reason = verdict.Internal
	return &e
}

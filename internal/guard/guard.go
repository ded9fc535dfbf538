package guard

import (
	"fmt"
	"runtime/debug"
)

// Guard contains the panics of the functions that it runs. The zero value tells nobody
// of them but the caller.
type Guard struct {
	// OnPanic is called with each panic, and the ID of the request that the function
	// worked for, or ""; it may be nil.
	OnPanic func(request string, e *PanicError)
}

// Run calls f, which works for the request of an ID, or for none if that is "". If f
// panics, the error is a [PanicError]; otherwise it is nil. Locks that f holds without a
// deferred release stay held.
func (g Guard) Run(request string, f func()) (err error) {
	defer func() {
		value := recover()
		if value == nil {
			return
		}
		e := &PanicError{value, debug.Stack()}
		if g.OnPanic != nil {
			g.OnPanic(request, e)
		}
		err = e
	}()
	f()
	return nil
}

// PanicError is the error of a function that has panicked.
type PanicError struct {
	// Value is the value of the panic, and Stack the stack of its goroutine.
	Value any
	Stack []byte
}

// Error implements [error].
func (e *PanicError) Error() string { return fmt.Sprintf("guard: panic: %v", e.Value) }

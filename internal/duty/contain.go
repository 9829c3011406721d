package duty

import (
	"fmt"
	"runtime/debug"
)

// PanicError is a panic that Contain has turned into an error.
type PanicError struct {
	Value any // given to panic
	Stack []byte
}

// Error returns the value and the stack of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Value, e.Stack) }

// Contain calls run and returns its error, or a *PanicError if it panics. It is for input from outside,
// such as a packet or a message, which must not end the process, and for duties, whose failure is then
// logged and ends the process in an orderly way. State that run changes may be left half changed.
func Contain(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{Value: value, Stack: debug.Stack()}
		}
	}()
	return run()
}

package faker

import (
	"testing"
	"testing/synctest"
)

// WithVirtualTime returns a function that runs f in a synctest bubble, in which
// time is virtual, as part of the test *t. A failed Gomega expectation panics in
// f; the panic is passed on to the caller.
func WithVirtualTime(t **testing.T, f func()) func() {
	return func() {
		var failure any
		synctest.Test(*t, func(*testing.T) {
			defer func() { failure = recover() }()
			f()
		})
		if failure != nil {
			panic(failure)
		}
	}
}

package faker

import (
	"testing"
	"testing/synctest"
)

// WithVirtualTime wraps the body of a spec so that it runs in a bubble with virtual
// time. A failed expectation panics, which is carried out of the bubble.
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

package journaler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// current runs the bubbles of specs with virtual time.
var current *testing.T

func TestJournaler(t *testing.T) {
	current = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Journaler")
}

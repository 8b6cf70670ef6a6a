package journaler_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// current is the test that the synctest bubbles of the specs belong to.
var current *testing.T

func TestJournaler(t *testing.T) {
	current = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "Journaler")
}
